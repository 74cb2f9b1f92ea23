use std::collections::BTreeMap;

/// A kind of calls to the platform that the holder of the duties makes.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Duty {
    /// Reports of how many requests of each client account ran.
    UsageReporting,
    /// Orders of endpoints.
    Scaling,
}

impl Duty {
    /// The name in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Duty::UsageReporting => "usage_reporting",
            Duty::Scaling => "scaling",
        }
    }
}

/// What a call is about. The platform compares the tokens of the calls with the same subject.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Subject {
    /// The usage of all windows.
    Usage,
    /// The endpoints of a service in a data centre, of both kinds.
    Endpoints {
        /// The name of the service.
        service: String,
        /// The data centre.
        data_centre: String,
    },
}

/// A call to the platform that the holder of the duties makes.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum DutyCall {
    /// Reports the requests that began to run in a window.
    Usage {
        /// The number of the window since the Unix epoch.
        window: u64,
        /// The number of requests by client account.
        counts: BTreeMap<String, u64>,
    },
    /// Orders a number of endpoints.
    Scale {
        /// The name of the service.
        service: String,
        /// The data centre.
        data_centre: String,
        /// The number of endpoints of this kind that are to run.
        desired_count: u32,
        /// Whether endpoints are ordered that cost less and may be reclaimed.
        spot: bool,
    },
}

impl DutyCall {
    /// Returns the duty that the call belongs to.
    pub fn duty(&self) -> Duty {
        match self {
            DutyCall::Usage { .. } => Duty::UsageReporting,
            DutyCall::Scale { .. } => Duty::Scaling,
        }
    }

    /// Returns what the call is about.
    pub fn subject(&self) -> Subject {
        match self {
            DutyCall::Usage { .. } => Subject::Usage,
            DutyCall::Scale { service, data_centre, .. } => {
                Subject::Endpoints { service: service.clone(), data_centre: data_centre.clone() }
            }
        }
    }
}
