use crate::Millis;
use errors::Verdict;
use serde::{Deserialize, Serialize};

/// What a plan grants to one client account for one class; 0 means no limit.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct AccountLimits {
    /// Requests a minute.
    pub requests_per_minute: u32,
    /// Tokens a minute, asked and generated.
    pub tokens_per_minute: u32,
    /// Streams at once.
    pub streams: u32,
}

/// A request as it reaches the scheduler, with what the lists grant it.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default)]
pub struct Arrival {
    /// The number of the request within this daemon.
    pub request: u64,
    /// The client account.
    pub account: String,
    /// The request class.
    pub class: String,
    /// The service tier; 1 is the highest.
    pub tier: u8,
    /// The model or plain service that answers.
    pub serves: String,
    /// Whether the call may run more than once.
    pub repeatable: bool,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// A hash of the start of the prompt, for the endpoint's prefix cache.
    pub prefix: u64,
    /// The target for the first token, from arrival; 0 means none.
    pub first_token: Millis,
    /// The target between two tokens; 0 means none.
    pub between_tokens: Millis,
    /// The target for the end of the answer, from arrival; 0 means none.
    pub finish: Millis,
    /// The share of the pool that the class is sure of in each finish window, 0 to 1.
    pub floor: f64,
    /// The limits of the client account for this class.
    pub limits: AccountLimits,
    /// Whether a daemon of another data centre sent it here; such a request is not sent on.
    pub forwarded: bool,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The answer is whole.
    Done,
    /// The caller left and the attempt was ended.
    Abandoned,
    /// The attempt failed with this verdict.
    Failed(Verdict),
}
