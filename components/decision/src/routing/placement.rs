use super::demand::{Candidate, Choice, Demand, Distance, InFlightId, Lane, Outcome, Placement};
use super::endpoint::{Endpoint, Work};
use super::load_exchange::sum_loads;
use super::placement_config::PlacementConfig;
use super::prompt::Prompt;
use super::rendezvous::{draw, homes, likely};
use super::wait_estimate::{Pace, Shared};
use crate::Millis;
use messages::feed::EndpointLoad;
use std::collections::{BTreeMap, BTreeSet};

/// Cost of memory that is full, in milliseconds: a preempted request is read again.
const MEMORY_MS: f64 = 1_000.0;
/// Share of an engine's memory from which more work may preempt.
const MEMORY_FILL: f64 = 0.7;
/// Cost of an endpoint that just failed, in milliseconds: above all waits that clients accept.
const EJECTED_MS: f64 = 10_000.0;
/// Age at which what other daemons told of their work is no longer used: a few of their reports.
const SHARED_TIME: Millis = Millis(2_000);
/// Tokens from which fetching is worth the call.
const LEAST_FETCH: u32 = 64;
/// Engines of a service from which they are divided into lanes.
const LEAST_FOR_LANES: usize = 4;
/// Ranks engines for the interactive lane alike at all daemons.
const LANE_SEED: u64 = 0x1a9e;
/// Time in which a peak of interactive requests fades to a third, in milliseconds: longer than a
/// wave of arrivals, shorter than a burst's aftermath.
const INTERACTIVE_FADE_MS: f64 = 5_000.0;

/// What this daemon knows of the load of each endpoint, from its own requests.
#[derive(Clone, Debug, Default)]
pub struct LoadTable {
    pub(super) terms: PlacementConfig,
    endpoints: BTreeMap<String, Endpoint>,
    next: u64,
    /// Interactive requests at engines, with a peak that fades.
    interactive: f64,
    interactive_now: u32,
    interactive_at: Millis,
    /// What other daemons have at the endpoints, as last told.
    shared: BTreeMap<String, Shared>,
    shared_interactive: u32,
    shared_at: Millis,
    /// How much longer prompts wait at engines than their tokens tell.
    pace: Pace,
    /// The average time that a prompt's request holds a slot, in milliseconds, by lane.
    pub(super) hold_ms: BTreeMap<Lane, f64>,
}

impl LoadTable {
    /// Creates a table.
    pub fn new(terms: PlacementConfig) -> LoadTable {
        LoadTable { terms, ..LoadTable::default() }
    }

    /// Forgets what was known of an endpoint that starts anew under the same id.
    pub fn reset(&mut self, id: &str) {
        if let Some(endpoint) = self.endpoints.get_mut(id) {
            let work = std::mem::take(&mut endpoint.work);
            *endpoint = Endpoint { work, ..Endpoint::default() };
        }
    }

    /// Forgets endpoints that are neither listed nor at work.
    pub fn retain(&mut self, is_listed: impl Fn(&str) -> bool) {
        self.endpoints.retain(|id, endpoint| !endpoint.work.is_empty() || is_listed(id));
    }

    /// Returns the work of this daemon at each endpoint, by rank.
    pub fn own_loads(&self) -> Vec<EndpointLoad> {
        let work = self
            .endpoints
            .iter()
            .flat_map(|(id, endpoint)| endpoint.work.values().map(|work| work.row(id)));
        let rows: Vec<EndpointLoad> = work.collect();
        sum_loads(rows.iter())
    }

    /// Takes the work of all other daemons.
    pub fn set_peer_loads(&mut self, rows: &[EndpointLoad], now: Millis) {
        self.shared.clear();
        self.shared_interactive = rows.iter().map(|row| row.interactive).sum();
        self.shared_at = now;
        for row in rows {
            let shared = self.shared.entry(row.endpoint.clone()).or_default();
            *shared.unread_by_rank.entry(row.priority).or_default() += row.unread_tokens;
            shared.held_tokens += row.held_tokens;
            *shared.running_by_rank.entry(row.priority).or_default() += row.running;
        }
    }

    /// Returns the work of other daemons at an endpoint, unless what was told is too old.
    fn shared(&self, id: &str, now: Millis) -> Option<&Shared> {
        self.shared.get(id).filter(|_| now.since(self.shared_at) < SHARED_TIME)
    }

