use snafu::Snafu;
use std::io;
use std::net::SocketAddr;

/// A daemon that cannot start.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum StartError {
    /// The address cannot be listened on.
    #[snafu(display("cannot listen on {address}: {source}"))]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The failure.
        source: io::Error,
    },
    /// The socket for the other daemons cannot be opened.
    #[snafu(display("cannot open the socket for other daemons at {address}: {source}"))]
    Peers {
        /// The address.
        address: SocketAddr,
        /// The failure.
        source: io::Error,
    },
    /// The system lets the process open too few files for the callers that it should serve.
    #[snafu(display(
        "--callers {callers} (CHERVILSPUR_CALLERS) needs {needed} open files, the limit is {limit}"
    ))]
    OpenFiles {
        /// The callers that are to be served at once.
        callers: usize,
        /// The open files that they need.
        needed: u64,
        /// The open files that the system allows.
        limit: u64,
    },
    /// The collector of metrics cannot be used.
    #[snafu(display("cannot send metrics: {source}"))]
    Metrics {
        /// The failure.
        source: io::Error,
    },
    /// A thread or a signal handler cannot be started.
    #[snafu(display("cannot start {name}: {source}"))]
    Thread {
        /// The name of the thread.
        name: String,
        /// The failure.
        source: io::Error,
    },
}
