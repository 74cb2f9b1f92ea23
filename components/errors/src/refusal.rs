use crate::Verdict;
use serde::{Deserialize, Serialize};
use snafu::Snafu;

/// The cause of a refusal, as a caller sees it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// The body is not what the interface asks for.
    MalformedRequest,
    /// The body is larger than the daemon takes.
    BodyTooLarge,
    /// No client account has this key.
    UnknownAccount,
    /// The request names a class that the lists do not have.
    UnknownClass,
    /// The plan of the client account does not grant the class.
    ClassNotInPlan,
    /// The client account has used what its plan grants.
    LimitReached,
    /// Higher tiers leave no room before the target of the class.
    Overloaded,
    /// No endpoint fit for the request is known.
    NoEndpoint,
    /// The endpoint failed while it worked on the request.
    EndpointFailed,
    /// The idempotency key is missing, malformed or too old.
    BadIdempotencyKey,
    /// An earlier run of the same idempotency key is still open.
    RunInProgress,
    /// The platform's store cannot record the run.
    StoreUnavailable,
    /// The daemon is stopping or not ready.
    NotReady,
    /// No request or stream has this id here.
    UnknownRequest,
    /// The caller ended the request or did not come back for it.
    Cancelled,
}

impl Reason {
    /// Returns the name used on the wire.
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
            Reason::EndpointFailed => "endpoint_failed",
            Reason::BadIdempotencyKey => "bad_idempotency_key",
            Reason::RunInProgress => "run_in_progress",
            Reason::StoreUnavailable => "store_unavailable",
            Reason::NotReady => "not_ready",
            Reason::UnknownRequest => "unknown_request",
            Reason::Cancelled => "cancelled",
        }
    }

    /// Returns the HTTP status that carries the reason.
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
            | Reason::StoreUnavailable
            | Reason::NotReady => 503,
        }
    }
}

/// A final answer that is not the answer the caller asked for.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize, Snafu)]
#[snafu(display("{reason:?} ({}): {message}", verdict.as_str()))]
pub struct Refusal {
    /// Whether the request may have run.
    pub verdict: Verdict,
    /// The cause.
    pub reason: Reason,
    /// The time after which a retry makes sense, in milliseconds.
    pub retry_after_ms: Option<u64>,
    /// A sentence for people, with the names that caused the refusal.
    pub message: String,
}

impl Refusal {
    /// Refuses a request that no endpoint has started.
    pub fn not_run(reason: Reason, message: impl Into<String>) -> Refusal {
        Refusal { verdict: Verdict::NotRun, reason, retry_after_ms: None, message: message.into() }
    }

    /// Refuses a request whose fate at an endpoint is unknown.
    pub fn may_have_run(reason: Reason, message: impl Into<String>) -> Refusal {
        Refusal { verdict: Verdict::MayHaveRun, ..Refusal::not_run(reason, message) }
    }

    /// Adds the time to come back, in milliseconds.
    pub fn retry_after(self, ms: u64) -> Refusal {
        Refusal { retry_after_ms: Some(ms), ..self }
    }
}
