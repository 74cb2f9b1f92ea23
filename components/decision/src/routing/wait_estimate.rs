use super::demand::Demand;
use super::endpoint::{Endpoint, Work};
use super::placement::LoadTable;
use crate::Millis;
use std::collections::BTreeMap;

/// Weight of the newest answer in the average time that a request holds a slot.
const NEWEST_HOLD: f64 = 0.05;
/// Weight of the newest answer in what is learned of the pace of engines.
const NEWEST_PACE: f64 = 0.05;
/// Wait that is added to both sides of the pace, in milliseconds: in a calm time both are small and
/// say nothing.
const PACE_BASE_MS: f64 = 100.0;
/// The waits that were expected from the tokens ahead, and those that came, as averages in
/// milliseconds.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Pace {
    expected_ms: f64,
    seen_ms: f64,
}

impl Pace {
    pub(super) fn note(&mut self, expected_ms: f64, seen_ms: f64) {
        self.expected_ms += (expected_ms - self.expected_ms) * NEWEST_PACE;
        self.seen_ms += (seen_ms - self.seen_ms) * NEWEST_PACE;
    }

    pub(super) fn factor(&self, slowest: f64) -> f64 {
        let factor = (self.seen_ms + PACE_BASE_MS) / (self.expected_ms + PACE_BASE_MS);
        factor.clamp(1.0, slowest)
    }
}

/// The load of other daemons at an endpoint.
#[derive(Clone, Debug, Default)]
pub(super) struct Shared {
    pub(super) unread_by_rank: BTreeMap<u8, u64>,
    pub(super) held_tokens: u64,
    pub(super) running_by_rank: BTreeMap<u8, u32>,
}

impl Shared {
    pub(super) fn running(&self) -> u32 {
        self.running_by_rank.values().sum()
    }
}

/// How long requests wait at endpoints.
impl LoadTable {
    /// Returns the time to read the prompts of a rank and above that are known to wait at an
    /// endpoint.
    pub(super) fn queued_ms(&self, endpoint: &Endpoint, shared: Option<&Shared>, rank: u8) -> f64 {
        let waits = |w: &&Work| w.answering.is_none() && w.priority <= rank;
        let own: u64 =
            endpoint.work.values().filter(waits).map(|w| u64::from(w.unread_tokens)).sum();
        let told: u64 = shared.map_or(0, |s| s.unread_by_rank.range(..=rank).map(|(_, t)| t).sum());
        (own + told) as f64 / self.terms.read_rate
    }

    /// Returns how long a request of a rank waits at an endpoint: from this daemon's requests that
    /// are not answered yet, and from those answered lately or what other daemons told.
    pub(super) fn wait_ms(
        &self,
        endpoint: &Endpoint,
        shared: Option<&Shared>,
        priority: u8,
        now: Millis,
    ) -> f64 {
        let waits = |w: &&Work| w.answering.is_none() && w.priority <= priority;
        let ahead = || endpoint.work.values().filter(waits);
        let own_ms: f64 = ahead().map(|w| self.read_ms(w.unread_tokens)).sum();
        let oldest_ms =
            ahead().map(|w| now.since(w.since).0 as f64 - w.work_ms).fold(0.0, f64::max);
        let seen = endpoint.waits.range(..=priority);
        let seen_ms = seen.map(|(_, wait)| wait.at(now)).fold(0.0, f64::max);
        let told = shared.map_or(0, |s| s.unread_by_rank.range(..=priority).map(|(_, t)| t).sum());
        let told_ms = told as f64 / self.terms.read_rate;
        (own_ms + seen_ms.max(told_ms)).max(oldest_ms)
    }

    /// Returns how long a request waits for a free slot of an engine, behind the requests of its
    /// rank and above.
    pub(super) fn slot_wait_ms(
        &self,
        endpoint: &Endpoint,
        shared: Option<&Shared>,
        slots: u32,
        demand: &Demand<'_>,
    ) -> f64 {
        let rank = demand.priority;
        let own = endpoint.work.values().filter(|w| w.priority <= rank).count() as u32;
        let told = shared.map_or(0, |s| s.running_by_rank.range(..=rank).map(|(_, n)| n).sum());
        let beyond = (own + told + 1).saturating_sub(slots);
        let hold_ms = self.hold_ms.get(&demand.lane).copied().unwrap_or(0.0);
        f64::from(beyond) / f64::from(slots.max(1)) * hold_ms * self.terms.slot_wait
    }

    /// Learns how long requests hold a slot.
    pub(super) fn note_hold(&mut self, work: &Work, now: Millis) {
        let Some(began) = work.answering.filter(|_| work.held_tokens > 0) else { return };
        let held_ms = work.work_ms + now.since(began).0 as f64;
        let average = self.hold_ms.entry(work.lane).or_insert(held_ms);
        *average += (held_ms - *average) * NEWEST_HOLD;
    }
}
