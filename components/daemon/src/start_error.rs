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
