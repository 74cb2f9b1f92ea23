use super::demand::{InFlightId, Outcome};
use super::lane::Lane;
use super::recent_outcomes::RecentOutcomes;
use crate::Millis;
use messages::feed::EndpointLoad;
use std::collections::BTreeMap;

/// Consecutive failures after which an endpoint is ejected: it gets no requests for a while.
const FAILURES_TO_EJECT: u32 = 3;
/// The minimum length of an ejection. The length doubles with each ejection, up to
/// [`MAX_EJECTION_TIME`], until a request succeeds.
const MIN_EJECTION_TIME: Millis = Millis(500);
/// The length of the longest ejection: a crashed endpoint restarts within seconds.
const MAX_EJECTION_TIME: Millis = Millis(4_000);
/// Time constant of the exponential decay of the failure share, in milliseconds: the usual length
/// of a partial failure.
const FAILURE_DECAY_MS: f64 = 5_000.0;
/// Weight of the latest outcome in the failure share of an endpoint.
const FAILURE_AVERAGE_WEIGHT: f64 = 0.1;
/// Time constant of the exponential decay of an observed wait, in milliseconds: about the time in
/// which the queue that caused the wait is processed.
const WAIT_DECAY_MS: f64 = 1_500.0;
/// Weight of the latest wait in the average.
const WAIT_AVERAGE_WEIGHT: f64 = 0.4;

/// Cooldown of an endpoint that was full: a few of its running requests end in this time.
const FULL_COOLDOWN: Millis = Millis(250);
/// Cooldown of an endpoint whose address another one now uses: by its end, the registry lists the
/// new endpoint.
const REPLACED_COOLDOWN: Millis = Millis(2_000);

/// A request that this daemon has sent to an endpoint and that has not ended.
#[derive(Clone, Debug)]
pub(super) struct InFlight {
    pub(super) sent_at: Millis,
    /// The expected time to the first byte without any wait.
    pub(super) service_ms: f64,
    /// The predicted wait: the time to prefill the prompts that were known to wait ahead of it.
    pub(super) queued_ms: f64,
    pub(super) unread_tokens: u32,
    pub(super) priority: u8,
    /// KV cache tokens that it is expected to occupy.
    pub(super) held_tokens: u32,
    /// When the first byte of its response arrived.
    pub(super) first_byte_at: Option<Millis>,
    pub(super) lane: Lane,
}

/// The moving average of the waits at an endpoint. It decays while there is no new observation.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct RecentWait {
    pub(super) average_ms: f64,
    pub(super) recorded_at: Millis,
}

impl RecentWait {
    pub(super) fn decayed_ms(&self, now: Millis) -> f64 {
        self.average_ms * (-(now.since(self.recorded_at).0 as f64) / WAIT_DECAY_MS).exp()
    }

    pub(super) fn record(&mut self, wait_ms: f64, now: Millis) {
        let before = self.decayed_ms(now);
        self.average_ms = before + (wait_ms - before) * WAIT_AVERAGE_WEIGHT;
        self.recorded_at = now;
    }
}

/// What this daemon knows about an endpoint from its own requests.
#[derive(Clone, Debug, Default)]
pub(super) struct EndpointState {
    pub(super) in_flight: BTreeMap<InFlightId, InFlight>,
    /// When each prompt part was last used here, by its id.
    pub(super) parts_last_used: BTreeMap<u64, Millis>,
    /// Observed waits by priority.
    pub(super) waits: BTreeMap<u8, RecentWait>,
    /// Moving average of the share of failed requests, as of `last_outcome_at`.
    pub(super) failed_share: f64,
    pub(super) last_outcome_at: Millis,
    /// Counted for the other daemons.
    pub(super) recent_outcomes: RecentOutcomes,
    pub(super) consecutive_failures: u32,
    pub(super) cooldown_until: Millis,
    pub(super) ejection_time: Millis,
}

impl InFlight {
    pub(super) fn load_row(&self, id: &str) -> EndpointLoad {
        EndpointLoad {
            endpoint: id.to_owned(),
            priority: self.priority,
            running: 1,
            unread_tokens: if self.first_byte_at.is_some() {
                0
            } else {
                u64::from(self.unread_tokens)
            },
            held_tokens: u64::from(self.held_tokens),
            interactive: u32::from(self.lane == Lane::Interactive),
        }
    }
}

impl EndpointState {
    /// Returns the share of failed requests. It decays, so that a failing endpoint is tried again.
    pub(super) fn failed_share(&self, now: Millis) -> f64 {
        self.failed_share * (-(now.since(self.last_outcome_at).0 as f64) / FAILURE_DECAY_MS).exp()
    }

    pub(super) fn held_tokens(&self) -> f64 {
        self.in_flight.values().map(|request| f64::from(request.held_tokens)).sum()
    }

    /// Records how a request ended and starts a cooldown if the outcome calls for one.
    pub(super) fn record_outcome(&mut self, outcome: Outcome, now: Millis) {
        let failed = match outcome {
            Outcome::Answered => 0.0,
            Outcome::Failed | Outcome::Silent => 1.0,
            Outcome::Full => return self.cool_down(now + FULL_COOLDOWN),
            Outcome::Replaced => return self.cool_down(now + REPLACED_COOLDOWN),
            Outcome::Abandoned => return,
        };
        let before = self.failed_share(now);
        self.failed_share = before + (failed - before) * FAILURE_AVERAGE_WEIGHT;
        self.last_outcome_at = now;
        if failed == 0.0 {
            self.consecutive_failures = 0;
            self.ejection_time = MIN_EJECTION_TIME;
            return;
        }
        self.consecutive_failures += 1;
        if outcome == Outcome::Silent || self.consecutive_failures >= FAILURES_TO_EJECT {
            self.ejection_time = (self.ejection_time + self.ejection_time)
                .clamp(MIN_EJECTION_TIME, MAX_EJECTION_TIME);
            self.cool_down(now + self.ejection_time);
        }
    }

    fn cool_down(&mut self, until: Millis) {
        self.cooldown_until = self.cooldown_until.max(until);
    }
}
