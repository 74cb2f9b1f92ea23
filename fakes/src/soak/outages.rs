use crate::clients::{KEY, Observation};
use crate::contact::{AppliedFault, is_in_touch};
use crate::faults::{Fault, ScheduledFault};
use fakes::{Client, NetworkPath, PathState, PlatformEndpoint, PlatformStore, RefusedKinds};
use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// The bounds of the gateways (`configuration_ms`, `drain_ms`).
const BOUND: Duration = Duration::from_secs(3);
const PROBE_INTERVAL: Duration = Duration::from_millis(15);
const OUTAGE_INTERVAL_MS: std::ops::Range<u64> = 1_000..4_000;
const OUTAGE_DURATION_MS: std::ops::Range<u64> = 500..7_000;
const CHANGE_INTERVAL_MS: std::ops::Range<u64> = 200..6_000;
/// Time from a series of changes to the next one, its length, and the time between its changes.
const SERIES_INTERVAL_MS: std::ops::Range<u64> = 500..3_000;
const SERIES_DURATION_MS: std::ops::Range<u64> = 1_500..3_500;
const SERIES_CHANGE_MS: usize = 240;
/// What the store turns gateways away with during a series.
const REFUSALS: [u16; 2] = [429, 503];
/// Versions before the latest one whose routes a configuration keeps: those of more than the bound.
const KEPT_VERSIONS: u64 = 20;
/// Versions whose routes are probed. The others may be gone when a probe arrives.
const PROBED_VERSIONS: u64 = 17;
const REMOVAL_INTERVAL_MS: std::ops::Range<u64> = 1_500..4_000;
/// Longer than the bound, so that late requests to an endpoint show before it returns.
const REMOVAL_DURATION_MS: std::ops::Range<u64> = 5_000..7_000;

/// Generates times at which the store turns gateways away, the configuration changes, and an endpoint
/// is removed from the registry, sorted by time.
pub fn generate_outages(
    rng: &mut Pcg64Mcg,
    duration_ms: u64,
    gateways: usize,
) -> Vec<ScheduledFault> {
    let states = [PathState::Reset, PathState::Hanging];
    let mut faults = Vec::new();
    let mut at_ms = rng.random_range(OUTAGE_INTERVAL_MS);
    while at_ms < duration_ms {
        let end_ms = at_ms + rng.random_range(OUTAGE_DURATION_MS);
        let state = states[rng.random_range(0..states.len())];
        for gateway in (0..gateways).filter(|_| rng.random::<f64>() < 0.4) {
            faults.push((at_ms, Fault::TurnAway(gateway, state)));
            faults.push((end_ms, Fault::TurnAway(gateway, PathState::Open)));
        }
        at_ms = end_ms + rng.random_range(OUTAGE_INTERVAL_MS);
    }
    let mut at_ms = 0;
    while at_ms < duration_ms {
        at_ms += rng.random_range(CHANGE_INTERVAL_MS);
        faults.push((at_ms, Fault::Configure));
    }
    let mut at_ms = rng.random_range(REMOVAL_INTERVAL_MS);
    while at_ms < duration_ms {
        faults.push((at_ms, Fault::Remove(0)));
        at_ms += rng.random_range(REMOVAL_DURATION_MS);
        faults.push((at_ms, Fault::Return(0)));
        at_ms += rng.random_range(REMOVAL_INTERVAL_MS);
    }
    faults
}

/// Generates times at which the configuration changes in quick succession while the store turns some
/// gateways away with a status.
pub fn generate_series(
    rng: &mut Pcg64Mcg,
    duration_ms: u64,
    gateways: usize,
) -> Vec<ScheduledFault> {
    let mut faults = Vec::new();
    let mut at_ms = rng.random_range(SERIES_INTERVAL_MS);
    while at_ms < duration_ms {
        let end_ms = at_ms + rng.random_range(SERIES_DURATION_MS);
        let status = REFUSALS[rng.random_range(0..REFUSALS.len())];
        for gateway in (0..gateways).filter(|_| rng.random::<f64>() < 0.4) {
            faults.push((at_ms, Fault::Refuse(gateway, Some(status))));
            faults.push((end_ms, Fault::Refuse(gateway, None)));
        }
        faults.extend((at_ms..end_ms).step_by(SERIES_CHANGE_MS).map(|at| (at, Fault::Configure)));
        at_ms = end_ms + rng.random_range(SERIES_INTERVAL_MS);
    }
    faults
}

