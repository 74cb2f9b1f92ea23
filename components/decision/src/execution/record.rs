use crate::Millis;
use serde::{Deserialize, Serialize};

/// What an endpoint answered to a call.
#[derive(Clone, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Outcome {
    /// The HTTP status.
    pub status: u16,
    /// The text of the answer.
    pub body: String,
}

/// How far the run of a key has come; every state but `Open` is final.
#[derive(Clone, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RunState {
    /// The attempt that created the record may send the call.
    #[default]
    Open,
    /// The attempt that created the record never sent the call, or the endpoint did not start it.
    NotRun,
    /// The call left for an endpoint and no answer came.
    Unknown,
    /// The call ran; an answer too long to keep is left out.
    Ran(Option<Outcome>),
}

/// The execution record of one key.
#[derive(Clone, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Record {
    /// Drawn for the attempt that creates the record.
    pub nonce: String,
    /// The identity of the process that runs that attempt.
    pub instance: String,
    /// The digest of the call's body.
    pub digest: String,
    /// When the key was issued.
    pub issued: Millis,
    /// When the attempt began.
    pub opened: Millis,
    /// How far the run has come.
    pub state: RunState,
}
