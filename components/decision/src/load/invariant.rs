use super::entry::Place;
use super::{Scheduler, TIERS};
use crate::Millis;
use std::collections::BTreeMap;

/// Invariant checks; they panic when the scheduler's state is inconsistent.
impl Scheduler {
    pub(super) fn checks_enabled(&self) -> bool {
        cfg!(debug_assertions) || self.cfg.check_invariants
    }

    /// Counts a refusal while lower-tier work could be preempted; panics when checks are enabled.
    pub(super) fn check_refusal(&mut self, pool_name: &str, tier: usize, now: Millis) {
        let candidate = self.preemption_candidate(pool_name, tier, now);
        let at_peers = self.preemptible_at_peers(pool_name, tier, now);
        if candidate.is_none() && at_peers == 0 {
            return;
        }
        self.stats.tier_violations += 1;
        if self.checks_enabled() {
            let tier = tier + 1;
            assert!(candidate.is_none(), "tier {tier} refused while a lower one ran here");
            assert!(
                at_peers == 0,
                "tier {tier} refused while peers ran {at_peers} lower-tier requests"
            );
        }
    }

    /// Checks places, endpoint counts, floors and the link budget, if checks are enabled.
    pub(super) fn check_invariants(&mut self, now: Millis) {
        if !self.checks_enabled() {
            return;
        }
        self.check_places();
        self.check_endpoints();
        self.check_floors(now);
        assert!(self.link.is_within_budget(), "the link budget is overdrawn");
    }

    /// Checks that each request is in exactly one place.
    fn check_places(&self) {
        let mut waiting = 0;
        let mut running = 0;
        let mut paused = 0;
        for (request, entry) in &self.entries {
            match entry.place {
                Place::Unplaced => panic!("request {request} is in no queue and at no endpoint"),
                Place::Waiting(_) => waiting += 1,
                Place::Running(_) => running += 1,
                Place::Paused(_) => paused += 1,
                Place::Remote(_) => {}
            }
        }
        let pools = || self.pools.values();
        let queued: usize = pools().map(|p| p.waiting()).sum();
        assert_eq!(waiting, queued, "waiting requests differ from the queues");
        let outstanding: u32 = pools().map(|p| p.outstanding()).sum();
        assert_eq!(running, outstanding, "running requests differ from the pools");
        let paused_total: usize = pools().flat_map(|p| p.paused.iter()).map(|p| p.len()).sum();
        assert_eq!(paused, paused_total, "paused requests differ from the pools");
        let charged = self.entries.values().filter(|e| e.is_charged).count() as u64;
        let charged = charged + self.active_calls;
        assert_eq!(
            charged,
            self.limits.streams(),
            "charged requests and calls differ from the streams charged to accounts"
        );
    }

    /// Checks that the counts of each endpoint match its requests.
    fn check_endpoints(&self) {
        let mut counts: BTreeMap<&str, (u32, u32)> = BTreeMap::new();
        for entry in self.entries.values() {
            match &entry.place {
                Place::Running(name) => counts.entry(name).or_default().0 += 1,
                Place::Paused(name) => counts.entry(name).or_default().1 += 1,
                _ => {}
            }
        }
        for (name, endpoint) in &self.endpoints {
            let counted = counts.get(name.as_str()).copied().unwrap_or_default();
            let recorded = (endpoint.outstanding, endpoint.paused);
            assert_eq!(counted, recorded, "requests differ from the counts of endpoint {name}");
        }
    }

    /// Checks that a class with a floor starts a request in each finish window in which it is
    /// entitled to one and higher tiers leave slack.
    fn check_floors(&mut self, now: Millis) {
        let names: Vec<String> = self.pools.keys().cloned().collect();
        for name in names {
            let slack: [bool; TIERS] =
                std::array::from_fn(|tier| self.has_slack_above(&name, tier, 0, now));
            let slots = self.floor_slots(&name);
            let Some(pool) = self.pools.get_mut(&name) else { continue };
            for (class, floor) in &mut pool.floors {
                let first = floor.waiting.first().and_then(|(_, first)| self.entries.get(first));
                let work_ms = first.map_or(0, |entry| entry.work_ms);
                floor.record_check(slack[floor.tier], slots, work_ms, now);
                assert!(floor.is_met(work_ms, now), "class {class} has not had its floor");
            }
        }
    }
}
