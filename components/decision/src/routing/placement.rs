use super::prompt::Prompt;
use crate::Millis;
use std::collections::{BTreeMap, BTreeSet};

/// Figures of the choice that no endpoint states.
#[derive(Clone, Copy, Debug)]
pub struct PlacementTerms {
    /// Prompt tokens that an engine reads in a millisecond, until its own answers tell.
    pub read_rate: f64,
    /// Time that a request without a prompt takes, in milliseconds, until answers tell.
    pub call_ms: f64,
    /// Round trip to an endpoint of another data centre of the region, in milliseconds.
    pub data_centre_ms: f64,
    /// Round trip to an endpoint of another region, in milliseconds.
    pub region_ms: f64,
    /// Added for an engine outside the lane of a request, in milliseconds.
    pub lane_ms: f64,
    /// Interactive requests on an engine that leave each of them its pace, as a share of its slots.
    pub lane_fill: f64,
    /// Added per failed answer of an endpoint, as a share of its answers, in milliseconds.
    pub failure_ms: f64,
    /// Time after which a part that was read is taken for evicted.
    pub cache_time: Millis,
}

impl Default for PlacementTerms {
    /// Rates of a large model on one accelerator; round trips of two regions on one continent,
    /// weighted for paid bytes.
    fn default() -> PlacementTerms {
        PlacementTerms {
            read_rate: 40.0,
            call_ms: 20.0,
            data_centre_ms: 5.0,
            region_ms: 60.0,
            lane_ms: 400.0,
            lane_fill: 0.4,
            failure_ms: 400.0,
            cache_time: Millis(20_000),
        }
    }
}

/// How far an endpoint is from this daemon.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub enum Distance {
    /// The same data centre.
    #[default]
    DataCentre,
    /// Another data centre of the same region.
    Region,
    /// Another region.
    Far,
}

/// An endpoint that a request may be sent to.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// The endpoint's id.
    pub id: &'a str,
    /// How far it is.
    pub distance: Distance,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Tokens that its memory holds; 0 for a plain service.
    pub cache_tokens: u64,
}

/// Which engines of a service a request prefers.
///
/// An engine reads prompts in chunks between the tokens of all that run beside them, so a row of
/// long prompts makes each running stream pause for several chunks. Streams that allow only short
/// pauses therefore run on engines of their own.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Lane {
    /// Requests that bear the pauses of long prompts.
    #[default]
    Bulk,
    /// Streams with short pauses.
    Interactive,
}

/// What a request asks of an endpoint.
#[derive(Clone, Copy, Debug, Default)]
pub struct Demand<'a> {
    /// The prompt, for a model engine.
    pub prompt: Option<&'a Prompt>,
    /// The engines that the request prefers.
    pub lane: Lane,
    /// Daemons that share the endpoints.
    pub daemons: usize,
    /// A number drawn for this request, which breaks ties.
    pub draw: u64,
}

/// The endpoint chosen for a request.
#[derive(Clone, Debug, PartialEq)]
pub struct Choice {
    /// The endpoint's id.
    pub id: String,
    /// The expected time to the first byte of its answer, in milliseconds.
    pub expected_ms: f64,
    /// The tokens of the prompt that it is expected to read.
    pub unread_tokens: u32,
}

/// How a request ended at an endpoint.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The answer was whole.
    Answered,
    /// The endpoint said that it did not run the request.
    Rejected,
    /// The endpoint failed, or its answer was cut or not its own.
    Failed,
    /// Nothing was heard of the endpoint.
    Silent,
    /// The request ended for a reason that says nothing about the endpoint.
    Abandoned,
}

/// Work that this daemon has at an endpoint, returned when it ends.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Lease(u64);

#[derive(Clone, Debug)]
struct Work {
    since: Millis,
    expected_ms: f64,
    unread_tokens: u32,
    held_tokens: u32,
    answering: bool,
    lane: Lane,
}

/// Failures in a row after which an endpoint gets no requests for a while.
const FAILURES_TO_EJECT: u32 = 3;
/// The first pause of an ejected endpoint; it doubles up to [`EJECTION_LIMIT`].
const EJECTION: Millis = Millis(500);
/// The longest pause of an ejected endpoint: a crashed one is back within seconds.
const EJECTION_LIMIT: Millis = Millis(4_000);
/// Weight of the newest answer in the averages of an endpoint.
const NEWEST: f64 = 0.1;
/// A delay factor is kept within this factor of 1 both ways.
const FACTOR_LIMIT: f64 = 8.0;
/// Time beyond the expected one after which a silent request counts against its endpoint.
const PATIENCE_MS: f64 = 300.0;
/// Part of an unknown prompt that the endpoint preferred for its session is expected to hold.
const LIKELY_CACHED: f64 = 0.8;
/// Engines of a service from which they are divided into lanes.
const LEAST_FOR_LANES: usize = 4;
/// Ranks engines for the interactive lane alike at all daemons.
const LANE_SEED: u64 = 0x1a9e;
/// Time in which a peak of interactive requests fades to a third, in milliseconds: longer than a
/// wave of arrivals, shorter than a burst's aftermath.
const INTERACTIVE_FADE_MS: f64 = 5_000.0;

