//! Runs in which endpoints fail most requests, and gateways are killed or stopped in turn: counts the
//! repeats at the endpoints, the processes that end by themselves and the requests that are lost.

use crate::clients::KEY;
use crate::objects::{configuration, registration};
use fakes::{Behaviour, Client, GatewayConfig, GatewayProcess, PlatformEndpoint, PlatformStore};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde_json::{Value, json};
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

const ENDPOINTS: usize = 4;
/// Requests of which an endpoint fails, in thousandths.
const FAILING: u32 = 600;
/// Attempts that the route allows.
const ATTEMPTS: u32 = 3;
/// The budget of the gateways: a share of the requests, and more, in a window.
const BUDGET_RATIO: f64 = 0.2;
const BUDGET_EXTRA: f64 = 54.0;
const BUDGET_WINDOW: Duration = Duration::from_secs(10);
const STEP: Duration = Duration::from_millis(100);
/// Time between two requests of a client.
const REQUEST_INTERVAL: Duration = Duration::from_millis(160);
/// Time in which endpoints are sound at first.
const WARM_UP: Duration = Duration::from_secs(6);
/// Time between two kills or stops.
const END_INTERVAL_MS: std::ops::Range<u64> = 1_000..2_000;
/// Time for which a stopped gateway may go on with what it has (`grace_s`), and until its successor is
/// up.
const STOP_TIME: Duration = Duration::from_secs(9);
/// Time after which a connection that ends without a response counts as lost, even if the request was
/// not passed on (`loss_slack_ms`).
const LOSS_SLACK: Duration = Duration::from_millis(200);

/// How gateways end during a run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Ends {
    /// Not at all.
    None,
    /// With `SIGKILL`, one after the other.
    Kills,
    /// With `SIGTERM`, one after the other.
    Stops,
}

impl Ends {
    /// Parses the value of a flag.
    pub fn parse(text: &str) -> Result<Ends, String> {
        match text {
            "none" => Ok(Ends::None),
            "kills" => Ok(Ends::Kills),
            "stops" => Ok(Ends::Stops),
            _ => Err(format!("{text}: none, kills or stops expected")),
        }
    }
}

/// A run with failing endpoints.
#[derive(Clone, Copy, Debug)]
pub struct RetryRun {
    pub seed: u64,
    /// The time for which endpoints fail.
    pub seconds: u64,
    pub gateways: usize,
    pub clients: usize,
    pub ends: Ends,
}

/// A request, as its client saw it.
#[derive(Clone, Debug)]
struct Sent {
    id: String,
    gateway: usize,
    at: Instant,
    /// When the response or the end of the connection was read.
    ended_at: Instant,
    status: Option<u16>,
}

impl RetryRun {
    /// Runs it; returns a summary, or the first violated guarantee.
    pub fn run(self) -> Result<String, String> {
        let store = PlatformStore::start().map_err(|e| e.to_string())?;
        let (endpoints, mut gateways) = self.start(&store).map_err(|e| e.to_string())?;
        let addresses: Vec<SocketAddr> = gateways.iter().map(|gateway| gateway.address).collect();
        let stop = AtomicBool::new(false);
        let (sent, ended) = thread::scope(|scope| {
            let clients: Vec<_> = (0..self.clients)
                .map(|number| {
                    let (addresses, stop) = (&addresses, &stop);
                    scope.spawn(move || run_client(number, self.seed, addresses, stop))
                })
                .collect();
            thread::sleep(WARM_UP);
            for endpoint in &endpoints {
                endpoint.set_behaviour(Behaviour::FailSome(FAILING));
            }
            let ended = self.end_gateways(&mut gateways);
            stop.store(true, Ordering::SeqCst);
            let sent = clients.into_iter().flat_map(|client| client.join().unwrap_or_default());
            (sent.collect::<Vec<Sent>>(), ended)
        });
        let ended = ended.map_err(|e| e.to_string())?;
        for gateway in &mut gateways {
            if gateway.has_exited().map_err(|e| e.to_string())? {
                return Err(format!("a process ended by itself:\n{}", gateway.log().join("\n")));
            }
        }
        let lost = count_lost(&sent, &endpoints, &ended, self.ends)?;
        let budget = check_budget(&sent, &endpoints)
            .map_err(|text| format!("{text}; {}", daemons_counted(&gateways)))?;
        Ok(format!("{} requests, {} ends, {lost} lost, {budget}", sent.len(), ended.len()))
    }

