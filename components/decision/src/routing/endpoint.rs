use super::demand::{InFlightId, Lane, Outcome};
use crate::Millis;
use messages::feed::EndpointLoad;
use std::collections::BTreeMap;

/// Failures in a row after which an endpoint gets no requests for a while.
const FAILURES_TO_EJECT: u32 = 3;
/// The first pause of an ejected endpoint; it doubles up to [`EJECTION_LIMIT`].
const EJECTION: Millis = Millis(500);
/// The longest pause of an ejected endpoint: a crashed one is back within seconds.
const EJECTION_LIMIT: Millis = Millis(4_000);
/// Time in which failures fade to a third without another answer, in milliseconds: the usual
/// length of a partial failure.
const FAILURE_FADE_MS: f64 = 5_000.0;
/// Weight of the newest answer in the averages of an endpoint.
const NEWEST: f64 = 0.1;
/// Time in which the wait last seen at an endpoint fades to a third, in milliseconds: about as long
/// as the queue that it was seen in takes to pass.
const WAIT_FADE_MS: f64 = 1_500.0;
/// Weight of the newest wait in the average.
const NEWEST_WAIT: f64 = 0.4;

/// Time for which an endpoint that was full gets no further request: a few of its requests end in
/// it.
const FULL_TIME: Millis = Millis(250);
/// Time for which an endpoint that is not the one named gets no request: the registry names the new
/// one by then.
const REPLACED_TIME: Millis = Millis(2_000);

/// A request of this daemon at an endpoint.
#[derive(Clone, Debug)]
pub(super) struct Work {
    pub(super) since: Millis,
    /// The time that the endpoint needs without any wait.
    pub(super) work_ms: f64,
    /// The time to read what was known to wait there before it.
    pub(super) queued_ms: f64,
    pub(super) unread_tokens: u32,
    pub(super) priority: u8,
    pub(super) held_tokens: u32,
    /// When its answer began.
    pub(super) answering: Option<Millis>,
    pub(super) lane: Lane,
}

/// The average wait at an endpoint, which fades when nothing is heard.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Wait {
    pub(super) average_ms: f64,
    pub(super) noted: Millis,
}

impl Wait {
    pub(super) fn at(&self, now: Millis) -> f64 {
        self.average_ms * (-(now.since(self.noted).0 as f64) / WAIT_FADE_MS).exp()
    }

    pub(super) fn note(&mut self, wait_ms: f64, now: Millis) {
        let before = self.at(now);
        self.average_ms = before + (wait_ms - before) * NEWEST_WAIT;
        self.noted = now;
    }
}

/// What this daemon knows of an endpoint.
#[derive(Clone, Debug, Default)]
pub(super) struct Endpoint {
    pub(super) work: BTreeMap<InFlightId, Work>,
    pub(super) parts: BTreeMap<u64, Millis>,
    /// Waits by rank.
    pub(super) waits: BTreeMap<u8, Wait>,
    pub(super) failed_share: f64,
    pub(super) judged: Millis,
    pub(super) failures: u32,
    pub(super) ejected_until: Millis,
    pub(super) ejection: Millis,
}

impl Work {
    pub(super) fn row(&self, id: &str) -> EndpointLoad {
        EndpointLoad {
            endpoint: id.to_owned(),
            priority: self.priority,
            running: 1,
            unread_tokens: if self.answering.is_some() { 0 } else { u64::from(self.unread_tokens) },
            held_tokens: u64::from(self.held_tokens),
            interactive: u32::from(self.lane == Lane::Interactive),
        }
    }
}

impl Endpoint {
    /// Returns the share of failed answers, which fades so that an endpoint is tried again.
    pub(super) fn failed_share(&self, now: Millis) -> f64 {
        self.failed_share * (-(now.since(self.judged).0 as f64) / FAILURE_FADE_MS).exp()
    }

    pub(super) fn held(&self) -> f64 {
        self.work.values().map(|w| f64::from(w.held_tokens)).sum()
    }

    /// Takes an answer or its absence for what it says of the endpoint.
    pub(super) fn judge(&mut self, outcome: Outcome, now: Millis) {
        let failed = match outcome {
            Outcome::Answered => 0.0,
            Outcome::Failed | Outcome::Silent => 1.0,
            Outcome::Full => return self.rest(now + FULL_TIME),
            Outcome::Replaced => return self.rest(now + REPLACED_TIME),
            Outcome::Abandoned => return,
        };
        let before = self.failed_share(now);
        self.failed_share = before + (failed - before) * NEWEST;
        self.judged = now;
        if failed == 0.0 {
            self.failures = 0;
            self.ejection = EJECTION;
            return;
        }
        self.failures += 1;
        if outcome == Outcome::Silent || self.failures >= FAILURES_TO_EJECT {
            self.ejection = (self.ejection + self.ejection).clamp(EJECTION, EJECTION_LIMIT);
            self.rest(now + self.ejection);
        }
    }

    fn rest(&mut self, until: Millis) {
        self.ejected_until = self.ejected_until.max(until);
    }
}
