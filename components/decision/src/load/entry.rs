use super::{Arrival, TIERS, queue::Position};
use crate::Millis;
use errors::Verdict;

/// Where a request is; it is in exactly one place.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) enum Place {
    /// Not in a table yet.
    Unplaced,
    /// In the queue of its tier.
    Waiting(Position),
    /// At an endpoint.
    Running(String),
    /// Held back at an endpoint.
    Paused(String),
    /// With a daemon of another data centre.
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
    /// The expected slot time of the rest of the answer when it was last queued, in milliseconds.
    pub(super) work: u64,
    /// Tokens that have arrived.
    pub(super) generated: u32,
    /// When the present attempt started, went on or was held back.
    pub(super) started: Millis,
    /// Whether the present attempt has brought a token.
    pub(super) answered: bool,
    /// Whether the next token's delay tells of a queue at the endpoint, as after a resume.
    pub(super) token_delayed: bool,
    /// When the last token arrived, or the attempt started or went on.
    pub(super) progressed: Millis,
    /// Whether the floor of the class protects the attempt.
    pub(super) protected: bool,
    /// How often it was sent to another data centre.
    pub(super) forwards: u32,
    /// When it is looked at next for a missing token.
    pub(super) due: Millis,
    /// Attempts that failed.
    pub(super) failures: u32,
    /// Whether the account limit counts it.
    pub(super) is_charged: bool,
    /// Tokens charged to the account's limit.
    pub(super) charged: u32,
}

impl Entry {
    pub(super) fn new(arrival: Arrival, now: Millis) -> Entry {
        Entry {
            arrival,
            arrived: now,
            place: Place::Unplaced,
            attempt: 0,
            verdict: Verdict::NotRun,
            work: 0,
            generated: 0,
            started: now,
            answered: false,
            token_delayed: false,
            progressed: now,
            protected: false,
            forwards: 0,
            due: Millis(0),
            failures: 0,
            is_charged: false,
            charged: 0,
        }
    }

    /// Returns whether it is in a queue.
    pub(super) fn is_waiting(&self) -> bool {
        matches!(self.place, Place::Waiting(_))
    }

    /// Notes that an attempt left for an endpoint and was ended there.
    pub(super) fn record_may_have_run(&mut self) {
        self.verdict = self.verdict.combine(Verdict::MayHaveRun);
    }

    /// Returns whether another attempt may be made.
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
