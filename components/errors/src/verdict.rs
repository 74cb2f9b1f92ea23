use serde::{Deserialize, Serialize};

/// Whether a request ran at an endpoint; ordered from the safest to repeat to the least safe.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// No endpoint started the request.
    NotRun,
    /// The request was sent to an endpoint and it is unknown whether it ran.
    MayHaveRun,
    /// An endpoint ran the request to completion.
    Ran,
}

impl Verdict {
    /// The verdict on a request from those on two attempts at it: the higher in order.
    pub fn combine(self, other: Verdict) -> Verdict {
        self.max(other)
    }

    /// The name used on the wire, the same as in serde.
    pub fn as_str(self) -> &'static str {
        match self {
            Verdict::NotRun => "not_run",
            Verdict::MayHaveRun => "may_have_run",
            Verdict::Ran => "ran",
        }
    }
}
