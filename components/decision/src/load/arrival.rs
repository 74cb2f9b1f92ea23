use crate::Millis;
use errors::Verdict;
use serde::{Deserialize, Serialize};

/// What a plan grants to one client account for one class; 0 means no limit.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct AccountLimits {
    /// Requests per minute.
    pub requests_per_minute: u32,
    /// Prompt and generated tokens per minute.
    pub tokens_per_minute: u32,
    /// Concurrent streams.
    pub streams: u32,
}

/// A request as it reaches the scheduler, with the targets and limits of its plan and grants.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default)]
pub struct Arrival {
    /// The number of the request, unique within this daemon.
    pub request: u64,
    /// The client account.
    pub account: String,
    /// The request class.
    pub class: String,
    /// The service tier; 1 is the highest.
    pub tier: u8,
    /// The model or plain service that the request is for.
    pub serves: String,
    /// Whether the request may run more than once.
    pub repeatable: bool,
    /// The length of the prompt, in tokens.
    pub prompt_tokens: u32,
    /// A hash of the start of the prompt, for prefix-cache affinity; 0 means none.
    pub prefix: u64,
    /// The target for the first token, from arrival; 0 means none.
    pub first_token: Millis,
    /// The target for the time between two tokens; 0 means none.
    pub between_tokens: Millis,
    /// The target for the end of the response, from arrival; 0 means none.
    pub finish: Millis,
    /// The share of the pool guaranteed to the class in each finish window, 0 to 1.
    pub floor: f64,
    /// The limits of the client account for this class.
    pub limits: AccountLimits,
    /// Whether a daemon of another data centre forwarded it; it is not forwarded again.
    pub forwarded: bool,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The response is complete.
    Done,
    /// The caller disconnected and the attempt was cancelled.
    Abandoned,
    /// The attempt failed with this verdict.
    Failed(Verdict),
}
