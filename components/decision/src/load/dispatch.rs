use super::entry::{Entry, Place};
use super::pool::Pool;
use super::share::{Share, divide};
use super::{Effect, Scheduler, TIERS};
use crate::Millis;

/// The maximum number of requests counted per tier in a slack check.
const MAX_SLACK_REQUESTS: usize = 32;

/// The time after which a paused request may continue at another endpoint.
const MOVE_PAUSED_AFTER: Millis = Millis(2_000);

/// The number of paused requests of a tier that are considered before its waiting ones.
const MAX_RESUME_CANDIDATES: usize = 4;

/// A request that may start next.
#[derive(Clone, Copy, Debug)]
struct Next {
    request: u64,
    protected: bool,
}

impl Scheduler {
    /// Returns this daemon's share of a pool's slots; without exchange, all of them.
    pub(super) fn share(&self, pool_name: &str) -> Share {
        let Some(pool) = self.pools.get(pool_name) else { return Share::default() };
        if !self.cfg.mechanisms.exchange {
            let all = f64::from(pool.usable_slots());
            return Share { tiers: [all; TIERS], total: all };
        }
        let (daemons, others) = self.peers.totals(&self.cfg.data_centre, pool_name);
        divide(pool.usable_slots(), pool.demand(), &others, daemons + 1)
    }

    /// Starts what fits into the share, preempts for urgent requests, and refuses what is too late.
    pub(super) fn dispatch(&mut self, pool_name: &str, now: Millis) -> Vec<Effect> {
        let mut effects = Vec::new();
        let idle = self.pools.get(pool_name).is_none_or(Pool::is_idle);
        if idle {
            return effects;
        }
        self.accrue_floors(pool_name, now);
        while let Some(next) = self.next_start(pool_name, now) {
            if !self.start(pool_name, next, false, now, &mut effects) {
                break;
            }
        }
        self.start_urgent(pool_name, now, &mut effects);
        effects
    }

    fn accrue_floors(&mut self, pool_name: &str, now: Millis) {
        let slots = self.floor_slots(pool_name);
        let Some(pool) = self.pools.get_mut(pool_name) else { return };
        for floor in pool.floors.values_mut() {
            let first = floor.waiting.first().and_then(|(_, first)| self.entries.get(first));
            floor.accrue(slots, first.map_or(0, |entry| entry.work_ms), now);
        }
    }

    /// Returns this daemon's equal part of a pool's slots; a floor's share is a share of this part.
    pub(super) fn floor_slots(&self, pool_name: &str) -> f64 {
        let Some(pool) = self.pools.get(pool_name) else { return 0.0 };
        let (daemons, _) = self.peers.totals(&self.cfg.data_centre, pool_name);
        f64::from(pool.usable_slots()) / f64::from(daemons + 1)
    }

    /// Selects the request to start next: first one that a floor entitles to a start, then by tier
    /// a paused request that can be resumed or moved, or else the first waiting one.
    fn next_start(&self, pool_name: &str, now: Millis) -> Option<Next> {
        let pool = self.pools.get(pool_name)?;
        let share = self.share(pool_name);
        let has_capacity = f64::from(pool.outstanding()) < share.total.floor();
        if (has_capacity || self.floors_have_capacity(pool_name))
            && let Some(request) = self.entitled_request(pool_name, now)
        {
            return Some(Next { request, protected: true });
        }
        if !has_capacity {
            return None;
        }
        for tier in 0..TIERS {
            let paused = pool.paused[tier].iter().take(MAX_RESUME_CANDIDATES);
            let mut resumable = paused.filter(|(_, request)| self.can_resume(*request, now));
            let found = resumable.next().map(|(_, request)| *request);
            let found = found.or_else(|| self.movable_request(pool_name, tier, now));
            if let Some(request) = found.or_else(|| pool.queues[tier].first()) {
                return Some(Next { request, protected: false });
            }
        }
        None
    }

    /// Returns whether fewer requests are protected than the floors grant this daemon.
    ///
    /// Protected requests may exceed this daemon's share: after the next exchange of load, all
    /// daemons subtract them from the pool before they divide it.
    fn floors_have_capacity(&self, pool_name: &str) -> bool {
        let Some(pool) = self.pools.get(pool_name) else { return false };
        let (daemons, _) = self.peers.totals(&self.cfg.data_centre, pool_name);
        let floors: f64 = pool.floors.values().map(|floor| floor.share).sum();
        let granted = floors * f64::from(pool.usable_slots()) / f64::from(daemons + 1);
        pool.protected.len() < granted.ceil() as usize
    }

    /// Returns a request that a floor entitles to a start, if higher tiers have slack for it.
    fn entitled_request(&self, pool_name: &str, now: Millis) -> Option<u64> {
        if !self.cfg.mechanisms.floors {
            return None;
        }
        let pool = self.pools.get(pool_name)?;
        for floor in pool.floors.values() {
            let Some((_, first)) = floor.waiting.first() else { continue };
            let work_ms = self.entries.get(first).map_or(0, |e| e.work_ms);
            let Some(request) = floor.entitled(work_ms) else { continue };
            let is_paused = matches!(self.entries.get(&request)?.place, Place::Paused(_));
            if is_paused && !self.can_resume(request, now) && !self.may_move(request, now) {
                continue;
            }
            // For an aged class it suffices that higher tiers have slack now: their requests become
            // urgent before their latest start, so one that becomes urgent later can be in time.
            let ahead_ms = if floor.is_aged(now) { 0 } else { work_ms };
            if self.has_slack_above(pool_name, floor.tier, ahead_ms, now) {
                return Some(request);
            }
        }
        None
    }

