use crate::Verdict;
use serde::{Deserialize, Serialize};
use snafu::Snafu;

/// The reason for a refusal, as reported to the caller.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// The request body does not have the required form.
    MalformedRequest,
    /// The request body exceeds the daemon's size limit.
    BodyTooLarge,
    /// No client account has this API key.
    UnknownAccount,
    /// The request names a class that is not in the active lists.
    UnknownClass,
    /// The plan of the client account does not grant the class.
    ClassNotInPlan,
    /// The client account has reached a limit of its plan.
    LimitReached,
    /// Load from higher tiers leaves no capacity to meet the target of the class.
    Overloaded,
    /// No suitable endpoint is known.
    NoEndpoint,
    /// The software version at which a stream would have to go on is unknown or has no endpoint.
    CannotResume,
    /// Endpoints crash under requests with a part of this prompt.
    CrashesEndpoints,
    /// The endpoint failed while processing the request.
    EndpointFailed,
    /// The idempotency key is missing, malformed, expired or used for another body.
    BadIdempotencyKey,
    /// An earlier request with the same idempotency key is still in progress.
    RunInProgress,
    /// The run cannot be recorded in the platform's store.
    StoreUnavailable,
    /// The daemon is stopping or is not ready yet.
    NotReady,
    /// This daemon knows no request or stream with this id.
    UnknownRequest,
    /// The caller cancelled the request or did not resume it in time.
    Cancelled,
}

impl Reason {
    /// The name used on the wire, the same as in serde.
    pub fn as_str(self) -> &'static str {
        match self {
            Reason::MalformedRequest => "malformed_request",
            Reason::BodyTooLarge => "body_too_large",
            Reason::UnknownAccount => "unknown_account",
            Reason::UnknownClass => "unknown_class",
            Reason::ClassNotInPlan => "class_not_in_plan",
            Reason::LimitReached => "limit_reached",
            Reason::Overloaded => "overloaded",
            Reason::NoEndpoint => "no_endpoint",
            Reason::CannotResume => "cannot_resume",
            Reason::CrashesEndpoints => "crashes_endpoints",
            Reason::EndpointFailed => "endpoint_failed",
            Reason::BadIdempotencyKey => "bad_idempotency_key",
            Reason::RunInProgress => "run_in_progress",
            Reason::StoreUnavailable => "store_unavailable",
            Reason::NotReady => "not_ready",
            Reason::UnknownRequest => "unknown_request",
            Reason::Cancelled => "cancelled",
        }
    }

    /// The HTTP status of a response with this reason.
    pub fn status(self) -> u16 {
        match self {
            Reason::MalformedRequest | Reason::UnknownClass | Reason::BadIdempotencyKey => 400,
            Reason::UnknownAccount => 401,
            Reason::ClassNotInPlan => 403,
            Reason::UnknownRequest => 404,
            Reason::RunInProgress | Reason::Cancelled => 409,
            Reason::BodyTooLarge => 413,
            Reason::LimitReached => 429,
            Reason::EndpointFailed => 502,
            Reason::Overloaded
            | Reason::NoEndpoint
            | Reason::CannotResume
            | Reason::CrashesEndpoints
            | Reason::StoreUnavailable
            | Reason::NotReady => 503,
        }
    }
}

/// A final response that rejects a request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize, Snafu)]
#[snafu(display("{reason:?} ({}): {message}", verdict.as_str()))]
pub struct Refusal {
    /// Whether the request may have run.
    pub verdict: Verdict,
    /// Why the request was refused.
    pub reason: Reason,
    /// The time to wait before a retry, in milliseconds.
    pub retry_after_ms: Option<u64>,
    /// A human-readable explanation that names the objects concerned.
    pub message: String,
}

impl Refusal {
    /// Creates a refusal of a request that no endpoint has started.
    pub fn not_run(reason: Reason, message: impl Into<String>) -> Refusal {
        Refusal { verdict: Verdict::NotRun, reason, retry_after_ms: None, message: message.into() }
    }

    /// Creates a refusal of a request that may have run at an endpoint.
    pub fn may_have_run(reason: Reason, message: impl Into<String>) -> Refusal {
        Refusal { verdict: Verdict::MayHaveRun, ..Refusal::not_run(reason, message) }
    }

    /// Sets the time to wait before a retry, in milliseconds.
    pub fn retry_after(self, ms: u64) -> Refusal {
        Refusal { retry_after_ms: Some(ms), ..self }
    }
}
