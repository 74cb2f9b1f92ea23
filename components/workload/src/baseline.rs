use crate::policy::{DaemonContext, Policy};
use decision::Millis;
use decision::load::{Arrival, DaemonLoad, Effect, EndpointInfo, EndpointReport, Outcome};
use errors::{Reason, Refusal};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;

/// How a baseline chooses among the endpoints with a free slot.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Choice {
    /// A random endpoint.
    Random,
    /// Each endpoint in turn.
    RoundRobin,
    /// The endpoint with the fewest running requests of this daemon; ties are broken at random.
    LeastOutstanding,
}

/// How a baseline orders its queue.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Order {
    /// By time of arrival.
    Fifo,
    /// By tier, then by time of arrival.
    Tier,
}

/// Maximum number of attempts per request.
const MAX_ATTEMPTS: u32 = 3;

/// Maximum number of queued requests per daemon.
const QUEUE_LIMIT: usize = 1_000;

#[derive(Debug)]
struct TrackedRequest {
    arrival: Arrival,
    attempts: u32,
    endpoint: Option<String>,
}

/// A simple scheduler as a baseline for comparison. It knows neither the load of engines nor of
/// peers, and never preempts.
#[derive(Debug)]
pub struct Baseline {
    order: Order,
    choice: Choice,
    data_centre_daemons: usize,
    rng: Pcg64Mcg,
    choices_made: usize,
    /// Endpoints by name, each with the number of its running requests of this daemon.
    endpoints: BTreeMap<String, (EndpointInfo, u32)>,
    requests: BTreeMap<u64, TrackedRequest>,
    queue: BTreeMap<(u8, u64), ()>,
}

impl Baseline {
    /// Creates a baseline for the daemon described by `context`.
    pub fn new(order: Order, choice: Choice, context: &DaemonContext) -> Baseline {
        Baseline {
            order,
            choice,
            data_centre_daemons: context.data_centre_daemons,
            rng: Pcg64Mcg::seed_from_u64(context.seed),
            choices_made: 0,
            endpoints: BTreeMap::new(),
            requests: BTreeMap::new(),
            queue: BTreeMap::new(),
        }
    }

    fn queue_key(&self, arrival: &Arrival) -> (u8, u64) {
        match self.order {
            Order::Fifo => (0, arrival.request),
            Order::Tier => (arrival.tier, arrival.request),
        }
    }

    fn choose_endpoint(&mut self, serves: &str) -> Option<String> {
        let daemons = self.data_centre_daemons.max(1) as u32;
        let is_free = |(info, outstanding): &(EndpointInfo, u32)| {
            info.serves.contains(serves) && *outstanding < info.slots.div_ceil(daemons) + 1
        };
        let free: Vec<(&String, u32)> =
            self.endpoints.iter().filter(|(_, e)| is_free(e)).map(|(n, e)| (n, e.1)).collect();
        if free.is_empty() {
            return None;
        }
        self.choices_made += 1;
        let at = match self.choice {
            Choice::Random => self.rng.random_range(0..free.len()),
            Choice::RoundRobin => self.choices_made % free.len(),
            Choice::LeastOutstanding => {
                let fewest = free.iter().map(|(_, n)| *n).min()?;
                let ties: Vec<usize> = (0..free.len()).filter(|i| free[*i].1 == fewest).collect();
                ties[self.rng.random_range(0..ties.len())]
            }
        };
        Some(free[at].0.clone())
    }

    fn dispatch(&mut self) -> Vec<Effect> {
        let mut effects = Vec::new();
        while let Some((&key, ())) = self.queue.iter().next() {
            let request = key.1;
            let Some(serves) =
                self.requests.get(&request).map(|tracked| tracked.arrival.serves.clone())
            else {
                self.queue.remove(&key);
                continue;
            };
            let Some(endpoint) = self.choose_endpoint(&serves) else { break };
            self.queue.remove(&key);
            if let Some(found) = self.endpoints.get_mut(&endpoint) {
                found.1 += 1;
            }
            let Some(tracked) = self.requests.get_mut(&request) else { continue };
            tracked.attempts += 1;
            tracked.endpoint = Some(endpoint.clone());
            effects.push(Effect::Dispatch { request, attempt: tracked.attempts, endpoint });
        }
        effects
    }

    fn refuse(request: u64, reason: Reason) -> Effect {
        let refusal = Refusal::not_run(reason, "the baseline scheduler could not run the request")
            .retry_after(1_000);
        Effect::Refuse { request, refusal }
    }
}

impl Policy for Baseline {
    fn arrive(&mut self, arrival: Arrival, _now: Millis) -> Vec<Effect> {
        if self.queue.len() >= QUEUE_LIMIT {
            return vec![Baseline::refuse(arrival.request, Reason::Overloaded)];
        }
        let key = self.queue_key(&arrival);
        self.queue.insert(key, ());
        self.requests
            .insert(arrival.request, TrackedRequest { arrival, attempts: 0, endpoint: None });
        self.dispatch()
    }

    fn progress(&mut self, _request: u64, _tokens: u32, _now: Millis) -> Vec<Effect> {
        Vec::new()
    }

    fn finish(&mut self, request: u64, outcome: Outcome, _now: Millis) -> Vec<Effect> {
        let Some(tracked) = self.requests.get_mut(&request) else { return Vec::new() };
        let endpoint = tracked.endpoint.take().and_then(|name| self.endpoints.get_mut(&name));
        if let Some((_, outstanding)) = endpoint {
            *outstanding = outstanding.saturating_sub(1);
        }
        let is_retried = matches!(outcome, Outcome::Failed(_)) && tracked.attempts < MAX_ATTEMPTS;
        if is_retried {
            let arrival = tracked.arrival.clone();
            self.queue.insert(self.queue_key(&arrival), ());
            return self.dispatch();
        }
        self.requests.remove(&request);
        let mut effects = self.dispatch();
        if matches!(outcome, Outcome::Failed(_)) {
            effects.push(Baseline::refuse(request, Reason::EndpointFailed));
        }
        effects
    }

    fn abandon(&mut self, request: u64, now: Millis) -> Vec<Effect> {
        if let Some(tracked) = self.requests.get(&request) {
            let key = self.queue_key(&tracked.arrival);
            self.queue.remove(&key);
        }
        self.finish(request, Outcome::Abandoned, now)
    }

    fn set_endpoint(&mut self, info: EndpointInfo, _now: Millis) -> Vec<Effect> {
        self.endpoints.entry(info.name.clone()).or_insert((info, 0));
        self.dispatch()
    }

    fn remove_endpoint(&mut self, name: &str, _now: Millis) -> Vec<Effect> {
        self.endpoints.remove(name);
        self.dispatch()
    }

    fn report(&mut self, _name: &str, _report: EndpointReport, _now: Millis) -> Vec<Effect> {
        Vec::new()
    }

    fn tick(&mut self, _now: Millis) -> Vec<Effect> {
        self.dispatch()
    }

    fn own_load(&mut self, _now: Millis) -> DaemonLoad {
        DaemonLoad::default()
    }

    fn peer_load(&mut self, _load: &DaemonLoad, _now: Millis) -> Vec<Effect> {
        Vec::new()
    }
}
