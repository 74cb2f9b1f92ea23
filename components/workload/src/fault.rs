/// A fault that the driver brings about.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// An engine becomes slower by a factor.
    Straggler {
        /// The engine.
        engine: usize,
        /// How many times slower.
        slowness: f64,
    },
    /// An engine is gone in the middle of its streams and comes back.
    Crash {
        /// The engine.
        engine: usize,
    },
    /// Load reports stop changing.
    StaleReports,
    /// The two regions lose each other.
    LinkCut,
    /// A data centre loses all the others.
    DataCentreCut {
        /// The data centre.
        data_centre: usize,
    },
    /// A daemon is killed and replaced.
    DaemonKilled {
        /// The daemon.
        daemon: usize,
    },
}

/// A fault with its time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Timed {
    /// When it starts, in milliseconds.
    pub from: u64,
    /// When it ends, in milliseconds.
    pub until: u64,
    /// The fault.
    pub fault: Fault,
}
