use crate::policy::{Policy, Variant};
use decision::Millis;
use decision::load::{Arrival, DaemonLoad, Effect, EndpointInfo, EndpointReport, Outcome};
use errors::{Reason, Refusal};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;

/// How a baseline chooses an endpoint.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Choice {
    /// Any endpoint.
    Random,
    /// Each endpoint in turn.
    RoundRobin,
    /// The endpoint with the fewest requests of this daemon.
    LeastOutstanding,
}

/// How a baseline orders what waits.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Order {
    /// By arrival.
    Fifo,
    /// By tier, then by arrival.
    Tier,
}

/// Attempts of one request at most.
const ATTEMPT_LIMIT: u32 = 3;

/// Requests that wait in one daemon at most.
const QUEUE_LIMIT: usize = 1_000;

#[derive(Debug)]
struct Entry {
    arrival: Arrival,
    attempt: u32,
    endpoint: Option<String>,
}

/// A plain scheduler to compare with.
#[derive(Debug)]
pub struct Baseline {
    order: Order,
    choice: Choice,
    daemons: usize,
    rng: Pcg64Mcg,
    turn: usize,
    endpoints: BTreeMap<String, (EndpointInfo, u32)>,
    entries: BTreeMap<u64, Entry>,
    queue: BTreeMap<(u8, u64), ()>,
}

impl Baseline {
    /// Creates a baseline for a daemon.
    pub fn new(order: Order, choice: Choice, variant: &Variant) -> Baseline {
        Baseline {
            order,
            choice,
            daemons: variant.daemons,
            rng: Pcg64Mcg::seed_from_u64(variant.seed),
            turn: 0,
            endpoints: BTreeMap::new(),
            entries: BTreeMap::new(),
            queue: BTreeMap::new(),
        }
    }

    fn key(&self, arrival: &Arrival) -> (u8, u64) {
        match self.order {
            Order::Fifo => (0, arrival.request),
            Order::Tier => (arrival.tier, arrival.request),
        }
    }

    fn choose(&mut self, serves: &str) -> Option<String> {
        let sharers = self.daemons.max(1) as u32;
        let fits = |(info, outstanding): &(EndpointInfo, u32)| {
            info.serves.contains(serves) && *outstanding < info.slots.div_ceil(sharers) + 1
        };
        let free: Vec<(&String, u32)> =
            self.endpoints.iter().filter(|(_, e)| fits(e)).map(|(n, e)| (n, e.1)).collect();
        if free.is_empty() {
            return None;
        }
        self.turn += 1;
        let at = match self.choice {
            Choice::Random => self.rng.random_range(0..free.len()),
            Choice::RoundRobin => self.turn % free.len(),
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
            let Some(serves) = self.entries.get(&request).map(|e| e.arrival.serves.clone()) else {
                self.queue.remove(&key);
                continue;
            };
            let Some(endpoint) = self.choose(&serves) else { break };
            self.queue.remove(&key);
            if let Some(found) = self.endpoints.get_mut(&endpoint) {
                found.1 += 1;
            }
            let Some(entry) = self.entries.get_mut(&request) else { continue };
            entry.attempt += 1;
            entry.endpoint = Some(endpoint.clone());
            effects.push(Effect::Dispatch { request, attempt: entry.attempt, endpoint });
        }
        effects
    }

    fn refuse(request: u64, reason: Reason) -> Effect {
        let refusal = Refusal::not_run(reason, "no room").retry_after(1_000);
        Effect::Refuse { request, refusal }
    }
}

impl Policy for Baseline {
    fn arrive(&mut self, arrival: Arrival, _now: Millis) -> Vec<Effect> {
        if self.queue.len() >= QUEUE_LIMIT {
            return vec![Baseline::refuse(arrival.request, Reason::Overloaded)];
        }
        let key = self.key(&arrival);
        self.queue.insert(key, ());
        self.entries.insert(arrival.request, Entry { arrival, attempt: 0, endpoint: None });
        self.dispatch()
    }

    fn progress(&mut self, _request: u64, _tokens: u32, _now: Millis) -> Vec<Effect> {
        Vec::new()
    }

    fn finish(&mut self, request: u64, outcome: Outcome, _now: Millis) -> Vec<Effect> {
        let Some(entry) = self.entries.get_mut(&request) else { return Vec::new() };
        let endpoint = entry.endpoint.take().and_then(|name| self.endpoints.get_mut(&name));
        if let Some((_, outstanding)) = endpoint {
            *outstanding = outstanding.saturating_sub(1);
        }
        let retries = matches!(outcome, Outcome::Failed(_)) && entry.attempt < ATTEMPT_LIMIT;
        if retries {
            let arrival = entry.arrival.clone();
            self.queue.insert(self.key(&arrival), ());
            return self.dispatch();
        }
        self.entries.remove(&request);
        let mut effects = self.dispatch();
        if matches!(outcome, Outcome::Failed(_)) {
            effects.push(Baseline::refuse(request, Reason::EndpointFailed));
        }
        effects
    }

    fn abandon(&mut self, request: u64, now: Millis) -> Vec<Effect> {
        if let Some(entry) = self.entries.get(&request) {
            let key = self.key(&entry.arrival);
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
