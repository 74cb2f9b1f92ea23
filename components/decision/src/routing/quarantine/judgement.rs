use super::super::content::Content;
use crate::Millis;

/// Why a request is not sent to endpoints.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Condemnation {
    /// What crashes endpoints.
    pub content: Content,
    /// The endpoints that crashed under requests with it, in order of their ids.
    pub endpoints: Vec<String>,
    /// The time since the last of these crashes.
    pub last_crash_age: Millis,
    /// The time until a request with it may be tried again.
    pub retry_after: Millis,
}

/// Whether a request may be sent to an endpoint.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Judgement {
    /// It may.
    Admitted,
    /// It may, but is not continued at another endpoint if one crashes under it.
    Suspected,
    /// It may, as the only one of this daemon, to find out whether its content still crashes
    /// endpoints.
    Trial(Content),
    /// It may not.
    Condemned(Condemnation),
}
