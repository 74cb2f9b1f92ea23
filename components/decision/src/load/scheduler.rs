use super::call::limit_reached;
use super::choice::hash_names;
use super::entry::{Entry, Place};
use super::length::LengthEstimator;
use super::limits::Limits;
use super::link::LinkBudget;
use super::peers::Peers;
use super::pool::Pool;
use super::retry::RetryBudget;
use super::{
    Arrival, DaemonLoad, Effect, Endpoint, EndpointInfo, EndpointReport, EndpointState, Outcome,
    SchedulerConfig, Stats,
};
use crate::Millis;
use errors::{Reason, Refusal, Verdict};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet};

/// Requests that become urgent within this time are reported as urgent, in milliseconds.
const URGENT_HORIZON_MS: u64 = 400;

/// The admission and dispatch state of one daemon: queues, endpoints and peer loads.
///
/// Events go in as method calls with the current time; effects come out.
#[derive(Clone, Debug)]
pub struct Scheduler {
    pub(super) cfg: SchedulerConfig,
    pub(super) rng: Pcg64Mcg,
    pub(super) endpoints: BTreeMap<String, Endpoint>,
    pub(super) entries: BTreeMap<u64, Entry>,
    pub(super) pools: BTreeMap<String, Pool>,
    pub(super) peers: Peers,
    pub(super) limits: Limits,
    /// Calls of plain services in progress that are charged to account limits.
    pub(super) active_calls: u64,
    pub(super) lengths: LengthEstimator,
    pub(super) retry_budget: RetryBudget,
    pub(super) link: LinkBudget,
    /// When each running or forwarded request is next checked for silence.
    pub(super) silence_checks: BTreeSet<(Millis, u64)>,
    /// Requests started beyond the share since the last load report of a peer in this data centre,
    /// by pool.
    pub(super) beyond_share: BTreeMap<String, u32>,
    pub(super) stats: Stats,
    /// The number of ticks so far; each tick compares the endpoints of one pool, in turn.
    ticks: u64,
}

impl Scheduler {
    /// Creates a scheduler without endpoints.
    pub fn new(cfg: SchedulerConfig) -> Scheduler {
        Scheduler {
            rng: Pcg64Mcg::seed_from_u64(cfg.seed),
            cfg,
            endpoints: BTreeMap::new(),
            entries: BTreeMap::new(),
            pools: BTreeMap::new(),
            peers: Peers::default(),
            limits: Limits::default(),
            active_calls: 0,
            lengths: LengthEstimator::default(),
            retry_budget: RetryBudget::default(),
            link: LinkBudget::default(),
            silence_checks: BTreeSet::new(),
            beyond_share: BTreeMap::new(),
            stats: Stats::default(),
            ticks: 0,
        }
    }

    /// Sets the part of the account limits that this data centre grants, 0 to 1.
    pub fn set_limit_share(&mut self, share: f64) {
        self.cfg.limit_share = share;
    }

    /// Returns the endpoints by name.
    pub fn endpoints(&self) -> &BTreeMap<String, Endpoint> {
        &self.endpoints
    }

    /// Returns, for each model or plain service, the lowest tier without a recent refusal; 0 if
    /// there is none.
    pub fn admitted_tiers(&self, now: Millis) -> BTreeMap<String, u8> {
        self.pools.iter().map(|(name, pool)| (name.clone(), pool.admitted_tier(now))).collect()
    }

    /// Returns the number of waiting requests.
    pub fn waiting(&self) -> usize {
        self.pools.values().map(Pool::waiting).sum()
    }

    /// Returns the attempt of a request that runs, is paused or was forwarded, if any.
    ///
    /// Events of any other attempt must not be passed to `progress` or `finish`; `finish_attempt`
    /// checks this.
    pub fn live_attempt(&self, request: u64) -> Option<u32> {
        let entry = self.entries.get(&request)?;
        let live = matches!(entry.place, Place::Running(_) | Place::Paused(_) | Place::Remote(_));
        live.then_some(entry.attempt)
    }

