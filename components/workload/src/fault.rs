/// A fault that the simulation injects.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// An engine slows down by a factor.
    Straggler {
        /// Index of the engine.
        engine: usize,
        /// Factor on the time of its steps.
        slowdown: f64,
    },
    /// An engine crashes, which breaks its streams, and restarts when the fault ends.
    Crash {
        /// Index of the engine.
        engine: usize,
    },
    /// Engines send no load reports.
    StaleReports,
    /// The link between the two regions is down.
    LinkCut,
    /// A data centre can't reach any other.
    DataCentreCut {
        /// Index of the data centre.
        data_centre: usize,
    },
    /// A daemon is killed and replaced by one without state.
    DaemonKilled {
        /// Index of the daemon.
        daemon: usize,
    },
}

/// A fault and the time for which it lasts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TimedFault {
    /// Start, in milliseconds since the start of the run.
    pub from_ms: u64,
    /// End, in milliseconds since the start of the run.
    pub until_ms: u64,
    /// What goes wrong.
    pub fault: Fault,
}