#[derive(Clone, Debug, Default)]
struct Endpoint {
    work: BTreeMap<Lease, Work>,
    parts: BTreeMap<u64, Millis>,
    failed_share: f64,
    factor: f64,
    failures: u32,
    ejected_until: Millis,
    ejection: Millis,
}

impl Endpoint {
    fn unread(&self) -> f64 {
        self.work.values().filter(|w| !w.answering).map(|w| f64::from(w.unread_tokens)).sum()
    }

    fn held(&self) -> f64 {
        self.work.values().map(|w| f64::from(w.held_tokens)).sum()
    }

    /// Returns how long the slowest unanswered request is over its expected time.
    fn overdue_ms(&self, now: Millis) -> f64 {
        self.work
            .values()
            .filter(|w| !w.answering)
            .map(|w| now.since(w.since).0 as f64 - w.expected_ms - PATIENCE_MS)
            .fold(0.0, f64::max)
    }

    fn factor(&self) -> f64 {
        if self.factor == 0.0 { 1.0 } else { self.factor }
    }
}

/// What this daemon knows of the load of each endpoint, from its own requests.
#[derive(Clone, Debug, Default)]
pub struct LoadTable {
    terms: PlacementTerms,
    endpoints: BTreeMap<String, Endpoint>,
    next: u64,
    /// Interactive requests at engines, with a peak that fades.
    interactive: f64,
    interactive_now: u32,
    interactive_at: Millis,
}

impl LoadTable {
    /// Creates a table.
    pub fn new(terms: PlacementTerms) -> LoadTable {
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

    /// Chooses the endpoint with the shortest expected time to the first byte.
    pub fn choose<'a>(
        &self,
        candidates: impl Iterator<Item = Candidate<'a>>,
        demand: &Demand<'_>,
        now: Millis,
    ) -> Option<Choice> {
        let candidates: Vec<Candidate<'a>> = candidates.collect();
        let lane = self.lane(&candidates, demand);
        let home = home(&candidates, &lane, demand);
        let mut best: Option<(f64, Choice)> = None;
        for candidate in &candidates {
            let (mut cost, choice) = self.estimate(candidate, demand, home, now);
            if !lane.is_empty() && !lane.contains(candidate.id) {
                cost += self.terms.lane_ms;
            }
            let tie = draw(candidate.id, demand.draw) as f64 / u64::MAX as f64;
            let cost = cost + tie;
            if best.as_ref().is_none_or(|(least, _)| cost < *least) {
                best = Some((cost, choice));
            }
        }
        best.map(|(_, choice)| choice)
    }

