use decision::Millis;
use decision::load::{
    AccountLimits, Arrival, DaemonLoad, Effect, EndpointInfo, EndpointReport, EndpointState,
    Outcome, PoolLoad, Scheduler, SchedulerConfig,
};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Instant;

/// Number of arrivals that are timed; the other calls follow from them.
const TIMED_ARRIVALS: u64 = 20_000;

const MODELS: u64 = 4;

/// Number of requests of one daemon that run at once.
const RUNNING_REQUESTS: usize = 270;

/// Number of peers that report their load.
const PEERS: u64 = 359;

/// Size of the tables of a daemon.
#[derive(Clone, Copy, Debug)]
pub struct TableSizes {
    /// Number of endpoints.
    pub endpoints: u64,
    /// Number of client accounts.
    pub accounts: u64,
    /// Number of queued requests.
    pub waiting: usize,
}

/// Durations of the calls of each method, in nanoseconds.
#[derive(Debug, Default)]
struct CallTimes {
    by_method: BTreeMap<&'static str, Vec<u64>>,
}

impl CallTimes {
    fn time<T>(&mut self, method: &'static str, call: impl FnOnce() -> T) -> T {
        let start = Instant::now();
        let result = call();
        let ns = start.elapsed().as_nanos() as u64;
        self.by_method.entry(method).or_default().push(ns);
        result
    }

    fn print(mut self, sizes: TableSizes, waiting: usize) {
        for (method, times) in &mut self.by_method {
            times.sort_unstable();
            let percentile_us =
                |part: f64| times[((times.len() - 1) as f64 * part) as usize] as f64 / 1e3;
            println!(
                "| {} | {} | {} | {method} | {:.1} | {:.1} |",
                sizes.endpoints,
                sizes.accounts,
                waiting,
                percentile_us(0.5),
                percentile_us(0.99)
            );
        }
    }
}

fn model_name(number: u64) -> String {
    format!("model-{}", number % MODELS)
}

fn arrival(request: u64, accounts: u64) -> Arrival {
    Arrival {
        request,
        account: format!("account-{}", request.wrapping_mul(7_919) % accounts),
        class: format!("class-{}", request % 4),
        tier: (request / 5 % 4) as u8 + 1,
        serves: model_name(request),
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

fn scheduler_with_tables(sizes: TableSizes) -> Scheduler {
    let cfg = SchedulerConfig { queue_limit: usize::MAX, ..SchedulerConfig::default() };
    let mut scheduler = Scheduler::new(SchedulerConfig { name: "daemon".to_string(), ..cfg });
    for number in 0..sizes.endpoints {
        let info = EndpointInfo {
            name: format!("runner-{number}"),
            serves: BTreeSet::from([model_name(number)]),
            slots: 100,
            pauses: true,
            ..EndpointInfo::default()
        };
        scheduler.set_endpoint(info, EndpointState::Live, Millis(0));
    }
    for number in 0..PEERS {
        scheduler.peer_load(&load_of_peer(number, sizes), Millis(0));
    }
    scheduler
}

fn load_of_peer(number: u64, sizes: TableSizes) -> DaemonLoad {
    let running = (sizes.endpoints as u32 * 100 / (MODELS as u32 * 90)).max(1);
    let load = PoolLoad { waiting: [running; 4], ..PoolLoad::default() };
    let pools = (0..MODELS).map(|m| (model_name(m), load.clone())).collect();
    let data_centre = if number < 90 { String::new() } else { format!("far-{}", number % 3) };
    DaemonLoad { daemon: format!("peer-{number}"), data_centre, pools, ..DaemonLoad::default() }
}

fn record_started(effects: &[Effect], running: &mut VecDeque<u64>) {
    for effect in effects {
        if let Effect::Dispatch { request, .. } = effect {
            running.push_back(*request);
        }
    }
}

/// Times the calls of the scheduler with tables of one size and prints a row for each method.
pub fn print_cost(sizes: TableSizes) {
    let mut scheduler = scheduler_with_tables(sizes);
    let mut times = CallTimes::default();
    let mut running = VecDeque::new();
    let target = (RUNNING_REQUESTS + sizes.waiting) as u64;
    for request in 0..target + TIMED_ARRIVALS {
        let now = Millis(1_000 + request / 10);
        let timed = request >= target;
        let arrival = arrival(request, sizes.accounts);
        let effects = if timed {
            times.time("arrive", || scheduler.arrive(arrival, now))
        } else {
            scheduler.arrive(arrival, now)
        };
        record_started(&effects, &mut running);
        if scheduler.waiting() > sizes.waiting && scheduler.live_attempt(request).is_none() {
            times.time("abandon", || scheduler.abandon(request, now));
        }
        if !timed {
            continue;
        }
        let Some(finished) = running.pop_front() else { continue };
        times.time("progress", || scheduler.progress(finished, 1, now));
        let effects = times.time("finish", || scheduler.finish(finished, Outcome::Done, now));
        record_started(&effects, &mut running);
        let name = format!("runner-{}", request % sizes.endpoints);
        times.time("report", || scheduler.report(&name, EndpointReport::default(), now));
        let load = load_of_peer(request % PEERS, sizes);
        let effects = times.time("peer_load", || scheduler.peer_load(&load, now));
        record_started(&effects, &mut running);
        if request.is_multiple_of(10) {
            let effects = times.time("tick", || scheduler.tick(now));
            record_started(&effects, &mut running);
            times.time("own_load", || scheduler.own_load(now));
        }
    }
    times.print(sizes, scheduler.waiting());
}
