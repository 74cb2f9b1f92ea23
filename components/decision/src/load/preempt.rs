use super::entry::Place;
use super::pool::Pool;
use super::{Effect, Scheduler, TIERS};
use crate::Millis;

/// The maximum number of running requests considered for preemption.
const MAX_PREEMPTION_CANDIDATES: usize = 32;

/// The maximum number of urgent requests of one tier that are handled in one dispatch.
const URGENT_BATCH: usize = 32;

impl Scheduler {
    /// Starts urgent requests by preemption, forwarding or exceeding the share; refuses late ones.
    pub(super) fn start_urgent(&mut self, pool_name: &str, now: Millis, effects: &mut Vec<Effect>) {
        for tier in 0..TIERS {
            let Some(pool) = self.pools.get(pool_name) else { return };
            let urgent: Vec<u64> = pool.queues[tier].urgent(now).take(URGENT_BATCH).collect();
            for request in urgent {
                self.start_urgent_request(pool_name, request, tier, now, effects);
            }
        }
    }

    fn start_urgent_request(
        &mut self,
        pool_name: &str,
        request: u64,
        tier: usize,
        now: Millis,
        effects: &mut Vec<Effect>,
    ) {
        let Some(entry) = self.entries.get(&request) else { return };
        let Place::Waiting(position) = entry.place else { return };
        let has_tokens = entry.generated > 0;
        if self.preempt_for(pool_name, request, tier, now, effects) {
            return;
        }
        if self.spill(request, now, effects) {
            return;
        }
        let at_peers = self.preemptible_at_peers(pool_name, tier, now);
        if at_peers > 0 && self.start_beyond_share(pool_name, request, now, effects) {
            *self.beyond_share.entry(pool_name.to_string()).or_default() += 1;
            return;
        }
        if has_tokens {
            self.abandon_late(request, now, effects);
        } else if position.latest < now {
            self.refuse_late(request, now, effects);
        }
    }

    /// Estimates how many lower-tier requests the peers will preempt for this daemon: an equal part
    /// for this and each other daemon with urgent requests, less the requests that this daemon has
    /// already started beyond its share.
    pub(super) fn preemptible_at_peers(&self, pool_name: &str, tier: usize, now: Millis) -> u32 {
        let mechanisms = self.cfg.mechanisms;
        let enabled = mechanisms.exchange && mechanisms.preemption;
        if !enabled || !self.has_free_endpoint(pool_name, now) {
            return 0;
        }
        let (_, others) = self.peers.totals(&self.cfg.data_centre, pool_name);
        let part = others.running_below(tier) / (others.urgent_daemons + 1);
        part.saturating_sub(self.beyond_share.get(pool_name).copied().unwrap_or(0))
    }

    /// Starts a request in place of a preempted lower-tier one; returns whether there was one.
    pub(super) fn preempt_for(
        &mut self,
        pool_name: &str,
        request: u64,
        tier: usize,
        now: Millis,
        effects: &mut Vec<Effect>,
    ) -> bool {
        if !self.cfg.mechanisms.preemption {
            return false;
        }
        let Some(candidate) = self.preemption_candidate(pool_name, tier, now) else { return false };
        let Some(endpoint) = self.preempt(candidate, now, effects) else { return false };
        self.send(request, &endpoint, false, now, effects);
        true
    }

    /// Returns the first request below a tier, in the order of preemption, that is repeatable and
    /// runs at a usable endpoint that is not slow.
    pub(super) fn preemption_candidate(
        &self,
        pool_name: &str,
        tier: usize,
        now: Millis,
    ) -> Option<u64> {
        let below = self.pools.get(pool_name)?.running_below(tier).take(MAX_PREEMPTION_CANDIDATES);
        below.into_iter().find(|request| {
            let repeatable = self.entries.get(request).filter(|entry| entry.arrival.repeatable);
            let place = repeatable.map(|entry| &entry.place);
            let Some(Place::Running(name)) = place else { return false };
            self.endpoints.get(name).is_some_and(|e| e.is_usable(now) && !e.slow)
        })
    }

    /// Returns whether an endpoint could take one more request beyond this daemon's share.
    pub(super) fn has_free_endpoint(&self, pool_name: &str, now: Millis) -> bool {
        let Some(pool) = self.pools.get(pool_name) else { return false };
        let names = pool.members.iter().map(|(_, name)| name);
        let usable = names.filter_map(|name| self.endpoints.get(name));
        let mut usable = usable.filter(|e| e.is_usable(now)).take(self.cfg.subset);
        usable.any(|e| !e.is_probed() && e.outstanding < e.limit())
    }

    /// Pauses or cancels a running request; returns the endpoint that it ran at.
    pub(super) fn preempt(
        &mut self,
        candidate: u64,
        now: Millis,
        effects: &mut Vec<Effect>,
    ) -> Option<String> {
        let entry = self.entries.get(&candidate)?;
        let Place::Running(name) = entry.place.clone() else { return None };
        let endpoint = self.endpoints.get(&name)?;
        let pauses = self.cfg.mechanisms.pause && endpoint.info.pauses;
        let can_pause = pauses && endpoint.paused < endpoint.info.slots;
        self.detach(candidate);
        if can_pause {
            self.stats.paused += 1;
            self.place_paused(candidate, &name, now);
            effects.push(Effect::Pause { request: candidate });
        } else {
            self.stats.cancelled += 1;
            self.entries.get_mut(&candidate)?.record_may_have_run();
            self.place_waiting(candidate, now);
            effects.push(Effect::Cancel { request: candidate });
        }
        Some(name)
    }

    /// Preempts requests beyond the share for urgent higher-tier requests of other daemons.
    pub(super) fn yield_to_peers(
        &mut self,
        pool_name: &str,
        now: Millis,
        effects: &mut Vec<Effect>,
    ) {
        if !self.cfg.mechanisms.preemption || !self.cfg.mechanisms.exchange {
            return;
        }
        let (_, others) = self.peers.totals(&self.cfg.data_centre, pool_name);
        let Some(tier) = (0..TIERS).find(|tier| others.urgent[*tier] > 0) else { return };
        let urgent: u32 = others.urgent.iter().sum();
        let share = self.share(pool_name).total.floor() as u32;
        for _ in 0..urgent {
            let outstanding = self.pools.get(pool_name).map_or(0, Pool::outstanding);
            if outstanding <= share {
                return;
            }
            let Some(candidate) = self.preemption_candidate(pool_name, tier, now) else { return };
            if self.preempt(candidate, now, effects).is_none() {
                return;
            }
        }
    }
}
