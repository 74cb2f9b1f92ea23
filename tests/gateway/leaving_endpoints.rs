//! What reaches an endpoint that states in its responses that it is leaving, while its registry entry
//! says that it is ready.

use crate::support::{KEY, Site, registration};
use fakes::{Behaviour, Client, GatewayConfig, GatewayProcess, PlatformEndpoint};
use rstest::rstest;
use serde_json::json;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::thread::sleep;
use std::time::{Duration, Instant};

/// The time after which no request may be sent to the endpoint any more (`drain_ms`).
const DRAIN_TIME: Duration = Duration::from_secs(3);
/// The time in which a daemon reports what it observed, with some margin.
const NOTICE_FORWARDING_TIME: Duration = Duration::from_secs(6);
/// The time in which a daemon is in touch after a restart (`contact_ms`).
const CONTACT_TIME: Duration = Duration::from_secs(4);
/// Requests that are sent before and after that time.
const REQUESTS: usize = 12;
const REQUEST_INTERVAL: Duration = Duration::from_millis(25);

/// Sends requests to the gateways in turn, and returns how many were answered with 200.
fn send_requests(gateways: &[SocketAddr], target: &str, name: &str) -> usize {
    let mut served = 0;
    for number in 0..REQUESTS {
        let mut client = Client::connect(gateways[number % gateways.len()]).unwrap();
        client.send_request(target, &format!("{name}-{number}"), KEY, "body").unwrap();
        let response = client.read_response();
        served += usize::from(response.is_ok_and(|response| response.message.status() == 200));
        sleep(REQUEST_INTERVAL);
    }
    served
}

/// The number of requests that reached an endpoint after `since`.
fn received_since(endpoint: &PlatformEndpoint, since: Instant) -> usize {
    endpoint.received_requests().iter().filter(|request| request.arrived >= since).count()
}

/// Lets the first endpoint state that it leaves and sends it requests until it has said so.
fn state_leaving(site: &Site, gateways: &[SocketAddr], target: &str) -> Instant {
    site.runners[0].set_leaving(true);
    let stated_at = Instant::now();
    send_requests(gateways, target, "early");
    assert!(received_since(&site.runners[0], stated_at) > 0, "no request was sent to it");
    stated_at
}

fn write_entry(site: &Site, heartbeats: u64, born: u64) {
    let mut entry = registration(&site.runners[0], "ready", heartbeats);
    entry["born"] = json!(born);
    site.store.put("servers", "i-1", entry);
}

#[rstest]
fn endpoint_that_states_that_it_leaves_gets_no_later_requests(
    #[values("/safe/", "/once/", "/stream/", "/fixed/stream/")] target: &str,
    #[values(
        Behaviour::Succeed,
        Behaviour::Fail,
        Behaviour::Reject,
        Behaviour::Truncate,
        Behaviour::WrongRequest,
        Behaviour::Unsigned
    )]
    behaviour: Behaviour,
) {
    let site = Site::start();
    site.runners[0].set_behaviour(behaviour);
    let stated_at = state_leaving(&site, &[site.gateway.address], target);
    sleep((stated_at + DRAIN_TIME).saturating_duration_since(Instant::now()));
    let late_from = Instant::now();
    let served = send_requests(&[site.gateway.address], target, "late");
    let late = received_since(&site.runners[0], late_from);
    assert_eq!(late, 0, "requests reached it more than {DRAIN_TIME:?} after its statement");
    assert_eq!(served, REQUESTS, "requests served by the other endpoint");
}

#[rstest]
#[case::same_heartbeat(1)]
#[case::later_heartbeat(9)]
#[case::heartbeat_of_an_older_copy(0)]
fn ready_entry_does_not_bring_a_leaving_endpoint_back(#[case] heartbeats: u64) {
    let site = Site::start();
    let gateways = [site.gateway.address];
    let stated_at = state_leaving(&site, &gateways, "/safe/");
    site.store.delete("servers", "i-1");
    sleep(Duration::from_millis(300));
    write_entry(&site, heartbeats, 1);
    sleep((stated_at + DRAIN_TIME).saturating_duration_since(Instant::now()));
    let late_from = Instant::now();
    send_requests(&gateways, "/safe/", "late");
    assert_eq!(received_since(&site.runners[0], late_from), 0);
}

#[test]
fn new_incarnation_of_an_endpoint_that_left_gets_requests() {
    let site = Site::start();
    let gateways = [site.gateway.address];
    state_leaving(&site, &gateways, "/safe/");
    site.runners[0].set_leaving(false);
    write_entry(&site, 1, 2);
    sleep(Duration::from_millis(500));
    let started_at = Instant::now();
    send_requests(&gateways, "/safe/", "new");
    assert!(received_since(&site.runners[0], started_at) > 0);
}

/// A site with a daemon in each of two regions, and a second one in the first.
struct Regions {
    site: Site,
    /// The second daemon of the first region, and that of the other.
    others: [GatewayProcess; 2],
    other_data_centres: BTreeMap<String, String>,
}

impl Regions {
    fn start() -> Regions {
        let regions = [("a", "r"), ("b", "s")].map(|(a, b)| (a.to_owned(), b.to_owned()));
        let other_data_centres = BTreeMap::from(regions);
        let terms = GatewayConfig {
            other_data_centres: other_data_centres.clone(),
            ..GatewayConfig::default()
        };
        let site = Site::with(&terms, 5, Duration::from_millis(5));
        let start = |name, data_centre, region| {
            start_gateway(&site, name, data_centre, region, &other_data_centres)
        };
        let others = [start("front-2", "a", "r"), start("front-3", "b", "s")];
        for gateway in others.iter().chain([&site.gateway]) {
            gateway.wait_for_log(&["daemons_counted", "\"count\":3"]).unwrap();
        }
        Regions { site, others, other_data_centres }
    }
}

fn start_gateway(
    site: &Site,
    name: &str,
    data_centre: &str,
    region: &str,
    other_data_centres: &BTreeMap<String, String>,
) -> GatewayProcess {
    let cfg = GatewayConfig {
        name: name.to_owned(),
        data_centre: data_centre.to_owned(),
        region: region.to_owned(),
        other_data_centres: other_data_centres.clone(),
        ..GatewayConfig::default()
    };
    GatewayProcess::start(site.store.address, &cfg).unwrap()
}

#[test]
fn all_daemons_learn_that_an_endpoint_leaves() {
    let Regions { site, others, other_data_centres } = Regions::start();
    let stated_at = state_leaving(&site, &[site.gateway.address], "/safe/");
    let started_later = start_gateway(&site, "front-4", "b", "s", &other_data_centres);
    sleep((stated_at + DRAIN_TIME).saturating_duration_since(Instant::now()));
    let late_from = Instant::now();
    let addresses = [others[0].address, others[1].address, started_later.address];
    send_requests(&addresses, "/safe/", "late");
    assert_eq!(received_since(&site.runners[0], late_from), 0);
}

/// The only daemon of a region has nobody to get old notices from but the reader of another region.
#[test]
fn daemon_that_restarts_alone_in_its_region_learns_that_an_endpoint_leaves() {
    let Regions { site, mut others, .. } = Regions::start();
    state_leaving(&site, &[site.gateway.address], "/safe/");
    sleep(NOTICE_FORWARDING_TIME);
    others[1].restart("KILL").unwrap();
    sleep(CONTACT_TIME);
    let late_from = Instant::now();
    send_requests(&[others[1].address], "/safe/", "late");
    assert_eq!(received_since(&site.runners[0], late_from), 0);
}
