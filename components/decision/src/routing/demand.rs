use super::prompt::Prompt;
use crate::Millis;

/// How far an endpoint is from this daemon.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub enum Distance {
    /// The same data centre.
    #[default]
    DataCentre,
    /// Another data centre of the same region.
    Region,
    /// Another region.
    Far,
}

/// An endpoint that a request may be sent to.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// The endpoint's id.
    pub id: &'a str,
    /// How far it is.
    pub distance: Distance,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Tokens that its memory holds; 0 for a plain service.
    pub cache_tokens: u64,
    /// Prompt tokens that it can fetch from another engine in a millisecond; 0 if it cannot.
    pub fetch_rate: u32,
}

/// Which engines of a service a request prefers.
///
/// An engine reads prompts in chunks between the tokens of all that run beside them, so a row of
/// long prompts makes each running stream pause for several chunks. Streams that allow only short
/// pauses therefore run on engines of their own.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub enum Lane {
    /// Requests that bear the pauses of long prompts.
    #[default]
    Bulk,
    /// Streams with short pauses.
    Interactive,
}

/// What a request asks of an endpoint.
#[derive(Clone, Copy, Debug, Default)]
pub struct Demand<'a> {
    /// The prompt, for a model engine.
    pub prompt: Option<&'a Prompt>,
    /// The engines that the request prefers.
    pub lane: Lane,
    /// The rank; 0 is served first.
    pub priority: u8,
    /// The time that is left for the first event to be on time.
    pub wait_budget: Millis,
    /// A number drawn for this request, which breaks ties.
    pub tie_breaker: u64,
}

/// Where a request goes now.
#[derive(Clone, Debug, PartialEq)]
pub enum Placement {
    /// To an endpoint.
    Send(Choice),
    /// Nowhere: it would begin too late even at its best endpoint.
    Saturated(Choice),
    /// Nowhere: no endpoint is listed.
    NoEndpoint,
}

/// The endpoint chosen for a request.
#[derive(Clone, Debug, PartialEq)]
pub struct Choice {
    /// The endpoint's id.
    pub id: String,
    /// The expected time to the first byte of its answer, in milliseconds.
    pub expected_ms: f64,
    /// The part of it that the request waits for others.
    pub wait_ms: f64,
    /// The time to read the prompts that are known to wait there, at an engine's best pace.
    pub queued_ms: f64,
    /// The tokens of the prompt that it is expected to read.
    pub unread_tokens: u32,
    /// The endpoint from which it can fetch what that one has read of the prompt.
    pub fetch_from: Option<String>,
}

/// How a request ended at an endpoint.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The answer was whole.
    Answered,
    /// The endpoint had no room and did not run the request.
    Full,
    /// Another endpoint stands at the address and did not run the request.
    Replaced,
    /// The endpoint failed, or its answer was cut or not its own.
    Failed,
    /// Nothing was heard of the endpoint.
    Silent,
    /// The request ended for a reason that says nothing about the endpoint.
    Abandoned,
}

/// Work that this daemon has at an endpoint, returned when it ends.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct InFlightId(pub(super) u64);
