use super::demand::{Candidate, Choice, Demand, Distance, InFlightId, Outcome, Placement};
use super::endpoint::{EndpointState, InFlight};
use super::lane::Lane;
use super::load_exchange::sum_loads;
use super::placement_config::PlacementConfig;
use super::prompt::Prompt;
use super::recent_outcomes::OutcomeCounts;
use super::rendezvous::{expected_cached_share, preferred_endpoints, rendezvous_hash};
use super::wait_estimate::{PeerLoad, WaitCorrection};
use crate::Millis;
use messages::feed::EndpointLoad;
use std::collections::{BTreeMap, BTreeSet};

/// Cost of KV cache memory above [`MEMORY_FILL_THRESHOLD`], in milliseconds, scaled by the excess
/// share: the engine prefills preempted requests again.
const MEMORY_EXCESS_PENALTY_MS: f64 = 1_000.0;
/// Share of an engine's memory above which further requests may cause preemption.
const MEMORY_FILL_THRESHOLD: f64 = 0.7;
/// Cost of an endpoint in cooldown, in milliseconds: longer than any wait that clients accept.
const COOLDOWN_PENALTY_MS: f64 = 10_000.0;
/// Cost of an endpoint with the maximum number of requests in flight, in milliseconds: above that of
/// a cooldown, as it would reset the connection of a further request.
const FULL_PENALTY_MS: f64 = 100_000.0;
/// Age at which the loads of other daemons are no longer used: a few report intervals.
const PEER_LOADS_STALE_AFTER: Millis = Millis(2_000);
/// Minimum number of additional cached tokens for which a fetch is worth the call.
const MIN_FETCH_TOKENS: u32 = 64;
/// Minimum number of engines of a service for which they are divided into lanes.
const MIN_ENGINES_FOR_LANES: usize = 4;
/// Seed of the ranking of engines for the interactive lane, the same on all daemons.
const LANE_SEED: u64 = 0x1a9e;
/// Time constant of the exponential decay of the interactive peak, in milliseconds: longer than a
/// short burst of arrivals, shorter than the time that engines need to recover from a long one.
const INTERACTIVE_DECAY_MS: f64 = 5_000.0;

/// The load of each endpoint, from the requests of this daemon and the reports of others.
#[derive(Clone, Debug, Default)]
pub struct LoadTable {
    pub(super) cfg: PlacementConfig,
    pub(super) endpoints: BTreeMap<String, EndpointState>,
    last_id: u64,
    /// Decaying peak of `interactive_running`.
    interactive_peak: f64,
    /// Interactive requests of this daemon in flight.
    interactive_running: u32,
    interactive_peak_at: Millis,
    /// The load of other daemons by endpoint, as last reported.
    peer_loads: BTreeMap<String, PeerLoad>,
    peer_interactive: u32,
    peer_loads_at: Millis,
    /// The outcomes at other daemons by endpoint, as last reported.
    pub(super) peer_outcomes: BTreeMap<String, OutcomeCounts>,
    pub(super) peer_outcomes_at: Millis,
    /// How much longer prompts wait at engines than predicted from the prompt tokens ahead of them.
    wait_correction: WaitCorrection,
    /// The average time that a request with a prompt occupies a slot, in milliseconds, by lane.
    pub(super) slot_time_ms: BTreeMap<Lane, f64>,
}

impl LoadTable {
    /// Creates a table without any load.
    pub fn new(cfg: PlacementConfig) -> LoadTable {
        LoadTable { cfg, ..LoadTable::default() }
    }

    /// Discards the state of an endpoint that has restarted under the same id, except for the
    /// requests in flight.
    pub fn reset(&mut self, id: &str) {
        if let Some(endpoint) = self.endpoints.get_mut(id) {
            let in_flight = std::mem::take(&mut endpoint.in_flight);
            *endpoint = EndpointState { in_flight, ..EndpointState::default() };
        }
        self.peer_outcomes.remove(id);
    }

    /// Discards the state of endpoints that are not listed and have no request in flight.
    pub fn retain(&mut self, is_listed: impl Fn(&str) -> bool) {
        self.endpoints.retain(|id, endpoint| !endpoint.in_flight.is_empty() || is_listed(id));
    }

    /// Returns the load of this daemon at each endpoint, by priority.
    pub fn own_loads(&self) -> Vec<EndpointLoad> {
        let rows = self.endpoints.iter().flat_map(|(id, endpoint)| {
            endpoint.in_flight.values().map(|request| request.load_row(id))
        });
        let rows: Vec<EndpointLoad> = rows.collect();
        sum_loads(rows.iter())
    }

