use snafu::Snafu;
use std::io;
use std::net::SocketAddr;

/// The reason why a daemon cannot start.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum StartError {
    /// The TCP listener cannot be bound.
    #[snafu(display("cannot listen on {address}: {source}"))]
    Listen {
        /// The address to bind.
        address: SocketAddr,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The UDP socket for other daemons cannot be opened.
    #[snafu(display("cannot open the socket for other daemons at {address}: {source}"))]
    Peers {
        /// The address to bind.
        address: SocketAddr,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The limit of open files is too low for the configured callers.
    #[snafu(display(
        "--callers {callers} (CHERVILSPUR_CALLERS) needs {needed} open files, the limit is {limit}"
    ))]
    OpenFiles {
        /// Callers to be served concurrently.
        callers: usize,
        /// Open files that the callers need.
        needed: u64,
        /// Open files that the system allows.
        limit: u64,
    },
    /// The socket to the metrics collector cannot be opened.
    #[snafu(display("cannot send metrics: {source}"))]
    Metrics {
        /// The error of the operating system.
        source: io::Error,
    },
    /// A thread or a signal handler cannot be started.
    #[snafu(display("cannot start {name}: {source}"))]
    Thread {
        /// The thread or handler.
        name: String,
        /// The error of the operating system.
        source: io::Error,
    },
}
