use super::lane::Lane;
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

/// An endpoint that a request may be sent to, with its capacity.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// The endpoint's id.
    pub id: &'a str,
    /// Its distance from this daemon.
    pub distance: Distance,
    /// The maximum number of requests that it runs concurrently.
    pub slots: u32,
    /// The maximum number of requests that all daemons may have in flight there; `u32::MAX` if
    /// there is none.
    pub max_in_flight: u32,
    /// Capacity of its KV cache in tokens; 0 for a plain service.
    pub cache_tokens: u64,
    /// Cached prompt tokens that it can fetch from another engine per millisecond; 0 if it cannot.
    pub fetch_rate: u32,
}

/// The properties of a request that decide its endpoint.
#[derive(Clone, Copy, Debug, Default)]
pub struct Demand<'a> {
    /// The prompt; `None` for a request to a plain service.
    pub prompt: Option<&'a Prompt>,
    /// The group of engines that the request prefers.
    pub lane: Lane,
    /// The priority; 0 is served first.
    pub priority: u8,
    /// The time that is left until the first event is late.
    pub wait_budget: Millis,
    /// Whether it may be sent to another endpoint after a failure.
    pub is_repeatable: bool,
    /// A random number of this request, which breaks ties between endpoints of equal cost.
    pub tie_breaker: u64,
}

/// Whether and where a request can be sent now.
#[derive(Clone, Debug, PartialEq)]
pub enum Placement {
    /// The request can be sent to this endpoint.
    Send(Choice),
    /// The expected wait exceeds the allowed share of the wait budget even at this endpoint, which
    /// has the least cost (only for requests with a prompt), or all endpoints have the maximum
    /// number of requests in flight.
    Saturated(Choice),
    /// There are no candidates.
    NoEndpoint,
}

/// The endpoint chosen for a request, with the estimates behind the choice.
#[derive(Clone, Debug, PartialEq)]
pub struct Choice {
    /// The endpoint's id.
    pub id: String,
    /// The expected time to the first byte of its response, in milliseconds; the wait that it
    /// includes is without the wait correction.
    pub expected_ms: f64,
    /// The expected wait for other requests, in milliseconds; at least `queued_ms` times the wait
    /// correction.
    pub wait_ms: f64,
    /// The time to prefill the prompts of the same or a higher priority that are known to wait
    /// there, in milliseconds, at the configured prefill rate.
    pub queued_ms: f64,
    /// The tokens of the prompt that are not cached there and that it must prefill.
    pub unread_tokens: u32,
    /// The endpoint from which it can fetch cached parts of the prompt.
    pub fetch_from: Option<String>,
    /// Whether it has the maximum number of requests in flight.
    pub is_full: bool,
}

/// How a request ended at an endpoint.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The response was complete.
    Answered,
    /// The endpoint had no capacity and did not run the request.
    Full,
    /// Another endpoint now uses the address and did not run the request.
    Replaced,
    /// The endpoint failed, or its response was truncated or invalid.
    Failed,
    /// The endpoint did not respond.
    Silent,
    /// The request ended for a reason that says nothing about the endpoint.
    Abandoned,
}

/// Identifies a request of this daemon that an endpoint is running. Each one that
/// [`LoadTable::start`](super::LoadTable::start) returns is passed to
/// [`LoadTable::end`](super::LoadTable::end) once.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct InFlightId(pub(super) u64);