    /// Replaces the loads of all other daemons. If no update follows, the loads by endpoint expire,
    /// but not the number of interactive requests.
    pub fn set_peer_loads(&mut self, rows: &[EndpointLoad], now: Millis) {
        self.peer_loads.clear();
        self.peer_interactive = rows.iter().map(|row| row.interactive).sum();
        self.peer_loads_at = now;
        for row in rows {
            let peer_load = self.peer_loads.entry(row.endpoint.clone()).or_default();
            *peer_load.unread_by_priority.entry(row.priority).or_default() += row.unread_tokens;
            peer_load.held_tokens += row.held_tokens;
            *peer_load.running_by_priority.entry(row.priority).or_default() += row.running;
        }
    }

    /// Returns the load of other daemons at an endpoint, unless the reports are too old.
    fn peer_load(&self, id: &str, now: Millis) -> Option<&PeerLoad> {
        self.peer_loads.get(id).filter(|_| now.since(self.peer_loads_at) < PEER_LOADS_STALE_AFTER)
    }

    /// Chooses the endpoint with the least cost. For a request with a prompt, the result is
    /// saturated if the expected wait there exceeds the allowed share of the wait budget.
    ///
    /// Prefilling the shared part of a prompt costs more than waiting for the same time, so the
    /// requests of a session are not spread over idle engines: each would prefill the prompt again,
    /// which would saturate one engine after another.
    pub fn choose<'a>(
        &self,
        candidates: impl Iterator<Item = Candidate<'a>>,
        demand: &Demand<'_>,
        now: Millis,
    ) -> Placement {
        let candidates: Vec<Candidate<'a>> = candidates.collect();
        let lane = self.lane(&candidates, demand);
        let preferred_endpoints = preferred_endpoints(&candidates, &lane, demand);
        let failures = self.compare_failures(&candidates, now);
        let mut best: Option<(f64, Choice)> = None;

        for candidate in &candidates {
            let (mut cost, choice) = self.estimate(candidate, demand, &preferred_endpoints, now);
            cost += failures.excess(candidate.id) * self.failure_cost_ms(demand);
            let is_outside_lane = !lane.is_empty() && !lane.contains(candidate.id);
            let is_barred = is_outside_lane && demand.lane == Lane::Bulk;
            if is_barred {
                continue;
            }
            if is_outside_lane {
                cost += self.cfg.bulk_engine_penalty_ms;
            }
            let tie_breaker =
                rendezvous_hash(candidate.id, demand.tie_breaker) as f64 / u64::MAX as f64;
            let cost = cost + tie_breaker;
            if best.as_ref().is_none_or(|(least, _)| cost < *least) {
                best = Some((cost, choice));
            }
        }
        let mut best = best.map(|(_, choice)| choice);
        if let (Some(choice), Some(prompt)) = (&mut best, demand.prompt) {
            choice.fetch_from =
                self.fetch_source(&candidates, &preferred_endpoints, &choice.id, prompt, now);
        }
        match best {
            Some(choice) if choice.is_full || self.is_saturated(&choice, demand) => {
                Placement::Saturated(choice)
            }
            Some(choice) => Placement::Send(choice),
            None => Placement::NoEndpoint,
        }
    }

    /// Selects the endpoint from which the chosen one can fetch the most cached tokens of a prompt.
    fn fetch_source(
        &self,
        candidates: &[Candidate<'_>],
        preferred_endpoints: &[&str],
        chosen: &str,
        prompt: &Prompt,
        now: Millis,
    ) -> Option<String> {
        if !candidates.iter().any(|c| c.id == chosen && c.fetch_rate > 0) {
            return None;
        }
        let is_available =
            |id: &str| self.endpoints.get(id).is_none_or(|endpoint| endpoint.cooldown_until <= now);
        let others =
            || candidates.iter().map(|c| c.id).filter(|id| *id != chosen && is_available(id));
        // Preferred endpoints count with the share that they are expected to have cached. If none
        // of them is worth a fetch, only parts that are known to be cached count.
        let expected = |id: &str| {
            self.cached_tokens(id, prompt, expected_cached_share(preferred_endpoints, id), now)
        };
        let known = |id: &str| self.cached_tokens(id, prompt, 0.0, now);
        let source = best_source(others(), chosen, expected)
            .or_else(|| best_source(others(), chosen, known));
        source.map(str::to_owned)
    }

    fn is_saturated(&self, choice: &Choice, demand: &Demand<'_>) -> bool {
        let max_wait_ms = demand.wait_budget.0 as f64 * self.cfg.wait_budget_share;
        demand.prompt.is_some() && choice.wait_ms > max_wait_ms
    }

    /// Returns the engines of the request's lane; none if there are too few engines to divide. All
    /// daemons rank the engines in the same order, so their lanes differ at most in size.
    fn lane<'a>(&self, candidates: &[Candidate<'a>], demand: &Demand<'_>) -> BTreeSet<&'a str> {
        if demand.prompt.is_none() || candidates.len() < MIN_ENGINES_FOR_LANES {
            return BTreeSet::new();
        }
        let mut ranked: Vec<&Candidate<'a>> = candidates.iter().collect();
        ranked.sort_by_key(|c| rendezvous_hash(c.id, LANE_SEED));
        let interactive = self.interactive_engine_count(candidates);
        let lane = match demand.lane {
            Lane::Interactive => &ranked[..interactive],
            Lane::Bulk => &ranked[interactive..],
        };
        lane.iter().map(|c| c.id).collect()
    }

    /// Returns the number of engines in the interactive lane: as many as the interactive requests
    /// need, but at least a sixth and at most half of all.
    fn interactive_engine_count(&self, candidates: &[Candidate<'_>]) -> usize {
        let running = self.interactive_peak + f64::from(self.peer_interactive);
        let slots = candidates.iter().map(|c| f64::from(c.slots)).sum::<f64>();
        let per_engine =
            (slots / candidates.len() as f64 * self.cfg.interactive_slot_share).max(1.0);
        let needed = (running / per_engine).ceil() as usize;
        needed.clamp(candidates.len().div_ceil(6), candidates.len() / 2)
    }

    /// Returns the cost of sending a request to a candidate, in milliseconds, and the estimates
    /// behind it.
    fn estimate(
        &self,
        candidate: &Candidate<'_>,
        demand: &Demand<'_>,
        preferred_endpoints: &[&str],
        now: Millis,
    ) -> (f64, Choice) {
        let unknown = EndpointState::default();
        let endpoint = self.endpoints.get(candidate.id).unwrap_or(&unknown);
        let distance_ms = match candidate.distance {
            Distance::DataCentre => 0.0,
            Distance::Region => self.cfg.data_centre_rtt_ms,
            Distance::Far => self.cfg.region_rtt_ms,
        };
        let peer_load = self.peer_load(candidate.id, now);
        let (unread_tokens, service_ms, repeated_ms) = match demand.prompt {
            Some(prompt) => {
                let cached = self.cached_tokens(
                    candidate.id,
                    prompt,
                    expected_cached_share(preferred_endpoints, candidate.id),
                    now,
                );
                let unread = prompt.tokens.saturating_sub(cached).max(1);
                let own = prompt.tokens.saturating_sub(prompt.shared_tokens());
                let repeated = unread.saturating_sub(own);
                // `service_ms` already includes the repeated tokens once.
                let repeated_ms = f64::from(repeated) * (self.cfg.repeated_prefill_weight - 1.0);
                (unread, self.prefill_ms(unread), repeated_ms / self.cfg.prefill_tokens_per_ms)
            }
            None => {
                let peer_running = peer_load.map_or(0, PeerLoad::running);
                let running = endpoint.in_flight.len() as f64 + f64::from(peer_running);
                let ahead = running / f64::from(candidate.slots.max(1));
                (0, self.cfg.call_ms * (1.0 + ahead), 0.0)
            }
        };
        let mut wait_ms = self.wait_ms(endpoint, peer_load, demand.priority, now);
        if demand.prompt.is_some() {
            wait_ms = wait_ms.max(self.slot_wait_ms(endpoint, peer_load, candidate.slots, demand));
        }
        let queued_ms = self.queued_ms(endpoint, peer_load, demand.priority);
        // The wait correction is used to detect saturation; it does not enter the cost.
        let expected_ms = wait_ms + service_ms;
        let wait_ms =
            wait_ms.max(queued_ms * self.wait_correction.factor(self.cfg.max_wait_correction));
        let id = candidate.id.to_owned();
        let mut cost = expected_ms + repeated_ms + distance_ms;
        cost += endpoint.failed_share(now) * self.cfg.failure_penalty_ms;
        if candidate.cache_tokens > 0 {
            let held =
                endpoint.held_tokens() + peer_load.map_or(0.0, |load| load.held_tokens as f64);
            cost += MEMORY_EXCESS_PENALTY_MS
                * (held / candidate.cache_tokens as f64 - MEMORY_FILL_THRESHOLD).max(0.0);
        }
        if endpoint.cooldown_until > now {
            cost += COOLDOWN_PENALTY_MS;
        }
        let in_flight = endpoint.in_flight.len() as u32 + peer_load.map_or(0, PeerLoad::running);
        let is_full = in_flight >= candidate.max_in_flight;
        if is_full {
            cost += FULL_PENALTY_MS;
        }
        let fetch_from = None;
        let choice =
            Choice { id, expected_ms, wait_ms, queued_ms, unread_tokens, fetch_from, is_full };
        (cost, choice)
    }

    pub(super) fn prefill_ms(&self, tokens: u32) -> f64 {
        f64::from(tokens) / self.cfg.prefill_tokens_per_ms
    }

    /// Returns the number of prompt tokens that an endpoint is expected to have cached. Parts that
    /// this daemon has not recently seen used there count with `expected_share`.
    fn cached_tokens(&self, id: &str, prompt: &Prompt, expected_share: f64, now: Millis) -> u32 {
        let endpoint = self.endpoints.get(id);
        let mut cached = 0.0;
        for part in prompt.shared() {
            let used = endpoint.and_then(|endpoint| endpoint.parts_last_used.get(&part.id));
            let known = used.is_some_and(|used| now.since(*used) < self.cfg.cache_ttl);
            if !known && expected_share == 0.0 {
                break;
            }
            cached += f64::from(part.tokens) * if known { 1.0 } else { expected_share };
        }
        cached as u32
    }

    /// Records that a request was sent to an endpoint.
    pub fn start(&mut self, choice: &Choice, demand: &Demand<'_>, now: Millis) -> InFlightId {
        self.last_id += 1;
        let prompt = demand.prompt;
        self.update_interactive(demand.lane, 1, now);
        let id = InFlightId(self.last_id);
        let held_tokens = prompt.map_or(0, Prompt::held_tokens);
        let request = InFlight {
            sent_at: now,
            service_ms: prompt.map_or(self.cfg.call_ms, |_| self.prefill_ms(choice.unread_tokens)),
            queued_ms: choice.queued_ms,
            unread_tokens: choice.unread_tokens,
            priority: demand.priority,
            held_tokens,
            first_byte_at: None,
            lane: demand.lane,
        };
        let endpoint = self.endpoints.entry(choice.id.clone()).or_default();
        endpoint.in_flight.insert(id, request);
        id
    }

    fn update_interactive(&mut self, lane: Lane, change: i32, now: Millis) {
        if lane == Lane::Bulk {
            return;
        }
        self.interactive_running = self.interactive_running.saturating_add_signed(change);
        let age = now.since(self.interactive_peak_at).0 as f64;
        let decayed = self.interactive_peak * (-age / INTERACTIVE_DECAY_MS).exp();
        self.interactive_peak = decayed.max(f64::from(self.interactive_running));
        self.interactive_peak_at = now;
    }

    /// Records the first byte of a response. The observed wait enters the wait estimates, and the
    /// parts of the prompt count as cached.
    pub fn record_first_byte(
        &mut self,
        id: &str,
        in_flight: InFlightId,
        prompt: Option<&Prompt>,
        now: Millis,
    ) {
        let Some(endpoint) = self.endpoints.get_mut(id) else { return };
        if let Some(prompt) = prompt {
            endpoint.parts_last_used.extend(prompt.parts.iter().map(|part| (part.id, now)));
            endpoint.parts_last_used.retain(|_, used| now.since(*used) < self.cfg.cache_ttl);
        }
        let Some(request) = endpoint.in_flight.get_mut(&in_flight) else { return };
        if request.first_byte_at.is_some() {
            return;
        }
        request.first_byte_at = Some(now);
        endpoint.recent_outcomes.record_attempt(now);
        let wait_ms = (now.since(request.sent_at).0 as f64 - request.service_ms).max(0.0);
        let priority = request.priority;
        let queued_ms = request.queued_ms;
        endpoint.waits.entry(priority).or_default().record(wait_ms, now);
        if prompt.is_some() {
            self.wait_correction.record(queued_ms, wait_ms);
        }
    }

    /// Removes a request that has ended. Its outcome may start a cooldown of the endpoint.
    pub fn end(&mut self, id: &str, in_flight: InFlightId, outcome: Outcome, now: Millis) {
        let Some(endpoint) = self.endpoints.get_mut(id) else { return };
        let ended = endpoint.in_flight.remove(&in_flight);
        let lane = ended.as_ref().map_or(Lane::Bulk, |request| request.lane);
        self.update_interactive(lane, -1, now);
        if let Some(request) = ended.as_ref().filter(|_| outcome == Outcome::Answered) {
            self.record_slot_time(request, now);
        }
        let Some(endpoint) = self.endpoints.get_mut(id) else { return };
        if matches!(outcome, Outcome::Failed | Outcome::Silent) {
            if ended.is_some_and(|request| request.first_byte_at.is_none()) {
                endpoint.recent_outcomes.record_attempt(now);
            }
            endpoint.recent_outcomes.record_failure(now);
        }
        endpoint.record_outcome(outcome, now);
    }
}

/// Returns the endpoint with the most cached tokens, if it has at least [`MIN_FETCH_TOKENS`] more
/// than the chosen one.
fn best_source<'a>(
    others: impl Iterator<Item = &'a str>,
    chosen: &str,
    cached_tokens: impl Fn(&str) -> u32,
) -> Option<&'a str> {
    let best = others.max_by_key(|id| cached_tokens(id))?;
    (cached_tokens(best) >= cached_tokens(chosen) + MIN_FETCH_TOKENS).then_some(best)
}