    fn start(
        self,
        store: &PlatformStore,
    ) -> io::Result<(Vec<PlatformEndpoint>, Vec<GatewayProcess>)> {
        let mut first = configuration(1);
        for route in first["routes"].as_array_mut().into_iter().flatten() {
            route["attempts"] = json!(ATTEMPTS);
        }
        store.put("config", "main", first);
        let mut endpoints = Vec::new();
        for number in 0..ENDPOINTS {
            let endpoint = PlatformEndpoint::start(&format!("i-{number}"), 1, Duration::ZERO)?;
            let mut entry = registration(endpoint.address, 1, 1);
            entry["slots"] = json!(64);
            store.put("servers", &endpoint.id, entry);
            endpoints.push(endpoint);
        }
        let mut gateways = Vec::new();
        for number in 0..self.gateways {
            let cfg = GatewayConfig { name: format!("front-{number}"), ..Default::default() };
            gateways.push(GatewayProcess::start(store.address, &cfg)?);
        }
        for gateway in &gateways {
            gateway.wait_for_log(&["daemons_counted"])?;
        }
        Ok((endpoints, gateways))
    }

    /// Ends gateways until the run is over. Returns which, and when.
    fn end_gateways(self, gateways: &mut [GatewayProcess]) -> io::Result<Vec<(usize, Instant)>> {
        let mut rng = Pcg64Mcg::seed_from_u64(self.seed);
        let end = Instant::now() + Duration::from_secs(self.seconds);
        let mut ended = Vec::new();
        while Instant::now() < end {
            let pause = Duration::from_millis(rng.random_range(END_INTERVAL_MS));
            thread::sleep(pause.min(end.saturating_duration_since(Instant::now())));
            let number = rng.random_range(0..gateways.len());
            let signal = match self.ends {
                Ends::None => continue,
                Ends::Kills => "KILL",
                Ends::Stops => "TERM",
            };
            ended.push((number, Instant::now()));
            gateways[number].restart(signal)?;
        }
        Ok(ended)
    }
}

/// The numbers of daemons that each gateway counted, in their order, earlier processes included.
fn daemons_counted(gateways: &[GatewayProcess]) -> String {
    let counts = |gateway: &GatewayProcess| -> Vec<u64> {
        let lines = gateway.log_with(&["daemons_counted"]);
        let lines = lines.iter().filter_map(|line| serde_json::from_str::<Value>(line).ok());
        lines.filter_map(|line| line["count"].as_u64()).collect()
    };
    let counts: Vec<Vec<u64>> = gateways.iter().map(counts).collect();
    format!("daemons counted: {counts:?}")
}

/// Sends requests at a steady rate until `stop` is set, each to any gateway if the last connection ended.
fn run_client(number: usize, seed: u64, gateways: &[SocketAddr], stop: &AtomicBool) -> Vec<Sent> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed.wrapping_mul(1_000).wrapping_add(number as u64));
    let mut sent = Vec::new();
    let mut connection: Option<(usize, Client)> = None;
    thread::sleep(REQUEST_INTERVAL.mul_f64(rng.random()));
    while !stop.load(Ordering::SeqCst) {
        let at = Instant::now();
        let id = format!("s{seed}-c{number}-{}", sent.len());
        let open = connection.take().or_else(|| {
            let gateway = rng.random_range(0..gateways.len());
            Client::connect(gateways[gateway]).ok().map(|client| (gateway, client))
        });
        if let Some((gateway, mut client)) = open {
            let response = client
                .send_request("/safe/", &id, KEY, "body")
                .and_then(|()| client.read_response());
            let status = response.as_ref().ok().map(|response| response.message.status());
            sent.push(Sent { id, gateway, at, ended_at: Instant::now(), status });
            let is_open = response.is_ok_and(|response| {
                response.is_complete && response.message.header("connection") != "close"
            });
            connection = is_open.then_some((gateway, client));
        }
        thread::sleep(REQUEST_INTERVAL.saturating_sub(at.elapsed()));
    }
    sent
}

