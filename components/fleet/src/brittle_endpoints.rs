use decision::Millis;
use decision::routing::{BrittleEndpoints, Division, Part, Usage};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use std::collections::{BTreeMap, VecDeque};

const STEP: Millis = Millis(5);
/// Time between two looks for an endpoint for the requests that wait.
const RECHECK_INTERVAL: Millis = Millis(40);
const SERVICE: &str = "pool";
const REJECTION_WINDOW: Millis = Millis(1_000);
/// The time from the first statement until endpoints let fewer requests wait.
const CONTACT_TIME: Millis = Millis(4_000);
const DURATION: Millis = Millis(20_000);
/// The time for which a request waits at its daemon before it is refused.
const WAIT_LIMIT: Millis = Millis(300);
/// The time for which a fallen endpoint is gone.
const FALL_TIME: Millis = Millis(3_000);
/// Endpoints to which a request is sent at most.
const MAX_ATTEMPTS: usize = 2;
/// The requests that wait at an endpoint in calm, as a multiple of its slots.
const CALM_QUEUE: usize = 4;

/// A fleet of daemons in front of the endpoints of one brittle service.
#[derive(Clone, Copy, Debug)]
pub struct BrittleConfig {
    /// The number of daemons. Some get four times as many requests as others.
    pub daemons: usize,
    /// The number of endpoints.
    pub endpoints: usize,
    /// The requests that an endpoint runs at once.
    pub slots: u32,
    /// The average time of a request at an endpoint.
    pub work_ms: f64,
    /// The rejections in a second that an endpoint bears.
    pub max_rejections: usize,
    /// The requests that may wait at an endpoint once the contact time is over.
    pub queue: usize,
    /// Offered requests, as a multiple of what the endpoints can run.
    pub load: f64,
}

/// What became of the requests and endpoints of a run, after the contact time.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct BrittleResult {
    /// Requests that clients sent.
    pub offered: u64,
    /// Requests that were completed.
    pub served: u64,
    /// Requests that endpoints rejected.
    pub rejected: u64,
    /// The most rejections of an endpoint in a second.
    pub most_rejections: usize,
    /// How often endpoints fell over.
    pub falls: usize,
}

#[derive(Debug)]
struct Request {
    daemon: usize,
    arrived: Millis,
    tried: Vec<usize>,
}

#[derive(Debug, Default)]
struct Endpoint {
    /// When each request ends, its daemon and its time at the endpoint.
    running: Vec<(Millis, usize, Millis)>,
    waiting: VecDeque<usize>,
    rejections: VecDeque<Millis>,
    down_until: Millis,
}

#[derive(Debug, Default)]
struct Daemon {
    brittle: BrittleEndpoints,
    /// Its requests at each endpoint.
    in_flight: BTreeMap<usize, u32>,
    weight: f64,
}

struct BrittleFleet {
    cfg: BrittleConfig,
    rng: Pcg64,
    names: Vec<String>,
    /// The part of each daemon of each endpoint.
    parts: Vec<Vec<Part>>,
    daemons: Vec<Daemon>,
    endpoints: Vec<Endpoint>,
    waiting: VecDeque<Request>,
    result: BrittleResult,
}

/// Simulates a brittle service and returns what became of its requests and endpoints.
pub fn measure_brittle(cfg: BrittleConfig, seed: u64) -> BrittleResult {
    let mut fleet = BrittleFleet::new(cfg, seed);
    let mut now = Millis(0);
    while now < DURATION {
        if now == CONTACT_TIME {
            fleet.result = BrittleResult::default();
        }
        fleet.step(now);
        now = now + STEP;
    }
    fleet.result
}

impl BrittleFleet {
    fn new(cfg: BrittleConfig, seed: u64) -> BrittleFleet {
        let mut rng = Pcg64::seed_from_u64(seed);
        let names: Vec<String> = (0..cfg.endpoints).map(|number| format!("i-{number}")).collect();
        let parts = (0..cfg.daemons).map(|_| {
            let own_seed = rng.random();
            let division = Division::new(names.iter().map(String::as_str), cfg.daemons, own_seed);
            names.iter().map(|name| division.part(name, cfg.slots, 0)).collect()
        });
        let parts = parts.collect();
        let daemon = |_| Daemon { weight: rng.random_range(0.5..2.0), ..Daemon::default() };
        let daemons = (0..cfg.daemons).map(daemon).collect();
        BrittleFleet {
            cfg,
            names,
            parts,
            daemons,
            endpoints: (0..cfg.endpoints).map(|_| Endpoint::default()).collect(),
            waiting: VecDeque::new(),
            result: BrittleResult::default(),
            rng,
        }
    }

    fn step(&mut self, now: Millis) {
        for endpoint in 0..self.endpoints.len() {
            self.finish_requests(endpoint, now);
        }
        self.add_requests(now);
        if !now.0.is_multiple_of(RECHECK_INTERVAL.0) {
            return;
        }
        for _ in 0..self.waiting.len() {
            let Some(request) = self.waiting.pop_front() else { break };
            if let Some(request) = self.dispatch(request, now)
                && now.since(request.arrived) < WAIT_LIMIT
            {
                self.waiting.push_back(request);
            }
        }
    }