    /// Returns whether no request waiting above a tier becomes urgent before the next stream is
    /// expected to end, if each running one takes `work_ms`.
    ///
    /// Urgent requests do not count against it while enough lower-tier requests can be preempted.
    pub(super) fn has_slack_above(
        &self,
        pool_name: &str,
        tier: usize,
        work_ms: u64,
        now: Millis,
    ) -> bool {
        let Some(pool) = self.pools.get(pool_name) else { return true };
        let next_end_ms = work_ms / u64::from(pool.outstanding().max(1));
        let until = now + Millis(next_end_ms);
        let mut urgent = 0;
        for above in 0..tier {
            urgent += pool.queues[above].urgent(until).take(MAX_SLACK_REQUESTS).count();
            let has_urgent = pool.queues[above].most_urgent().is_some_and(|(at, _)| at <= until);
            let preemptible = pool.running_below(above).take(MAX_SLACK_REQUESTS).count();
            let can_preempt = self.cfg.mechanisms.preemption && urgent < preemptible;
            if has_urgent && !can_preempt {
                return false;
            }
        }
        true
    }

    /// Returns the oldest paused request of a tier if it has been paused long enough to be moved.
    fn movable_request(&self, pool_name: &str, tier: usize, now: Millis) -> Option<u64> {
        let (_, request) = self.pools.get(pool_name)?.paused[tier].first()?;
        self.may_move(*request, now).then_some(*request)
    }

    fn may_move(&self, request: u64, now: Millis) -> bool {
        let entry = self.entries.get(&request);
        entry.is_some_and(|e| e.arrival.repeatable && now.since(e.placed_at) > MOVE_PAUSED_AFTER)
    }

    fn can_resume(&self, request: u64, now: Millis) -> bool {
        let Some(entry) = self.entries.get(&request) else { return false };
        let Place::Paused(name) = &entry.place else { return false };
        let bound = self.load_bound(&entry.arrival.serves);
        let endpoint = self.endpoints.get(name);
        endpoint.is_some_and(|e| e.cooldown_until <= now && e.outstanding < e.limit().min(bound))
    }

    /// Starts or resumes a request; returns whether an endpoint had a free slot.
    fn start(
        &mut self,
        pool_name: &str,
        next: Next,
        beyond_share: bool,
        now: Millis,
        effects: &mut Vec<Effect>,
    ) -> bool {
        let Next { request, protected } = next;
        let Some(entry) = self.entries.get(&request) else { return false };
        let resumes = self.can_resume(request, now);
        if let (true, Place::Paused(name)) = (resumes, entry.place.clone()) {
            self.record_start(request, protected, now);
            self.detach(request);
            self.place_running(request, &name, now);
            self.entries.get_mut(&request).into_iter().for_each(|e| e.token_delayed = true);
            effects.push(Effect::Resume { request });
            return true;
        }
        let Some(endpoint) = self.choose_endpoint(pool_name, request, beyond_share, now) else {
            return false;
        };
        if matches!(self.entries.get(&request).map(|e| &e.place), Some(Place::Paused(_))) {
            effects.push(Effect::Cancel { request });
            self.entries.get_mut(&request).into_iter().for_each(Entry::record_may_have_run);
        }
        self.send(request, &endpoint, protected, now, effects);
        true
    }

    /// Starts a request beyond this daemon's share, because peers will preempt lower tiers for it.
    pub(super) fn start_beyond_share(
        &mut self,
        pool_name: &str,
        request: u64,
        now: Millis,
        effects: &mut Vec<Effect>,
    ) -> bool {
        let next = Next { request, protected: false };
        self.start(pool_name, next, true, now, effects)
    }

    /// Starts a new attempt of a waiting or paused request at an endpoint.
    pub(super) fn send(
        &mut self,
        request: u64,
        endpoint: &str,
        protected: bool,
        now: Millis,
        effects: &mut Vec<Effect>,
    ) {
        self.record_start(request, protected, now);
        self.detach(request);
        let Some(entry) = self.entries.get_mut(&request) else { return };
        entry.attempt += 1;
        entry.has_first_token = false;
        let attempt = entry.attempt;
        self.place_running(request, endpoint, now);
        effects.push(Effect::Dispatch { request, attempt, endpoint: endpoint.to_string() });
    }

    /// Records the start of a request in its floor, its tier's rate and the queue delay.
    fn record_start(&mut self, request: u64, protected: bool, now: Millis) {
        let Some(entry) = self.entries.get_mut(&request) else { return };
        entry.protected = protected;
        let (tier, attempt) = (entry.tier(), entry.attempt);
        let waited_ms = now.since(entry.arrived).0 as f64;
        let Some(entry) = self.entries.get(&request) else { return };
        let work_ms = entry.work_ms;
        let Some(pool) = self.pools.get_mut(&entry.arrival.serves) else { return };
        if let Some(floor) = pool.floors.get_mut(&entry.arrival.class) {
            floor.start(work_ms, now);
        }
        pool.started_work[tier].add(work_ms as f64, now);
        let Place::Waiting(position) = &entry.place else { return };
        pool.queues[tier].advance(position.tag);
        if attempt == 0 {
            pool.queue_delay.add(waited_ms);
        }
    }
}