    /// Returns the counters since the start.
    pub fn stats(&self) -> &Stats {
        &self.stats
    }

    /// Returns the bytes reserved on the link between regions since the start, by class.
    pub fn link_bytes(&self) -> &BTreeMap<String, u64> {
        self.link.bytes()
    }

    /// Handles a new request: admits, forwards or refuses it.
    pub fn arrive(&mut self, arrival: Arrival, now: Millis) -> Vec<Effect> {
        let request = arrival.request;
        if self.entries.contains_key(&request) {
            // A peer that lost the response sends the request again; the new one replaces the old.
            let mut effects = self.abandon(request, now);
            effects.append(&mut self.arrive(arrival, now));
            return effects;
        }
        self.retry_budget.record_request(now);
        let is_local = self.is_served_here(&arrival.serves);
        if !is_local && (arrival.forwarded || !self.is_served_elsewhere(&arrival.serves)) {
            return vec![no_endpoint(&arrival)];
        }
        let mut entry = Entry::new(arrival, now);
        if let Err(wait_ms) = self.charge(&mut entry, now) {
            let refusal = limit_reached(&entry.arrival, wait_ms);
            return vec![Effect::Refuse { request, refusal }];
        }
        if is_local { self.admit(entry, now) } else { self.forward_unserved(entry, now) }
    }

    /// Returns whether a live endpoint of this data centre serves a model or plain service.
    pub(super) fn is_served_here(&self, serves: &str) -> bool {
        self.pools.get(serves).is_some_and(|pool| !pool.members.is_empty())
    }

    fn is_served_elsewhere(&self, serves: &str) -> bool {
        self.peers.data_centres().values().any(|centre| centre.pools.contains_key(serves))
    }

    /// Forwards a request that no endpoint of this data centre serves.
    fn forward_unserved(&mut self, entry: Entry, now: Millis) -> Vec<Effect> {
        let arrival = entry.arrival.clone();
        self.entries.insert(arrival.request, entry);
        self.place_waiting(arrival.request, now);
        let mut effects = Vec::new();
        if !self.spill(arrival.request, now, &mut effects) {
            self.remove_request(arrival.request);
            effects.push(no_endpoint(&arrival));
        }
        effects
    }

    /// Charges the request's expected tokens; the error is the retry-after time, in milliseconds.
    fn charge(&mut self, entry: &mut Entry, now: Millis) -> Result<(), u64> {
        if entry.arrival.forwarded || !self.cfg.mechanisms.limits {
            return Ok(());
        }
        let arrival = &entry.arrival;
        let response_tokens = self.lengths.remaining(&arrival.class, &arrival.account, 0, 0.5);
        let tokens = arrival.prompt_tokens + response_tokens;
        self.charge_account(arrival, tokens, now)?;
        entry.charged_tokens = tokens;
        entry.is_charged = true;
        Ok(())
    }

    /// Records that `tokens` more tokens of the live attempt have arrived.
    ///
    /// With 0 tokens it records that the daemon holds the stream back because the caller does not
    /// read, so that the attempt does not count as silent.
    pub fn progress(&mut self, request: u64, tokens: u32, now: Millis) -> Vec<Effect> {
        let Some(entry) = self.entries.get_mut(&request) else { return Vec::new() };
        if tokens == 0 {
            entry.progressed_at = now;
            entry.token_delayed = true;
            return Vec::new();
        }
        let elapsed_ms = now.since(entry.progressed_at).0 as f64;
        let first = !entry.has_first_token;
        entry.generated = entry.generated.saturating_add(tokens);
        entry.progressed_at = now;
        entry.has_first_token = true;
        let Place::Running(name) = &entry.place else { return Vec::new() };
        let Some(endpoint) = self.endpoints.get_mut(name) else { return Vec::new() };
        let Some(pool) = self.pools.get_mut(&entry.arrival.serves) else { return Vec::new() };
        if std::mem::take(&mut entry.token_delayed) {
            return Vec::new();
        }
        if first {
            endpoint.first_token.add(elapsed_ms);
            pool.first_token.add(elapsed_ms);
        } else {
            endpoint.between_tokens.add(elapsed_ms / f64::from(tokens));
            pool.between_tokens.add(elapsed_ms / f64::from(tokens));
        }
        Vec::new()
    }