    fn add_requests(&mut self, now: Millis) {
        let places = self.cfg.endpoints as f64 * f64::from(self.cfg.slots);
        let per_ms = places / self.cfg.work_ms * self.cfg.load;
        let total: f64 = self.daemons.iter().map(|daemon| daemon.weight).sum();
        for daemon in 0..self.daemons.len() {
            let mut expected = per_ms * STEP.0 as f64 * self.daemons[daemon].weight / total;
            while self.rng.random::<f64>() < expected {
                self.waiting.push_back(Request { daemon, arrived: now, tried: Vec::new() });
                self.result.offered += 1;
                expected -= 1.0;
            }
        }
    }

    /// Sends a request to endpoints that admit it, as the gateway does. Returns it if none does.
    fn dispatch(&mut self, mut request: Request, now: Millis) -> Option<Request> {
        while request.tried.len() < MAX_ATTEMPTS {
            let Some(endpoint) = self.choose(&request, now) else { return Some(request) };
            request.tried.push(endpoint);
            let part = self.parts[request.daemon][endpoint];
            let daemon = &mut self.daemons[request.daemon];
            let in_flight = daemon.in_flight.entry(endpoint).or_default();
            let usage = Usage { requests: *in_flight, tokens: 0.0 };
            daemon.brittle.record_send(SERVICE, &self.names[endpoint], part, usage, now);
            *in_flight += 1;
            if self.endpoints[endpoint].down_until > now {
                self.end(endpoint, request.daemon);
                let brittle = &mut self.daemons[request.daemon].brittle;
                brittle.record_absence(SERVICE, &self.names[endpoint], part, now);
                continue;
            }
            if self.arrive(endpoint, request.daemon, now) {
                return None;
            }
            self.end(endpoint, request.daemon);
            let daemon = &mut self.daemons[request.daemon];
            let left = daemon.in_flight.get(&endpoint).copied().unwrap_or(0);
            daemon.brittle.observe(SERVICE, Some(self.cfg.max_rejections as f64), now);
            daemon.brittle.record_rejection(SERVICE, &self.names[endpoint], part, left, now);
        }
        None
    }

    fn choose(&mut self, request: &Request, now: Millis) -> Option<usize> {
        let daemon = &self.daemons[request.daemon];
        let admits = |endpoint: &usize| {
            let requests = daemon.in_flight.get(endpoint).copied().unwrap_or(0);
            let usage = Usage { requests, tokens: 0.0 };
            let part = self.parts[request.daemon][*endpoint];
            daemon.brittle.admits(SERVICE, &self.names[*endpoint], part, usage, 0.0, now)
        };
        let first = self.rng.random_range(0..self.endpoints.len());
        let rotated = (0..self.endpoints.len()).map(|n| (n + first) % self.endpoints.len());
        rotated
            .filter(|endpoint| !request.tried.contains(endpoint))
            .filter(admits)
            .min_by_key(|endpoint| daemon.in_flight.get(endpoint).copied().unwrap_or(0))
    }

    /// Returns whether an endpoint takes a request.
    fn arrive(&mut self, number: usize, daemon: usize, now: Millis) -> bool {
        let slots = self.cfg.slots as usize;
        let queue = if now < CONTACT_TIME { slots * CALM_QUEUE } else { self.cfg.queue };
        let endpoint = &mut self.endpoints[number];
        if endpoint.running.len() < slots {
            let work = work(&mut self.rng, self.cfg.work_ms);
            endpoint.running.push((now + work, daemon, work));
            return true;
        }
        if endpoint.waiting.len() < queue {
            endpoint.waiting.push_back(daemon);
            return true;
        }
        endpoint.rejections.retain(|at| now.since(*at) < REJECTION_WINDOW);
        endpoint.rejections.push_back(now);
        self.result.rejected += 1;
        let rejections = endpoint.rejections.len();
        self.result.most_rejections = self.result.most_rejections.max(rejections);
        if rejections > self.cfg.max_rejections {
            self.fall(number, now);
        }
        false
    }

    fn fall(&mut self, number: usize, now: Millis) {
        self.result.falls += 1;
        let fallen = Endpoint { down_until: now + FALL_TIME, ..Endpoint::default() };
        let endpoint = std::mem::replace(&mut self.endpoints[number], fallen);
        let running = endpoint.running.into_iter().map(|(_, daemon, _)| daemon);
        running.chain(endpoint.waiting).for_each(|daemon| self.end(number, daemon));
    }

    fn finish_requests(&mut self, number: usize, now: Millis) {
        let running = std::mem::take(&mut self.endpoints[number].running);
        let (ended, running): (Vec<_>, Vec<_>) =
            running.into_iter().partition(|(ends, ..)| *ends <= now);
        self.endpoints[number].running = running;
        for (_, daemon, took) in ended {
            self.result.served += 1;
            self.end(number, daemon);
            let part = self.parts[daemon][number];
            let brittle = &mut self.daemons[daemon].brittle;
            brittle.observe(SERVICE, Some(self.cfg.max_rejections as f64), now);
            brittle.record_success(SERVICE, &self.names[number], part, took, now);
            let endpoint = &mut self.endpoints[number];
            if let Some(next) = endpoint.waiting.pop_front() {
                let work = work(&mut self.rng, self.cfg.work_ms);
                endpoint.running.push((now + work, next, work));
            }
        }
    }

    fn end(&mut self, endpoint: usize, daemon: usize) {
        let in_flight = self.daemons[daemon].in_flight.entry(endpoint).or_default();
        *in_flight = in_flight.saturating_sub(1);
    }
}

/// The time of one request at an endpoint, from half to one and a half times the average.
fn work(rng: &mut Pcg64, average_ms: f64) -> Millis {
    Millis((average_ms * rng.random_range(0.5..1.5)) as u64)
}
