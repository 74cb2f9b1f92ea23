use super::demand::ServiceDemand;
use crate::Millis;

/// Excess of the share of late responses above the usual one with which endpoints are not reduced.
const HOLD_EXCESS: f64 = 0.03;
/// The same, with which the service gets more endpoints than its work seems to need.
const RAISE_EXCESS: f64 = 0.1;
/// Time at the start of a term whose average is the usual share; nothing is reduced in it.
const FIRST_AVERAGE: Millis = Millis(10_000);
/// Upper bound of the usual share.
const MAX_USUAL_SHARE: f64 = 0.3;
/// Weight of the latest share in the average.
const SHARE_WEIGHT: f64 = 0.1;
/// Minimum number of responses per second for the share to be meaningful.
const MIN_RESPONSES: f64 = 5.0;
/// Factor by which the need is raised at a time, and its upper bound.
const RAISE_FACTOR: f64 = 1.25;
const MAX_FACTOR: f64 = 3.0;
/// Time constant of the decay of the factor, in milliseconds: the work of an engine that reads more
/// slowly than estimated stays the same, so it is lowered only slowly to try fewer endpoints.
const DECAY_MS: f64 = 300_000.0;

/// Whether responses begin late, and how much more capacity the service has needed than estimated.
///
/// The estimate is based on the read rate of a typical engine. Late responses correct it for others.
#[derive(Clone, Copy, Debug)]
pub(super) struct Pressure {
    /// The excess of the factor above 1.
    excess: f64,
    /// Since when responses have been late or the factor was last raised.
    late_since: Option<Millis>,
    updated_at: Millis,
    started_at: Millis,
    /// The average share of late responses; `None` before the first.
    average: Option<f64>,
    /// The usual share: a lower average replaces it.
    usual: f64,
    is_high: bool,
}

impl Pressure {
    pub(super) fn new(now: Millis) -> Pressure {
        Pressure {
            excess: 0.0,
            late_since: None,
            updated_at: now,
            started_at: now,
            average: None,
            usual: 0.0,
            is_high: false,
        }
    }

    /// Records the share of late responses. The factor is raised when responses are still late after
    /// endpoints that were ordered for the present load have served for a while.
    pub(super) fn update(&mut self, demand: &ServiceDemand, boot: Millis, now: Millis) {
        let work = || demand.data_centres.values().map(|demand| &demand.work);
        let begun: f64 = work().map(|work| work.begun).sum();
        let late: f64 = work().map(|work| work.begun_late + work.refused).sum();
        let share = if begun + late < MIN_RESPONSES { 0.0 } else { late / begun.max(late) };
        self.record_share(share, now);
        self.is_high = share > self.usual + HOLD_EXCESS;
        self.excess *= (-(now.since(self.updated_at).0 as f64) / DECAY_MS).exp();
        self.updated_at = now;
        if share <= self.usual + RAISE_EXCESS {
            self.late_since = None;
            return;
        }
        let since = *self.late_since.get_or_insert(now);
        if now.since(since) >= boot + boot {
            self.excess = ((1.0 + self.excess) * RAISE_FACTOR).min(MAX_FACTOR) - 1.0;
            self.late_since = Some(now);
        }
    }

    fn record_share(&mut self, share: f64, now: Millis) {
        let average = self.average.get_or_insert(share);
        *average += (share - *average) * SHARE_WEIGHT;
        let average = average.min(MAX_USUAL_SHARE);
        let is_first = now.since(self.started_at) < FIRST_AVERAGE;
        self.usual = if is_first { average } else { average.min(self.usual) };
    }

    pub(super) fn is_high(&self) -> bool {
        self.is_high
    }

    pub(super) fn factor(&self) -> f64 {
        1.0 + self.excess
    }
}
