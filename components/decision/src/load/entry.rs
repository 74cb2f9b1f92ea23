use super::{Arrival, TIERS, queue::Position};
use crate::Millis;
use errors::Verdict;

/// Where a request is; each request is in exactly one place.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) enum Place {
    /// In no queue and at no endpoint yet.
    Unplaced,
    /// In the queue of its tier.
    Waiting(Position),
    /// Running at the named endpoint.
    Running(String),
    /// Paused at the named endpoint.
    Paused(String),
    /// Forwarded to the named data centre.
    Remote(String),
}

/// A request that has not ended.
#[derive(Clone, Debug)]
pub(super) struct Entry {
    pub(super) arrival: Arrival,
    pub(super) arrived: Millis,
    pub(super) place: Place,
    pub(super) attempt: u32,
    pub(super) verdict: Verdict,
    /// The expected slot time of the remaining response when it was last queued, in milliseconds.
    pub(super) work_ms: u64,
    /// Tokens received so far, over all attempts.
    pub(super) generated: u32,
    /// When the request was last started, resumed, paused or forwarded.
    pub(super) placed_at: Millis,
    /// Whether the current attempt has produced a token.
    pub(super) has_first_token: bool,
    /// Whether the next token's delay includes a pause, or time in which the stream was held
    /// back; such a delay is not recorded as an observation.
    pub(super) token_delayed: bool,
    /// When the last token arrived, the attempt was started, resumed or forwarded, or its stream
    /// was held back because the caller did not read.
    pub(super) progressed_at: Millis,
    /// Whether the attempt was started because of its class's floor and so is not preempted.
    pub(super) protected: bool,
    /// How often it was forwarded to another data centre.
    pub(super) forwards: u32,
    /// When it is next checked for silence.
    pub(super) silence_check_at: Millis,
    /// Failed attempts at local endpoints.
    pub(super) failures: u32,
    /// Whether its stream and tokens are charged to the account limits.
    pub(super) is_charged: bool,
    /// Tokens charged to the account limits.
    pub(super) charged_tokens: u32,
}

impl Entry {
    pub(super) fn new(arrival: Arrival, now: Millis) -> Entry {
        Entry {
            arrival,
            arrived: now,
            place: Place::Unplaced,
            attempt: 0,
            verdict: Verdict::NotRun,
            work_ms: 0,
            generated: 0,
            placed_at: now,
            has_first_token: false,
            token_delayed: false,
            progressed_at: now,
            protected: false,
            forwards: 0,
            silence_check_at: Millis(0),
            failures: 0,
            is_charged: false,
            charged_tokens: 0,
        }
    }

    pub(super) fn is_waiting(&self) -> bool {
        matches!(self.place, Place::Waiting(_))
    }

    /// Records that an attempt was cancelled after it was sent to an endpoint.
    pub(super) fn record_may_have_run(&mut self) {
        self.verdict = self.verdict.combine(Verdict::MayHaveRun);
    }

    /// Returns whether another attempt is allowed: the request is repeatable or has not run.
    pub(super) fn may_retry(&self) -> bool {
        self.arrival.repeatable || self.verdict == Verdict::NotRun
    }

    /// Returns the tier as an index; 0 is the highest.
    pub(super) fn tier(&self) -> usize {
        tier_index(self.arrival.tier)
    }
}

/// Returns a tier as an index; 0 is the highest.
pub(super) fn tier_index(tier: u8) -> usize {
    usize::from(tier.max(1) - 1).min(TIERS - 1)
}
