use decision::Millis;
use decision::load::{
    AccountLimits, Arrival, DaemonLoad, Effect, EndpointInfo, EndpointReport, EndpointState,
    Outcome, PoolLoad, Scheduler, SchedulerConfig,
};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Instant;

/// Calls of each kind that are timed.
const CALLS: u64 = 20_000;

/// Models.
const MODELS: u64 = 4;

/// Requests that run at once in one daemon.
const RUNNING: usize = 270;

/// Daemons that spread their load.
const PEERS: u64 = 359;

/// The size of a daemon's tables.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    /// Endpoints.
    pub endpoints: u64,
    /// Client accounts.
    pub accounts: u64,
    /// Waiting requests.
    pub waiting: usize,
}

/// Times of each kind of call, in nanoseconds.
#[derive(Debug, Default)]
struct Times {
    kinds: BTreeMap<&'static str, Vec<u64>>,
}

impl Times {
    fn time<T>(&mut self, kind: &'static str, call: impl FnOnce() -> T) -> T {
        let start = Instant::now();
        let result = call();
        let ns = start.elapsed().as_nanos() as u64;
        self.kinds.entry(kind).or_default().push(ns);
        result
    }

    fn print(mut self, size: Size, waiting: usize) {
        for (kind, times) in &mut self.kinds {
            times.sort_unstable();
            let at = |part: f64| times[((times.len() - 1) as f64 * part) as usize] as f64 / 1e3;
            println!(
                "| {} | {} | {} | {kind} | {:.1} | {:.1} |",
                size.endpoints,
                size.accounts,
                waiting,
                at(0.5),
                at(0.99)
            );
        }
    }
}

fn model(number: u64) -> String {
    format!("model-{}", number % MODELS)
}

fn arrival(request: u64, accounts: u64) -> Arrival {
    Arrival {
        request,
        account: format!("account-{}", request.wrapping_mul(7_919) % accounts),
        class: format!("class-{}", request % 4),
        tier: (request / 5 % 4) as u8 + 1,
        serves: model(request),
        repeatable: true,
        prompt_tokens: 500,
        prefix: request % 97 + 1,
        first_token: Millis(60_000),
        finish: Millis(600_000),
        floor: if request / 5 % 4 == 3 { 0.05 } else { 0.0 },
        limits: AccountLimits {
            requests_per_minute: 1_000_000,
            tokens_per_minute: 1_000_000_000,
            streams: 1_000_000,
        },
        ..Arrival::default()
    }
}

fn filled(size: Size) -> Scheduler {
    let cfg = SchedulerConfig { queue_limit: usize::MAX, ..SchedulerConfig::default() };
    let mut scheduler = Scheduler::new(SchedulerConfig { name: "daemon".to_string(), ..cfg });
    for number in 0..size.endpoints {
        let info = EndpointInfo {
            name: format!("runner-{number}"),
            serves: BTreeSet::from([model(number)]),
            slots: 100,
            pauses: true,
            ..EndpointInfo::default()
        };
        scheduler.set_endpoint(info, EndpointState::Live, Millis(0));
    }
    for number in 0..PEERS {
        scheduler.peer_load(&peer(number, size), Millis(0));
    }
    scheduler
}

fn peer(number: u64, size: Size) -> DaemonLoad {
    let running = (size.endpoints as u32 * 100 / (MODELS as u32 * 90)).max(1);
    let load = PoolLoad { waiting: [running; 4], ..PoolLoad::default() };
    let pools = (0..MODELS).map(|m| (model(m), load.clone())).collect();
    let data_centre = if number < 90 { String::new() } else { format!("far-{}", number % 3) };
    DaemonLoad { daemon: format!("peer-{number}"), data_centre, pools, ..DaemonLoad::default() }
}

fn note_started(effects: &[Effect], running: &mut VecDeque<u64>) {
    for effect in effects {
        if let Effect::Dispatch { request, .. } = effect {
            running.push_back(*request);
        }
    }
}

/// Times each deciding call at one size and prints a row for each.
pub fn print_cost(size: Size) {
    let mut scheduler = filled(size);
    let mut times = Times::default();
    let mut running = VecDeque::new();
    let target = (RUNNING + size.waiting) as u64;
    for request in 0..target + CALLS {
        let now = Millis(1_000 + request / 10);
        let timed = request >= target;
        let arrival = arrival(request, size.accounts);
        let effects = if timed {
            times.time("arrive", || scheduler.arrive(arrival, now))
        } else {
            scheduler.arrive(arrival, now)
        };
        note_started(&effects, &mut running);
        if scheduler.waiting() > size.waiting && scheduler.live_attempt(request).is_none() {
            times.time("abandon", || scheduler.abandon(request, now));
        }
        if !timed {
            continue;
        }
        let Some(ended) = running.pop_front() else { continue };
        times.time("progress", || scheduler.progress(ended, 1, now));
        let effects = times.time("finish", || scheduler.finish(ended, Outcome::Done, now));
        note_started(&effects, &mut running);
        let name = format!("runner-{}", request % size.endpoints);
        times.time("report", || scheduler.report(&name, EndpointReport::default(), now));
        let load = peer(request % PEERS, size);
        let effects = times.time("peer_load", || scheduler.peer_load(&load, now));
        note_started(&effects, &mut running);
        if request.is_multiple_of(10) {
            let effects = times.time("tick", || scheduler.tick(now));
            note_started(&effects, &mut running);
            times.time("own_load", || scheduler.own_load(now));
        }
    }
    times.print(size, scheduler.waiting());
}
