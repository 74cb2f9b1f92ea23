use crate::Millis;
use serde::{Deserialize, Serialize};

/// An endpoint's response to a call.
#[derive(Clone, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Outcome {
    /// The HTTP status.
    pub status: u16,
    /// The response body.
    pub body: String,
}

/// The state of a call's run; every state but `Open` is final.
#[derive(Clone, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RunState {
    /// The attempt that created the record may send the call.
    #[default]
    Open,
    /// The attempt that created the record never sent the call, or no endpoint started it.
    NotRun,
    /// The call was sent and no complete response arrived, or an earlier run may have lost its
    /// record.
    Unknown,
    /// The call ran; holds its outcome unless the response was too long to store.
    Ran(Option<Outcome>),
}

/// The execution record of one idempotency key, as kept in the store.
#[derive(Clone, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Record {
    /// Random, unique to the attempt that created the record.
    pub nonce: String,
    /// The identity of the process that runs that attempt.
    pub instance: String,
    /// The digest of the request body.
    pub digest: String,
    /// When the caller issued the key, in milliseconds since the Unix epoch.
    pub issued: Millis,
    /// When the attempt started, in milliseconds since the Unix epoch.
    pub opened: Millis,
    /// The state of the run.
    pub state: RunState,
}
