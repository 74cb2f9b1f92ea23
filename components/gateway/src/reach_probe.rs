use crate::adapter::Adapter;
use crate::clock::now;
use crate::connection::Connection;
use crate::gateway::Gateway;
use decision::Millis;
use rand::RngExt;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::sleep;

const PROBE_INTERVAL: Duration = Duration::from_millis(250);
/// Connect timeout: several round trips between regions.
const CONNECT_TIMEOUT: Millis = Millis(500);
/// Endpoints of a service to which connections are opened at a time; one while none is reached.
const MAX_PROBES: usize = 3;

/// An endpoint to which a connection is opened to learn whether it can be reached.
struct Probe {
    service: String,
    endpoint: String,
    address: SocketAddr,
}

/// Opens connections to endpoints while it is in doubt whether this daemon reaches any. Never
/// returns.
pub(crate) async fn probe_endpoints<A: Adapter>(gateway: Rc<Gateway<A>>) {
    loop {
        sleep(PROBE_INTERVAL).await;
        if is_in_doubt(&gateway, now()) {
            for probe in choose_probes(&gateway, now()) {
                spawn_local(run_probe(gateway.clone(), probe));
            }
        }
        update_state(&gateway);
    }
}

fn is_in_doubt<A: Adapter>(gateway: &Gateway<A>, now: Millis) -> bool {
    let reachability = gateway.reachability.borrow();
    reachability.is_doubtful()
        || reachability.is_silent(gateway.loads.borrow().oldest_waiting(), now)
}

fn choose_probes<A: Adapter>(gateway: &Gateway<A>, now: Millis) -> Vec<Probe> {
    let directory = gateway.directory();
    let reachability = gateway.reachability.borrow();
    let limit = if gateway.is_cut_off() { 1 } else { MAX_PROBES };
    let mut probes = Vec::new();
    for (service, endpoints) in directory.usable_by_service() {
        let mut unproven = reachability.unproven(service, &endpoints, now);
        for _ in 0..limit.min(unproven.len()) {
            let chosen = gateway.rng.borrow_mut().random_range(0..unproven.len());
            let endpoint = unproven.swap_remove(chosen);
            let address = directory.get(endpoint).and_then(|r| r.address.parse().ok());
            probes.extend(address.map(|address| Probe {
                service: service.to_owned(),
                endpoint: endpoint.to_owned(),
                address,
            }));
        }
    }
    probes
}

async fn run_probe<A: Adapter>(gateway: Rc<Gateway<A>>, probe: Probe) {
    gateway.metrics.connections_opened.inc();
    let opened = Connection::open(probe.address, CONNECT_TIMEOUT).await;
    gateway.record_connection(&probe.service, &probe.endpoint, opened.is_ok(), now());
}

/// Logs when this daemon no longer reaches endpoints, and when it does again.
fn update_state<A: Adapter>(gateway: &Gateway<A>) {
    let is_cut_off = gateway.is_cut_off();
    if gateway.was_cut_off.replace(is_cut_off) != is_cut_off {
        tracing::warn!(event = "endpoints_reached", reached = !is_cut_off);
    }
}
