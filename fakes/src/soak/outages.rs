use crate::clients::{KEY, Observation};
use crate::contact::{AppliedFault, is_in_touch};
use crate::faults::{Fault, ScheduledFault};
use fakes::{Client, NetworkPath, PathState, PlatformEndpoint};
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

/// Whether a fault may occur together with outages: the others affect the store as a whole, for which
/// no bounds hold, or end a removal.
pub fn is_used_with_outages(fault: &Fault) -> bool {
    !matches!(fault, Fault::Store(_) | Fault::StoreLink(_) | Fault::Leave(_) | Fault::Return(_))
}

/// Starts a path of its own to the store for each gateway.
pub fn start_paths(store: SocketAddr, gateways: usize) -> io::Result<Vec<NetworkPath>> {
    (0..gateways).map(|_| NetworkPath::start(store)).collect()
}

/// Adds a route that has the name of a version to its configuration.
pub fn add_version_route(configuration: &mut Value, version: u64) {
    let mut route = configuration["routes"][1].clone();
    route["name"] = json!(format!("v{version}"));
    route["path_prefix"] = json!(format!("/v{version}/"));
    if let Some(routes) = configuration["routes"].as_array_mut() {
        routes.push(route);
    }
}

/// A request on the route of the latest version.
#[derive(Clone, Debug)]
pub struct Probe {
    gateway: usize,
    version: u64,
    sent_at: Instant,
    status: Option<u16>,
}

/// Sends requests on the route of the latest version to the gateways in turn until `stop` is set.
pub fn run_probes(gateways: &[SocketAddr], version: &AtomicU64, stop: &AtomicBool) -> Vec<Probe> {
    let mut probes = Vec::new();
    while !stop.load(Ordering::SeqCst) {
        let gateway = probes.len() % gateways.len();
        let version = version.load(Ordering::SeqCst);
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
