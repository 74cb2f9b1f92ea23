use crate::clients::Observation;
use crate::contact::AppliedFault;
use crate::faults::{Fault, ScheduledFault};
use fakes::PlatformEndpoint;
use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Time after which a gateway that passed on the statement of an endpoint that it leaves may send it
/// no request that a client sends (`drain_ms`).
const DRAIN_TIME: Duration = Duration::from_secs(3);
/// The time for which endpoints state that they leave, before they start anew.
const LEAVING_MS: std::ops::Range<u64> = 3_500..6_000;
const INTERVAL_MS: std::ops::Range<u64> = 300..3_000;

/// Generates times in which endpoints state that they leave; all return before the end.
pub fn generate_departures(
    rng: &mut Pcg64Mcg,
    duration_ms: u64,
    endpoints: usize,
) -> Vec<ScheduledFault> {
    let mut faults = Vec::new();
    let mut returns_ms = vec![0; endpoints];
    let mut at_ms = rng.random_range(INTERVAL_MS);
    while at_ms < duration_ms {
        let endpoint = rng.random_range(0..endpoints);
        let end_ms = at_ms + rng.random_range(LEAVING_MS);
        if returns_ms[endpoint] <= at_ms {
            returns_ms[endpoint] = end_ms;
            faults.push((at_ms, Fault::Leave(endpoint)));
            faults.push((end_ms, Fault::Return(endpoint)));
        }
        at_ms += rng.random_range(INTERVAL_MS);
    }
    faults.sort_by_key(|(at_ms, _)| *at_ms);
    faults
}

/// Checks that no gateway sends requests to an endpoint after the drain time from the first response
/// in which it stated to a client of that gateway that it leaves. Returns the number of statements.
pub fn check_departures(
    observations: &[Observation],
    endpoints: &[PlatformEndpoint],
    applied: &[AppliedFault],
) -> Result<usize, String> {
    let by_id: BTreeMap<&str, &Observation> =
        observations.iter().map(|one| (one.id.as_str(), one)).collect();
    let mut statements = 0;
    for (since, fault) in applied {
        let Fault::Leave(number) = *fault else { continue };
        let is_return = |(at, fault): &&AppliedFault| *fault == Fault::Return(number) && at > since;
        let until = applied.iter().find(is_return).map_or(Instant::now(), |(at, _)| *at);
        let endpoint = &endpoints[number];
        let told = told_gateways(observations, &endpoint.id, *since, until);
        statements += told.len();
        for request in endpoint.received_requests() {
            let id = request.message.header("x-chervilspur-attempt-id");
            let Some(one) = by_id.get(id) else { continue };
            let Some(told_at) = told.get(&one.gateway) else { continue };
            let is_late = request.arrived < until && one.sent_at > *told_at + DRAIN_TIME;
            if is_late && !is_disturbed(one.gateway, *told_at, request.arrived, applied) {
                return Err(format!(
                    "request {id} reached {} {:?} after gateway {} was told that it leaves",
                    endpoint.id,
                    request.arrived.saturating_duration_since(*told_at),
                    one.gateway,
                ));
            }
        }
    }
    Ok(statements)
}

/// When each gateway first passed on the statement of an endpoint in a time.
fn told_gateways(
    observations: &[Observation],
    endpoint: &str,
    since: Instant,
    until: Instant,
) -> BTreeMap<usize, Instant> {
    let mut told: BTreeMap<usize, Instant> = BTreeMap::new();
    for one in observations.iter().filter(|one| one.leaving_endpoint.as_deref() == Some(endpoint)) {
        if (since..until).contains(&one.received_at) {
            let first = told.entry(one.gateway).or_insert(one.received_at);
            *first = one.received_at.min(*first);
        }
    }
    told
}

/// Whether a gateway was suspended or restarted in a time.
fn is_disturbed(gateway: usize, since: Instant, until: Instant, applied: &[AppliedFault]) -> bool {
    let of_gateway = |fault: &Fault| match fault {
        Fault::Pause(number)
        | Fault::Continue(number)
        | Fault::Kill(number)
        | Fault::Terminate(number) => *number == gateway,
        Fault::KillAll => true,
        _ => false,
    };
    applied.iter().any(|(at, fault)| of_gateway(fault) && (since..=until).contains(at))
}
