use super::demand::Demand;
use super::endpoint::{EndpointState, InFlight};
use super::placement::LoadTable;
use crate::Millis;
use std::collections::BTreeMap;

/// Weight of the latest request in the average time that a request occupies a slot.
const SLOT_TIME_AVERAGE_WEIGHT: f64 = 0.05;
/// Weight of the latest request in the averages behind the wait correction.
const CORRECTION_AVERAGE_WEIGHT: f64 = 0.05;
/// Added to both the observed and the predicted wait, in milliseconds: under low load both are
/// small and their ratio is meaningless.
const CORRECTION_BASE_MS: f64 = 100.0;

/// Moving averages of the waits predicted from the prompt tokens ahead, and of the observed waits.
/// The wait correction is the observed average divided by the predicted one.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct WaitCorrection {
    predicted_ms: f64,
    observed_ms: f64,
}

impl WaitCorrection {
    pub(super) fn record(&mut self, predicted_ms: f64, observed_ms: f64) {
        self.predicted_ms += (predicted_ms - self.predicted_ms) * CORRECTION_AVERAGE_WEIGHT;
        self.observed_ms += (observed_ms - self.observed_ms) * CORRECTION_AVERAGE_WEIGHT;
    }

    pub(super) fn factor(&self, max: f64) -> f64 {
        let factor =
            (self.observed_ms + CORRECTION_BASE_MS) / (self.predicted_ms + CORRECTION_BASE_MS);
        factor.clamp(1.0, max)
    }
}

/// The load of other daemons at an endpoint, as last reported.
#[derive(Clone, Debug, Default)]
pub(super) struct PeerLoad {
    pub(super) unread_by_priority: BTreeMap<u8, u64>,
    pub(super) held_tokens: u64,
    pub(super) running_by_priority: BTreeMap<u8, u32>,
}

impl PeerLoad {
    pub(super) fn running(&self) -> u32 {
        self.running_by_priority.values().sum()
    }
}

/// Estimates how long requests wait at endpoints.
impl LoadTable {
    /// Returns the time in milliseconds to prefill the prompts of this or a higher priority that
    /// are known to wait at an endpoint.
    pub(super) fn queued_ms(
        &self,
        endpoint: &EndpointState,
        peer_load: Option<&PeerLoad>,
        priority: u8,
    ) -> f64 {
        let is_waiting = |w: &&InFlight| w.first_byte_at.is_none() && w.priority <= priority;
        let own: u64 = endpoint
            .in_flight
            .values()
            .filter(is_waiting)
            .map(|w| u64::from(w.unread_tokens))
            .sum();
        let reported: u64 = peer_load
            .map_or(0, |load| load.unread_by_priority.range(..=priority).map(|(_, t)| t).sum());
        (own + reported) as f64 / self.cfg.prefill_tokens_per_ms
    }

    /// Estimates how long a request waits at an endpoint, in milliseconds, from the requests of the
    /// same or a higher priority: the time to prefill the prompts of this daemon that wait there,
    /// plus the larger of the recently observed wait and the time to prefill the prompts reported
    /// by other daemons. The estimate is at least the time that any of this daemon's prompts has
    /// already waited.
    pub(super) fn wait_ms(
        &self,
        endpoint: &EndpointState,
        peer_load: Option<&PeerLoad>,
        priority: u8,
        now: Millis,
    ) -> f64 {
        let is_waiting = |w: &&InFlight| w.first_byte_at.is_none() && w.priority <= priority;
        let ahead = || endpoint.in_flight.values().filter(is_waiting);
        let own_ms: f64 = ahead().map(|w| self.prefill_ms(w.unread_tokens)).sum();
        let oldest_ms =
            ahead().map(|w| now.since(w.sent_at).0 as f64 - w.service_ms).fold(0.0, f64::max);
        let observed = endpoint.waits.range(..=priority);
        let observed_ms = observed.map(|(_, wait)| wait.decayed_ms(now)).fold(0.0, f64::max);
        let reported = peer_load
            .map_or(0, |load| load.unread_by_priority.range(..=priority).map(|(_, t)| t).sum());
        let reported_ms = reported as f64 / self.cfg.prefill_tokens_per_ms;
        (own_ms + observed_ms.max(reported_ms)).max(oldest_ms)
    }

    /// Estimates how long a request waits for a free slot of an engine, in milliseconds, behind the
    /// requests of the same or a higher priority; multiplied by `slot_wait_weight`.
    pub(super) fn slot_wait_ms(
        &self,
        endpoint: &EndpointState,
        peer_load: Option<&PeerLoad>,
        slots: u32,
        demand: &Demand<'_>,
    ) -> f64 {
        let priority = demand.priority;
        let own = endpoint.in_flight.values().filter(|w| w.priority <= priority).count() as u32;
        let reported = peer_load
            .map_or(0, |load| load.running_by_priority.range(..=priority).map(|(_, n)| n).sum());
        let excess = (own + reported + 1).saturating_sub(slots);
        let slot_time_ms = self.slot_time_ms.get(&demand.lane).copied().unwrap_or(0.0);
        f64::from(excess) / f64::from(slots.max(1)) * slot_time_ms * self.cfg.slot_wait_weight
    }

    /// Updates the average time that requests of a lane occupy a slot.
    pub(super) fn record_slot_time(&mut self, request: &InFlight, now: Millis) {
        let Some(first_byte) = request.first_byte_at.filter(|_| request.held_tokens > 0) else {
            return;
        };
        let occupied_ms = request.service_ms + now.since(first_byte).0 as f64;
        let average = self.slot_time_ms.entry(request.lane).or_insert(occupied_ms);
        *average += (occupied_ms - *average) * SLOT_TIME_AVERAGE_WEIGHT;
    }
}