/// Counts the requests whose connections ended without a response, though they were passed on or ended
/// late. Only those to gateways that were killed may.
fn count_lost(
    sent: &[Sent],
    endpoints: &[PlatformEndpoint],
    ended: &[(usize, Instant)],
    ends: Ends,
) -> Result<usize, String> {
    let received = endpoints.iter().flat_map(PlatformEndpoint::received_requests);
    let passed_on: BTreeSet<String> =
        received.map(|one| one.message.header("x-chervilspur-attempt-id").to_owned()).collect();
    let is_lost = |one: &&Sent| {
        let is_late = one.ended_at.duration_since(one.at) > LOSS_SLACK;
        one.status.is_none() && (is_late || passed_on.contains(&one.id))
    };
    let lost: Vec<&Sent> = sent.iter().filter(is_lost).collect();
    let is_excused = |one: &Sent| {
        let killed = ended.iter().filter(|(number, _)| *number == one.gateway);
        let mut killed = killed.map(|(_, at)| *at);
        ends == Ends::Kills && killed.any(|at| at + STOP_TIME > one.at && one.ended_at >= at)
    };
    match lost.iter().find(|one| !is_excused(one)) {
        Some(one) => Err(format!("{} requests are lost, first: {one:?}", lost.len())),
        None => Ok(lost.len()),
    }
}

/// Checks the repeats in each window against the budget. The requests are those of the window, the one
/// before or the one half a window before, whichever are most.
fn check_budget(sent: &[Sent], endpoints: &[PlatformEndpoint]) -> Result<String, String> {
    let mut arrivals: BTreeMap<String, Vec<Instant>> = BTreeMap::new();
    for request in endpoints.iter().flat_map(PlatformEndpoint::received_requests) {
        let id = request.message.header("x-chervilspur-attempt-id").to_owned();
        arrivals.entry(id).or_default().push(request.arrived);
    }
    let mut repeats = Vec::new();
    for mut times in arrivals.into_values() {
        times.sort_unstable();
        repeats.extend(times.drain(1..));
    }
    let Some(first) = sent.iter().map(|one| one.at).min() else {
        return Err(String::from("no request was sent"));
    };
    let last = sent.iter().map(|one| one.at).max().unwrap_or(first);
    let requests: Vec<Instant> = sent.iter().map(|one| one.at).collect();
    let between = |times: &[Instant], from: Instant, to: Instant| {
        times.iter().filter(|at| **at >= from && **at < to).count()
    };
    let (mut windows, mut over, mut worst) = (0, 0, f64::MIN);
    let mut from = first + BUDGET_WINDOW;
    while from < last {
        let to = from + BUDGET_WINDOW;
        let starts = [from, from - BUDGET_WINDOW / 2, from - BUDGET_WINDOW];
        let most = starts.map(|start| between(&requests, start, start + BUDGET_WINDOW));
        let allowed = BUDGET_RATIO * most.into_iter().max().unwrap_or(0) as f64 + BUDGET_EXTRA;
        let excess = between(&repeats, from, to) as f64 - allowed;
        worst = worst.max(excess);
        windows += 1;
        over += usize::from(excess > 0.0);
        from += STEP;
    }
    let summary = format!(
        "{} repeats, at most {worst:.1} over the budget, in {over} of {windows} windows",
        repeats.len()
    );
    if over > 0 { Err(summary) } else { Ok(summary) }
}