    /// Handles the end of an attempt that a worker reports. If the attempt is no longer the live
    /// one, a failure of it is ignored, and its complete response ends the request and the live
    /// attempt.
    pub fn finish_attempt(
        &mut self,
        request: u64,
        attempt: u32,
        outcome: Outcome,
        now: Millis,
    ) -> Vec<Effect> {
        if self.live_attempt(request) == Some(attempt) {
            return self.finish(request, outcome, now);
        }
        match outcome {
            Outcome::Done | Outcome::Abandoned => self.abandon(request, now),
            Outcome::Failed(_) => Vec::new(),
        }
    }

    /// Handles the end of the live attempt.
    pub fn finish(&mut self, request: u64, outcome: Outcome, now: Millis) -> Vec<Effect> {
        let Some(entry) = self.entries.get(&request) else { return Vec::new() };
        let pool = entry.arrival.serves.clone();
        let mut effects = Vec::new();
        match outcome {
            Outcome::Done => {
                self.record_completion(request);
                self.remove_request(request);
            }
            Outcome::Abandoned => self.remove_request(request),
            Outcome::Failed(verdict) => self.fail_attempt(request, verdict, now, &mut effects),
        }
        effects.append(&mut self.dispatch(&pool, now));
        effects
    }

    fn record_completion(&mut self, request: u64) {
        let Some(entry) = self.entries.get(&request) else { return };
        let arrival = &entry.arrival;
        if entry.generated > 0 {
            self.lengths.add(&arrival.class, &arrival.account, entry.generated);
        }
        if let Place::Running(name) = &entry.place
            && let Some(endpoint) = self.endpoints.get_mut(name)
        {
            endpoint.succeed();
        }
    }

    /// Cancels a request whose caller disconnected.
    pub fn abandon(&mut self, request: u64, now: Millis) -> Vec<Effect> {
        let mut effects = Vec::new();
        if self.live_attempt(request).is_some() {
            effects.push(Effect::Cancel { request });
        }
        effects.append(&mut self.finish(request, Outcome::Abandoned, now));
        effects
    }

    /// Adds or updates an endpoint; a leaving endpoint does not become live again.
    pub fn set_endpoint(
        &mut self,
        info: EndpointInfo,
        state: EndpointState,
        now: Millis,
    ) -> Vec<Effect> {
        let name = info.name.clone();
        let served = self.endpoints.get(&name).map(|e| e.info.serves.clone()).unwrap_or_default();
        self.leave_pools(&name);
        let endpoint = self.endpoints.entry(name.clone()).or_default();
        endpoint.hash = hash_names(&name, "");
        endpoint.info = info;
        endpoint.state = endpoint.state.max(state);
        let serves = endpoint.info.serves.clone();
        if endpoint.state == EndpointState::Live {
            self.join_pools(&name);
        }
        let pools: BTreeSet<String> = served.union(&serves).cloned().collect();
        pools.iter().flat_map(|pool| self.dispatch(pool, now)).collect()
    }

    fn join_pools(&mut self, name: &str) {
        let Some(endpoint) = self.endpoints.get(name) else { return };
        let score = hash_names(&self.cfg.name, name);
        for pool in &endpoint.info.serves {
            let pool = self.pools.entry(pool.clone()).or_default();
            pool.members.insert((score, name.to_string()));
            pool.slots += endpoint.info.slots;
        }
    }