/// Whether a fault may occur together with outages: the others affect the store as a whole, for which
/// no bounds hold, or end a removal.
pub fn is_used_with_outages(fault: &Fault) -> bool {
    !matches!(fault, Fault::Store(_) | Fault::StoreLink(_) | Fault::Leave(_) | Fault::Return(_))
}

/// The way of one gateway to the store.
#[derive(Debug)]
pub struct StorePath {
    pub path: NetworkPath,
    /// The calls that the store turns away.
    pub refused: RefusedKinds,
}

/// Starts a path of its own to the store for each gateway.
pub fn start_paths(store: &PlatformStore, gateways: usize) -> io::Result<Vec<StorePath>> {
    let start = |_| {
        let refused = RefusedKinds::default();
        let path = NetworkPath::start(store.start_refusing(refused.clone())?)?;
        Ok(StorePath { path, refused })
    };
    (0..gateways).map(start).collect()
}

/// Adds routes that have the names of the latest versions to the configuration of one.
pub fn add_version_routes(configuration: &mut Value, version: u64) {
    let pattern = configuration["routes"][1].clone();
    let Some(routes) = configuration["routes"].as_array_mut() else { return };
    for version in version.saturating_sub(KEPT_VERSIONS).max(1)..=version {
        let mut route = pattern.clone();
        route["name"] = json!(format!("v{version}"));
        route["path_prefix"] = json!(format!("/v{version}/"));
        routes.push(route);
    }
}

/// A request on the route of one of the latest versions.
#[derive(Clone, Debug)]
pub struct Probe {
    gateway: usize,
    version: u64,
    sent_at: Instant,
    status: Option<u16>,
}

/// Sends requests on the routes of the latest versions to the gateways in turn until `stop` is set.
pub fn run_probes(gateways: &[SocketAddr], version: &AtomicU64, stop: &AtomicBool) -> Vec<Probe> {
    let mut probes = Vec::new();
    while !stop.load(Ordering::SeqCst) {
        let gateway = probes.len() % gateways.len();
        let latest = version.load(Ordering::SeqCst);
        let version = latest.saturating_sub(probes.len() as u64 % PROBED_VERSIONS).max(1);
        let sent_at = Instant::now();
        let id = format!("probe-{}", probes.len());
        let response = Client::connect(gateways[gateway]).and_then(|mut client| {
            client.send_request(&format!("/v{version}/"), &id, KEY, "body")?;
            client.read_response()
        });
        let status = response.ok().map(|response| response.message.status());
        probes.push(Probe { gateway, version, sent_at, status });
        thread::sleep(PROBE_INTERVAL);
    }
    probes
}

/// Checks that changes of the configuration and removals of endpoints were in force in time at all
/// gateways in touch. Returns the number of probes and requests that were late enough to tell.
pub fn check_outages(
    probes: &[Probe],
    acked_at: &BTreeMap<u64, Instant>,
    observations: &[Observation],
    endpoint: &PlatformEndpoint,
    applied: &[AppliedFault],
) -> Result<String, String> {
    let is_late = |probe: &&Probe| {
        acked_at.get(&probe.version).is_some_and(|acked| probe.sent_at > *acked + BOUND)
    };
    let late: Vec<&Probe> = probes.iter().filter(is_late).collect();
    let denied = |probe: &&&Probe| {
        probe.status == Some(404) && is_in_touch(probe.gateway, probe.sent_at, applied)
    };
    if let Some(probe) = late.iter().find(denied) {
        return Err(format!("added route was denied later than {BOUND:?}: {probe:?}"));
    }
    let gateways: BTreeMap<&str, usize> =
        observations.iter().map(|one| (one.id.as_str(), one.gateway)).collect();
    let mut removed_at = None;
    let mut removals =
        applied.iter().filter(|(_, fault)| matches!(fault, Fault::Remove(_) | Fault::Return(_)));
    let mut next = removals.next();
    for request in endpoint.received_requests() {
        while let Some((_, fault)) = next.filter(|(time, _)| *time <= request.arrived) {
            removed_at = matches!(fault, Fault::Remove(_)).then_some(next.map(|(time, _)| *time));
            next = removals.next();
        }
        let Some(removed) = removed_at.flatten() else { continue };
        let id = request.message.header("x-chervilspur-attempt-id");
        let Some(gateway) = gateways.get(id) else { continue };
        let is_late = request.arrived > removed + BOUND;
        if is_late && is_in_touch(*gateway, request.arrived, applied) {
            let late_by = request.arrived - removed;
            return Err(format!(
                "{id} reached a removed endpoint after {late_by:?} from {gateway}"
            ));
        }
    }
    Ok(format!("{} probes, {} of them late", probes.len(), late.len()))
}
