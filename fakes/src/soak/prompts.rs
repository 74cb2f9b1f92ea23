use crate::clients::{CRASHING_BODY, CRASHING_PART, Observation};
use crate::contact::{AppliedFault, CONTACT_TIME, is_in_touch};
use crate::faults::Fault;
use fakes::{Behaviour, PlatformEndpoint};
use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

/// The crash from which the platform limits the requests with a part that reach endpoints, and of one
/// request that comes again, and how many may.
const LIMITING_CRASH: usize = 5;
const LIMITING_REPETITION: usize = 3;
const ALLOWED_LATE: usize = 3;
/// The length of the windows in which requests to an endpoint with a limit are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// Time after which a response tells a gateway the limit.
const TOLD_AFTER: Duration = Duration::from_millis(500);

/// The limit that the first endpoint states from the start of a run, in requests a second.
pub fn random_limit(rng: &mut Pcg64Mcg) -> f64 {
    rng.random_range(5..60) as f64 / 10.0
}

/// Checks what reached endpoints of requests that crash them, and of endpoints with limits, from
/// gateways in touch. Returns a summary, or the first violated guarantee.
pub fn check_prompts(
    observations: &[Observation],
    endpoints: &[PlatformEndpoint],
    limit: f64,
    applied: &[AppliedFault],
) -> Result<String, String> {
    let gateways: BTreeMap<&str, usize> =
        observations.iter().map(|one| (one.id.as_str(), one.gateway)).collect();
    let crashes = check_crashes(&gateways, endpoints, applied)?;
    let most = check_limit(&gateways, &endpoints[0], limit, applied)?;
    Ok(format!("{crashes} crashes, {most} requests in a window at a limit of {limit} a second"))
}

/// Checks what reached endpoints of requests that crash them and come again, from gateways in touch.
/// Returns a summary, or the first violated guarantee.
pub fn check_repetitions(
    observations: &[Observation],
    endpoints: &[PlatformEndpoint],
    applied: &[AppliedFault],
) -> Result<String, String> {
    let gateways: BTreeMap<&str, usize> =
        observations.iter().map(|one| (one.id.as_str(), one.gateway)).collect();
    // A request to another path is another request. Each that arrives crashes its endpoint.
    let mut by_path: BTreeMap<String, Vec<(Instant, String)>> = BTreeMap::new();
    for request in endpoints.iter().flat_map(PlatformEndpoint::received_requests) {
        if request.ran && request.message.body == CRASHING_BODY.as_bytes() {
            let id = request.message.header("x-chervilspur-attempt-id").to_owned();
            let path = request.message.word(1).to_owned();
            by_path.entry(path).or_default().push((request.arrived, id));
        }
    }
    for (path, arrivals) in &mut by_path {
        arrivals.sort();
        let Some(limiting) = arrivals.get(LIMITING_REPETITION - 1).map(|(at, _)| *at) else {
            continue;
        };
        let is_late = |(at, id): &&(Instant, String)| {
            let gateway = gateways.get(id.as_str());
            *at > limiting + CONTACT_TIME
                && gateway.is_some_and(|gateway| is_in_touch(*gateway, *at, applied))
        };
        let late = arrivals.iter().filter(is_late).count();
        if late > ALLOWED_LATE {
            let total = arrivals.len();
            return Err(format!(
                "{late} of {total} requests to {path} that crash endpoints sent late"
            ));
        }
    }
    let crashes: usize = endpoints.iter().map(|endpoint| endpoint.crashes().len()).sum();
    Ok(format!("{crashes} crashes under {} requests", by_path.len()))
}

fn check_crashes(
    gateways: &BTreeMap<&str, usize>,
    endpoints: &[PlatformEndpoint],
    applied: &[AppliedFault],
) -> Result<usize, String> {
    let mut crashes: Vec<Instant> = endpoints.iter().flat_map(PlatformEndpoint::crashes).collect();
    crashes.sort();
    let Some(limiting) = crashes.get(LIMITING_CRASH - 1) else { return Ok(crashes.len()) };
    let requests = endpoints.iter().flat_map(PlatformEndpoint::received_requests);
    let late = requests.filter(|request| {
        let gateway = gateways.get(request.message.header("x-chervilspur-attempt-id"));
        request.message.header("x-chervilspur-prompt-prefix").contains(CRASHING_PART)
            && request.arrived > *limiting + CONTACT_TIME
            && gateway.is_some_and(|gateway| is_in_touch(*gateway, request.arrived, applied))
    });
    let late = late.count();
    if late > ALLOWED_LATE {
        let total = crashes.len();
        return Err(format!("{late} requests that crash endpoints sent late, {total} crashes"));
    }
    Ok(crashes.len())
}

fn check_limit(
    gateways: &BTreeMap<&str, usize>,
    endpoint: &PlatformEndpoint,
    limit: f64,
    applied: &[AppliedFault],
) -> Result<usize, String> {
    let requests = endpoint.received_requests();
    let Some(first) = requests.first().map(|request| request.arrived) else { return Ok(0) };
    let mut told: BTreeMap<usize, Instant> = BTreeMap::new();
    let mut counted: Vec<Instant> = Vec::new();
    for request in &requests {
        let id = request.message.header("x-chervilspur-attempt-id");
        let Some(gateway) = gateways.get(id) else { continue };
        let told_at = *told.entry(*gateway).or_insert(request.arrived + TOLD_AFTER);
        if request.arrived >= told_at.max(first + CONTACT_TIME)
            && is_in_touch(*gateway, request.arrived, applied)
        {
            counted.push(request.arrived);
        }
    }
    let in_window =
        |start: Instant| counted.iter().filter(|at| **at >= start && **at < start + WINDOW).count();
    let most = counted.iter().map(|start| in_window(*start)).max().unwrap_or(0);
    let allowed = 1.5 * limit * WINDOW.as_secs_f64() + 5.0;
    if most as f64 > allowed {
        let told: BTreeSet<&usize> = told.keys().collect();
        return Err(format!(
            "{most} requests in a window at a limit of {limit} a second, {allowed:.1} allowed; \
             gateways told: {told:?}"
        ));
    }
    Ok(most)
}

/// Whether a fault is used with prompts: it leaves the first gateway in touch, so that what it sends
/// is checked. A response without a length whose endpoint crashes looks complete.
pub fn is_used_with_prompts(fault: &Fault) -> bool {
    match fault {
        Fault::Endpoint(_, Behaviour::Unframed(_)) => false,
        Fault::Pause(number)
        | Fault::Continue(number)
        | Fault::Kill(number)
        | Fault::Terminate(number) => *number != 0,
        Fault::Store(_) | Fault::StoreLink(_) | Fault::KillAll | Fault::Cut(_) => false,
        // Only runs of their own have these.
        Fault::TurnAway(..) | Fault::Refuse(..) | Fault::Remove(_) => false,
        Fault::Endpoint(..)
        | Fault::Link(..)
        | Fault::Configure
        | Fault::AddRoutes
        | Fault::OddEntry(_)
        | Fault::Leave(_)
        | Fault::Return(_) => true,
    }
}
