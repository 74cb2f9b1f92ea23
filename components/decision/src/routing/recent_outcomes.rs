use super::demand::{Candidate, Demand};
use super::placement::LoadTable;
use crate::Millis;
use messages::feed::EndpointOutcomes;
use std::collections::BTreeMap;
use std::ops::AddAssign;

/// Length of a counting period. The counts cover one to two periods: about the length of a partial
/// failure.
const PERIOD: Millis = Millis(2_500);
/// Attempts that are added to those counted, as if they had succeeded, so that a single failure at a
/// rarely used endpoint counts little.
const PRIOR_ATTEMPTS: f64 = 5.0;

/// The endpoints of a service with the lowest shares of failures to which the others are compared,
/// as a share of all. More than one, since the shares of equal endpoints differ by chance.
const BEST_ENDPOINTS_SHARE: f64 = 0.25;
/// Excess of an endpoint's share of failures over that of the best ones below which it is not
/// avoided.
const MIN_EXCESS: f64 = 0.1;
/// Age at which the outcomes at other daemons are no longer used.
const PEER_OUTCOMES_STALE_AFTER: Millis = Millis(2_000);

/// How many attempts an endpoint got, and how many of them failed.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(super) struct OutcomeCounts {
    pub(super) attempts: u32,
    pub(super) failures: u32,
}

impl OutcomeCounts {
    /// Returns the expected share of failures.
    pub(super) fn failed_share(self) -> f64 {
        f64::from(self.failures) / (f64::from(self.attempts) + PRIOR_ATTEMPTS)
    }
}

impl AddAssign for OutcomeCounts {
    fn add_assign(&mut self, other: OutcomeCounts) {
        self.attempts += other.attempts;
        self.failures += other.failures;
    }
}

/// The outcomes of this daemon's recent attempts at an endpoint.
#[derive(Clone, Debug, Default)]
pub(super) struct RecentOutcomes {
    period_started: Millis,
    current: OutcomeCounts,
    previous: OutcomeCounts,
}

impl RecentOutcomes {
    /// Records an attempt at its first byte, or at its failure if there was none.
    pub(super) fn record_attempt(&mut self, now: Millis) {
        self.advance(now);
        self.current.attempts += 1;
    }

    pub(super) fn record_failure(&mut self, now: Millis) {
        self.advance(now);
        self.current.failures += 1;
    }

    pub(super) fn counts(&self, now: Millis) -> OutcomeCounts {
        let mut counts = OutcomeCounts::default();
        let age = now.since(self.period_started);
        if age < PERIOD {
            counts += self.previous;
        }
        if age < PERIOD + PERIOD {
            counts += self.current;
        }
        counts
    }

    fn advance(&mut self, now: Millis) {
        let age = now.since(self.period_started);
        if age < PERIOD {
            return;
        }
        let is_next = age < PERIOD + PERIOD;
        self.previous = if is_next { self.current } else { OutcomeCounts::default() };
        self.current = OutcomeCounts::default();
        self.period_started = now;
    }
}

/// How much more often each endpoint of a service fails than the best ones.
#[derive(Debug)]
pub(super) struct FailureComparison<'a> {
    /// Shares of failures of the endpoints with failures.
    shares: BTreeMap<&'a str, f64>,
    /// The average share of the best endpoints.
    best: f64,
}

impl FailureComparison<'_> {
    /// Returns the share of failures above that of the best endpoints; 0 if it is close to it.
    pub(super) fn excess(&self, id: &str) -> f64 {
        let excess = self.shares.get(id).map_or(0.0, |share| share - self.best);
        if excess < MIN_EXCESS { 0.0 } else { excess }
    }
}

/// Failures of endpoints, as seen by all daemons.
impl LoadTable {
    /// Returns the recent outcomes of this daemon at endpoints with failures at any daemon.
    pub fn own_outcomes(&self, now: Millis) -> Vec<EndpointOutcomes> {
        let rows = self.endpoints.iter().filter_map(|(id, endpoint)| {
            let counts = endpoint.recent_outcomes.counts(now);
            let is_reported = counts.failures > 0 || self.peer_outcomes.contains_key(id);
            (is_reported && counts.attempts > 0).then(|| EndpointOutcomes {
                endpoint: id.clone(),
                attempts: counts.attempts,
                failures: counts.failures,
            })
        });
        rows.collect()
    }

    /// Replaces the outcomes at all other daemons.
    pub fn set_peer_outcomes(&mut self, rows: &[EndpointOutcomes], now: Millis) {
        self.peer_outcomes_at = now;
        self.peer_outcomes.clear();
        for row in rows {
            let counts = OutcomeCounts { attempts: row.attempts, failures: row.failures };
            self.peer_outcomes.insert(row.endpoint.clone(), counts);
        }
    }

    pub(super) fn compare_failures<'a>(
        &self,
        candidates: &[Candidate<'a>],
        now: Millis,
    ) -> FailureComparison<'a> {
        let mut shares = BTreeMap::new();
        for candidate in candidates {
            let counts = self.outcome_counts(candidate.id, now);
            if counts.failures > 0 {
                shares.insert(candidate.id, counts.failed_share());
            }
        }
        let best = best_average(shares.values().copied(), candidates.len());
        FailureComparison { shares, best }
    }

    fn outcome_counts(&self, id: &str, now: Millis) -> OutcomeCounts {
        let mut counts = OutcomeCounts::default();
        if let Some(endpoint) = self.endpoints.get(id) {
            counts += endpoint.recent_outcomes.counts(now);
        }
        let is_recent = now.since(self.peer_outcomes_at) < PEER_OUTCOMES_STALE_AFTER;
        if let Some(reported) = self.peer_outcomes.get(id).filter(|_| is_recent) {
            counts += *reported;
        }
        counts
    }

    /// Returns the cost of a failure. A request that must not be repeated is lost with it.
    pub(super) fn failure_cost_ms(&self, demand: &Demand<'_>) -> f64 {
        if demand.is_repeatable { self.cfg.failure_penalty_ms } else { self.cfg.lost_request_ms }
    }
}

/// Returns the average of the lowest shares of `endpoints` endpoints; those without failures are
/// not in `shares`.
fn best_average(shares: impl Iterator<Item = f64>, endpoints: usize) -> f64 {
    let mut shares: Vec<f64> = shares.collect();
    let best = ((endpoints as f64 * BEST_ENDPOINTS_SHARE).ceil() as usize).max(1);
    let with_failures = best.saturating_sub(endpoints.saturating_sub(shares.len()));
    shares.sort_by(f64::total_cmp);
    shares.iter().take(with_failures).sum::<f64>() / best as f64
}
