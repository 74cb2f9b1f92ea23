use serde::{Deserialize, Serialize};

/// Says whether a request may have taken effect at an endpoint.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// No endpoint started the request.
    NotRun,
    /// The request left for an endpoint and its fate is unknown.
    MayHaveRun,
    /// An endpoint ran the request to its end.
    Ran,
}

impl Verdict {
    /// Returns the weaker claim of two attempts at one request.
    pub fn combine(self, other: Verdict) -> Verdict {
        self.max(other)
    }

    /// Returns the name used on the wire.
    pub fn as_str(self) -> &'static str {
        match self {
            Verdict::NotRun => "not_run",
            Verdict::MayHaveRun => "may_have_run",
            Verdict::Ran => "ran",
        }
    }
}