    /// Chooses the endpoint with the least cost, unless too many prompts wait even there.
    ///
    /// A session is not spread to the engines that are idle now: each would read its prompt again,
    /// which saturates them in turn.
    pub fn choose<'a>(
        &self,
        candidates: impl Iterator<Item = Candidate<'a>>,
        demand: &Demand<'_>,
        now: Millis,
    ) -> Placement {
        let candidates: Vec<Candidate<'a>> = candidates.collect();
        let lane = self.lane(&candidates, demand);
        let homes = homes(&candidates, &lane, demand);
        let mut best: Option<(f64, Choice)> = None;

        for candidate in &candidates {
            let (mut cost, choice) = self.estimate(candidate, demand, &homes, now);
            let is_outside = !lane.is_empty() && !lane.contains(candidate.id);
            let is_barred = is_outside && demand.lane == Lane::Bulk;
            if is_barred {
                continue;
            }
            if is_outside {
                cost += self.terms.bulk_engine_ms;
            }
            let tie = draw(candidate.id, demand.tie_breaker) as f64 / u64::MAX as f64;
            let cost = cost + tie;
            if best.as_ref().is_none_or(|(least, _)| cost < *least) {
                best = Some((cost, choice));
            }
        }
        let mut best = best.map(|(_, choice)| choice);
        if let (Some(choice), Some(prompt)) = (&mut best, demand.prompt) {
            choice.fetch_from = self.source(&candidates, &homes, &choice.id, prompt, now);
        }
        match best {
            Some(choice) if demand.prompt.is_some() && self.is_saturated(&choice, demand) => {
                Placement::Saturated(choice)
            }
            Some(choice) => Placement::Send(choice),
            None => Placement::NoEndpoint,
        }
    }

    /// Returns the endpoint from which the chosen one can fetch most of what it lacks of a prompt.
    fn source(
        &self,
        candidates: &[Candidate<'_>],
        homes: &[&str],
        chosen: &str,
        prompt: &Prompt,
        now: Millis,
    ) -> Option<String> {
        if !candidates.iter().any(|c| c.id == chosen && c.fetch_rate > 0) {
            return None;
        }
        let is_rested =
            |id: &str| self.endpoints.get(id).is_none_or(|endpoint| endpoint.ejected_until <= now);
        let others = || candidates.iter().map(|c| c.id).filter(|id| *id != chosen && is_rested(id));
        // A home is asked for what it should hold; else any engine for what it is known to hold.
        let expected = |id: &str| self.cached(id, prompt, likely(homes, id), now);
        let known = |id: &str| self.cached(id, prompt, 0.0, now);
        let source = holder(others(), chosen, expected).or_else(|| holder(others(), chosen, known));
        source.map(str::to_owned)
    }

    fn is_saturated(&self, choice: &Choice, demand: &Demand<'_>) -> bool {
        choice.wait_ms > demand.wait_budget.0 as f64 * self.terms.wait_share
    }

    /// Returns the engines of the demand's lane; none when the engines are too few to divide. All
    /// daemons rank the engines alike, so their lanes differ at most in length.
    fn lane<'a>(&self, candidates: &[Candidate<'a>], demand: &Demand<'_>) -> BTreeSet<&'a str> {
        if demand.prompt.is_none() || candidates.len() < LEAST_FOR_LANES {
            return BTreeSet::new();
        }
        let mut ranked: Vec<&Candidate<'a>> = candidates.iter().collect();
        ranked.sort_by_key(|c| draw(c.id, LANE_SEED));
        let interactive = self.interactive_engines(candidates);
        let lane = match demand.lane {
            Lane::Interactive => &ranked[..interactive],
            Lane::Bulk => &ranked[interactive..],
        };
        lane.iter().map(|c| c.id).collect()
    }

    fn interactive_engines(&self, candidates: &[Candidate<'_>]) -> usize {
        let running = self.interactive + f64::from(self.shared_interactive);
        let slots = candidates.iter().map(|c| f64::from(c.slots)).sum::<f64>();
        let comfortable = (slots / candidates.len() as f64 * self.terms.lane_fill).max(1.0);
        let needed = (running / comfortable).ceil() as usize;
        needed.clamp(candidates.len().div_ceil(6), candidates.len() / 2)
    }

    fn estimate(
        &self,
        candidate: &Candidate<'_>,
        demand: &Demand<'_>,
        homes: &[&str],
        now: Millis,
    ) -> (f64, Choice) {
        let unknown = Endpoint::default();
        let endpoint = self.endpoints.get(candidate.id).unwrap_or(&unknown);
        let away_ms = match candidate.distance {
            Distance::DataCentre => 0.0,
            Distance::Region => self.terms.data_centre_ms,
            Distance::Far => self.terms.region_ms,
        };
        let shared = self.shared(candidate.id, now);
        let (unread_tokens, work_ms, again_ms) = match demand.prompt {
            Some(prompt) => {
                let held = self.cached(candidate.id, prompt, likely(homes, candidate.id), now);
                let unread = prompt.tokens.saturating_sub(held).max(1);
                let own = prompt.tokens.saturating_sub(prompt.shared_tokens());
                let again = unread.saturating_sub(own);
                let again_ms = f64::from(again) * (self.terms.read_again - 1.0);
                (unread, self.read_ms(unread), again_ms / self.terms.read_rate)
            }
            None => {
                let shared_running = shared.map_or(0, Shared::running);
                let running = endpoint.work.len() as f64 + f64::from(shared_running);
                let ahead = running / f64::from(candidate.slots.max(1));
                (0, self.terms.call_ms * (1.0 + ahead), 0.0)
            }
        };
        let mut wait_ms = self.wait_ms(endpoint, shared, demand.priority, now);
        if demand.prompt.is_some() {
            wait_ms = wait_ms.max(self.slot_wait_ms(endpoint, shared, candidate.slots, demand));
        }
        let queued_ms = self.queued_ms(endpoint, shared, demand.priority);
        let expected_ms = wait_ms + work_ms;
        let wait_ms = wait_ms.max(queued_ms * self.pace.factor(self.terms.slowest_pace));
        let id = candidate.id.to_owned();
        let mut cost = expected_ms + again_ms + away_ms;
        cost += endpoint.failed_share(now) * self.terms.failure_ms;
        if candidate.cache_tokens > 0 {
            let held = endpoint.held() + shared.map_or(0.0, |s| s.held_tokens as f64);
            cost += MEMORY_MS * (held / candidate.cache_tokens as f64 - MEMORY_FILL).max(0.0);
        }
        if endpoint.ejected_until > now {
            cost += EJECTED_MS;
        }
        (cost, Choice { id, expected_ms, wait_ms, queued_ms, unread_tokens, fetch_from: None })
    }

    pub(super) fn read_ms(&self, tokens: u32) -> f64 {
        f64::from(tokens) / self.terms.read_rate
    }

    /// Returns the tokens of a prompt that an endpoint holds; `likely` is the part that it is
    /// expected to hold of what this daemon does not know.
    fn cached(&self, id: &str, prompt: &Prompt, likely: f64, now: Millis) -> u32 {
        let endpoint = self.endpoints.get(id);
        let mut held = 0.0;
        for part in prompt.shared() {
            let used = endpoint.and_then(|endpoint| endpoint.parts.get(&part.id));
            let known = used.is_some_and(|used| now.since(*used) < self.terms.cache_time);
            if !known && likely == 0.0 {
                break;
            }
            held += f64::from(part.tokens) * if known { 1.0 } else { likely };
        }
        held as u32
    }

    /// Takes work to an endpoint.
    pub fn start(&mut self, choice: &Choice, demand: &Demand<'_>, now: Millis) -> InFlightId {
        self.next += 1;
        let prompt = demand.prompt;
        self.count_interactive(demand.lane, 1, now);
        let lease = InFlightId(self.next);
        let held_tokens = prompt.map_or(0, |p| p.tokens + p.answer_tokens / 2);
        let work = Work {
            since: now,
            work_ms: prompt.map_or(self.terms.call_ms, |_| self.read_ms(choice.unread_tokens)),
            queued_ms: choice.queued_ms,
            unread_tokens: choice.unread_tokens,
            priority: demand.priority,
            held_tokens,
            answering: None,
            lane: demand.lane,
        };
        let endpoint = self.endpoints.entry(choice.id.clone()).or_default();
        endpoint.work.insert(lease, work);
        lease
    }

    fn count_interactive(&mut self, lane: Lane, change: i32, now: Millis) {
        if lane == Lane::Bulk {
            return;
        }
        self.interactive_now = self.interactive_now.saturating_add_signed(change);
        let age = now.since(self.interactive_at).0 as f64;
        let faded = self.interactive * (-age / INTERACTIVE_FADE_MS).exp();
        self.interactive = faded.max(f64::from(self.interactive_now));
        self.interactive_at = now;
    }

    /// Notes the first byte of an answer, from which the endpoint's speed is learned.
    pub fn record_first_byte(
        &mut self,
        id: &str,
        lease: InFlightId,
        prompt: Option<&Prompt>,
        now: Millis,
    ) {
        let Some(endpoint) = self.endpoints.get_mut(id) else { return };
        if let Some(prompt) = prompt {
            endpoint.parts.extend(prompt.parts.iter().map(|part| (part.id, now)));
            endpoint.parts.retain(|_, used| now.since(*used) < self.terms.cache_time);
        }
        let Some(work) = endpoint.work.get_mut(&lease) else { return };
        if work.answering.is_some() {
            return;
        }
        work.answering = Some(now);
        let wait_ms = (now.since(work.since).0 as f64 - work.work_ms).max(0.0);
        let priority = work.priority;
        let queued_ms = work.queued_ms;
        endpoint.waits.entry(priority).or_default().note(wait_ms, now);
        if prompt.is_some() {
            self.pace.note(queued_ms, wait_ms);
        }
    }

    /// Ends work at an endpoint.
    pub fn end(&mut self, id: &str, lease: InFlightId, outcome: Outcome, now: Millis) {
        let Some(endpoint) = self.endpoints.get_mut(id) else { return };
        let ended = endpoint.work.remove(&lease);
        let lane = ended.as_ref().map_or(Lane::Bulk, |work| work.lane);
        self.count_interactive(lane, -1, now);
        if let Some(work) = ended.filter(|_| outcome == Outcome::Answered) {
            self.note_hold(&work, now);
        }
        let Some(endpoint) = self.endpoints.get_mut(id) else { return };
        endpoint.judge(outcome, now);
    }
}

/// Returns the endpoint that holds most, if that is worth fetching for the chosen one.
fn holder<'a>(
    others: impl Iterator<Item = &'a str>,
    chosen: &str,
    held: impl Fn(&str) -> u32,
) -> Option<&'a str> {
    let best = others.max_by_key(|id| held(id))?;
    (held(best) >= held(chosen) + LEAST_FETCH).then_some(best)
}