    /// Returns the engines of the demand's lane; none when the engines are too few to divide. All
    /// daemons rank the engines alike, so their lanes differ at most in length.
    fn lane<'a>(&self, candidates: &[Candidate<'a>], demand: &Demand<'_>) -> BTreeSet<&'a str> {
        if demand.prompt.is_none() || candidates.len() < LEAST_FOR_LANES {
            return BTreeSet::new();
        }
        let mut ranked: Vec<&Candidate<'a>> = candidates.iter().collect();
        ranked.sort_by_key(|c| draw(c.id, LANE_SEED));
        let interactive = self.interactive_engines(candidates, demand);
        let lane = match demand.lane {
            Lane::Interactive => &ranked[..interactive],
            Lane::Bulk => &ranked[interactive..],
        };
        lane.iter().map(|c| c.id).collect()
    }

    fn interactive_engines(&self, candidates: &[Candidate<'_>], demand: &Demand<'_>) -> usize {
        let running = self.interactive * demand.daemons.max(1) as f64;
        let slots = candidates.iter().map(|c| f64::from(c.slots)).sum::<f64>();
        let comfortable = (slots / candidates.len() as f64 * self.terms.lane_fill).max(1.0);
        let needed = (running / comfortable).ceil() as usize;
        needed.clamp(candidates.len().div_ceil(6), candidates.len() / 2)
    }

    fn estimate(
        &self,
        candidate: &Candidate<'_>,
        demand: &Demand<'_>,
        home: Option<&str>,
        now: Millis,
    ) -> (f64, Choice) {
        let unknown = Endpoint::default();
        let endpoint = self.endpoints.get(candidate.id).unwrap_or(&unknown);
        let away_ms = match candidate.distance {
            Distance::DataCentre => 0.0,
            Distance::Region => self.terms.data_centre_ms,
            Distance::Far => self.terms.region_ms,
        };
        let (unread, wait_ms, work_ms) = match demand.prompt {
            Some(prompt) => {
                let unread = self.unread(endpoint, prompt, home == Some(candidate.id), now);
                let waiting = endpoint.unread() * demand.daemons.max(1) as f64;
                (unread, waiting / self.terms.read_rate, f64::from(unread) / self.terms.read_rate)
            }
            None => {
                let ahead = endpoint.work.len() as f64 / f64::from(candidate.slots.max(1));
                (0, ahead * self.terms.call_ms, self.terms.call_ms)
            }
        };
        let expected_ms = (wait_ms + work_ms) * endpoint.factor();
        let mut cost = expected_ms + away_ms + endpoint.failed_share * self.terms.failure_ms;
        cost += endpoint.overdue_ms(now);
        if candidate.cache_tokens > 0 {
            let held = endpoint.held() * demand.daemons.max(1) as f64;
            cost += 1000.0 * (held / candidate.cache_tokens as f64 - 0.7).max(0.0);
        }
        if endpoint.ejected_until > now {
            cost += 10_000.0;
        }
        (cost, Choice { id: candidate.id.to_owned(), expected_ms, unread_tokens: unread })
    }

    fn unread(&self, endpoint: &Endpoint, prompt: &Prompt, home: bool, now: Millis) -> u32 {
        let mut read = 0;
        let shared = prompt.parts.len().saturating_sub(1);
        for part in &prompt.parts[..shared] {
            let known = endpoint
                .parts
                .get(&part.id)
                .is_some_and(|used| now.since(*used) < self.terms.cache_time);
            if known {
                read += part.tokens;
            } else if home {
                read += (f64::from(part.tokens) * LIKELY_CACHED) as u32;
            } else {
                break;
            }
        }
        prompt.tokens.saturating_sub(read).max(1)
    }

    /// Takes work to an endpoint.
    pub fn start(&mut self, choice: &Choice, demand: &Demand<'_>, now: Millis) -> Lease {
        self.next += 1;
        let prompt = demand.prompt;
        self.count_interactive(demand.lane, 1, now);
        let lease = Lease(self.next);
        let endpoint = self.endpoints.entry(choice.id.clone()).or_default();
        let held_tokens = prompt.map_or(0, |p| p.tokens + p.answer_tokens / 2);
        let work = Work {
            since: now,
            expected_ms: choice.expected_ms,
            unread_tokens: choice.unread_tokens,
            held_tokens,
            answering: false,
            lane: demand.lane,
        };
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
    pub fn first_byte(&mut self, id: &str, lease: Lease, prompt: Option<&Prompt>, now: Millis) {
        let Some(endpoint) = self.endpoints.get_mut(id) else { return };
        if let Some(prompt) = prompt {
            endpoint.parts.extend(prompt.parts.iter().map(|part| (part.id, now)));
            endpoint.parts.retain(|_, used| now.since(*used) < self.terms.cache_time);
        }
        let Some(work) = endpoint.work.get_mut(&lease) else { return };
        if work.answering {
            return;
        }
        work.answering = true;
        let took = now.since(work.since).0 as f64;
        let ratio = (took / (work.expected_ms + 5.0)).clamp(1.0 / FACTOR_LIMIT, FACTOR_LIMIT);
        let factor = endpoint.factor();
        endpoint.factor = (factor * ratio.powf(NEWEST)).clamp(1.0 / FACTOR_LIMIT, FACTOR_LIMIT);
    }

    /// Ends work at an endpoint.
    pub fn end(&mut self, id: &str, lease: Lease, outcome: Outcome, now: Millis) {
        let Some(endpoint) = self.endpoints.get_mut(id) else { return };
        let ended = endpoint.work.remove(&lease);
        let lane = ended.map_or(Lane::Bulk, |work| work.lane);
        self.count_interactive(lane, -1, now);
        let Some(endpoint) = self.endpoints.get_mut(id) else { return };
        let failed = match outcome {
            Outcome::Answered => 0.0,
            Outcome::Failed | Outcome::Silent => 1.0,
            Outcome::Rejected | Outcome::Abandoned => return,
        };
        endpoint.failed_share += (failed - endpoint.failed_share) * NEWEST;
        if failed == 0.0 {
            endpoint.failures = 0;
            endpoint.ejection = EJECTION;
            return;
        }
        endpoint.failures += 1;
        if outcome == Outcome::Silent || endpoint.failures >= FAILURES_TO_EJECT {
            endpoint.ejection =
                (endpoint.ejection + endpoint.ejection).clamp(EJECTION, EJECTION_LIMIT);
            endpoint.ejected_until = now + endpoint.ejection;
        }
    }
}

/// Returns the endpoint at which all daemons prefer to run a session.
fn home<'a>(
    candidates: &[Candidate<'a>],
    lane: &BTreeSet<&str>,
    demand: &Demand<'_>,
) -> Option<&'a str> {
    let session = demand.prompt?.session()?;
    candidates
        .iter()
        .filter(|c| lane.is_empty() || lane.contains(c.id))
        .max_by_key(|c| draw(c.id, session))
        .map(|c| c.id)
}

/// Returns a number that depends on both arguments alone (FNV-1a with a final mix).
fn draw(id: &str, seed: u64) -> u64 {
    let mut hash = 0xcbf2_9ce4_8422_2325 ^ seed;
    for byte in id.bytes() {
        hash = (hash ^ u64::from(byte)).wrapping_mul(0x100_0000_01b3);
    }
    hash ^= hash >> 32;
    hash = hash.wrapping_mul(0xd6e8_feb8_6659_fd93);
    hash ^ (hash >> 32)
}