    fn leave_pools(&mut self, name: &str) {
        let Some(endpoint) = self.endpoints.get(name) else { return };
        let score = hash_names(&self.cfg.name, name);
        for pool in &endpoint.info.serves {
            let Some(pool) = self.pools.get_mut(pool) else { continue };
            if pool.members.remove(&(score, name.to_string())) {
                pool.slots -= endpoint.info.slots;
            }
        }
    }

    /// Removes an endpoint; its requests are retried at others or refused.
    pub fn remove_endpoint(&mut self, name: &str, now: Millis) -> Vec<Effect> {
        self.leave_pools(name);
        let Some(endpoint) = self.endpoints.get(name) else { return Vec::new() };
        let requests: Vec<u64> = endpoint.requests.iter().copied().collect();
        let pools = endpoint.info.serves.clone();
        let mut effects = Vec::new();
        for request in requests {
            effects.push(Effect::Cancel { request });
            self.fail_attempt(request, Verdict::MayHaveRun, now, &mut effects);
        }
        self.endpoints.remove(name);
        effects.extend(pools.iter().flat_map(|pool| self.dispatch(pool, now)));
        effects
    }

    /// Records a load report of an endpoint.
    pub fn report(&mut self, name: &str, report: EndpointReport, now: Millis) -> Vec<Effect> {
        if let Some(endpoint) = self.endpoints.get_mut(name) {
            endpoint.report = Some((report, now));
        }
        Vec::new()
    }

    /// Performs the periodic work: drops stale peers and idle account usage, cancels silent
    /// attempts, compares the endpoints of one pool and dispatches in every pool.
    pub fn tick(&mut self, now: Millis) -> Vec<Effect> {
        let mut effects = Vec::new();
        self.peers.expire(self.cfg.peer_timeout, now);
        self.limits.sweep(now);
        self.fail_silent_attempts(now, &mut effects);
        let pools: Vec<String> = self.pools.keys().cloned().collect();
        let compared = pools.get(self.ticks as usize % pools.len().max(1));
        if let Some(pool) = compared {
            self.compare_endpoints(pool, now, &mut effects);
            self.count_unavailable_slots(pool, now);
        }
        self.ticks = self.ticks.wrapping_add(1);
        for pool in &pools {
            effects.append(&mut self.dispatch(pool, now));
        }
        self.check_invariants(now);
        effects
    }

    /// Returns the load report that this daemon sends to the others a few times a second.
    pub fn own_load(&mut self, now: Millis) -> DaemonLoad {
        let until = now + Millis(URGENT_HORIZON_MS);
        let load = |(name, pool): (&String, &Pool)| {
            let free = self.share(name).total - f64::from(pool.outstanding());
            let free_slots = (free - pool.waiting() as f64).max(0.0) as u32;
            (name.clone(), pool.load(free_slots, until))
        };
        DaemonLoad {
            daemon: self.cfg.name.clone(),
            data_centre: self.cfg.data_centre.clone(),
            region: self.cfg.region.clone(),
            pools: self.pools.iter().map(load).collect(),
        }
    }

    /// Records another daemon's load report; for one of this data centre, preempts for its urgent
    /// requests and dispatches.
    pub fn peer_load(&mut self, load: &DaemonLoad, now: Millis) -> Vec<Effect> {
        self.peers.record(load, now);
        if load.data_centre != self.cfg.data_centre {
            return Vec::new();
        }
        let mut effects = Vec::new();
        for pool in load.pools.keys() {
            self.beyond_share.remove(pool);
            self.yield_to_peers(pool, now, &mut effects);
            effects.append(&mut self.dispatch(pool, now));
        }
        effects
    }

    /// Drops the load report of a daemon that left or failed.
    pub fn remove_peer(&mut self, daemon: &str) {
        self.peers.remove(daemon);
    }
}

fn no_endpoint(arrival: &Arrival) -> Effect {
    let text = format!("no endpoint serves {}", arrival.serves);
    let refusal = Refusal::not_run(Reason::NoEndpoint, text).retry_after(1_000);
    Effect::Refuse { request: arrival.request, refusal }
}
