//! Configurations with thousands of routes, where instances send to each other over narrow links.

mod platform_objects;

use fakes::{
    Client, GatewayConfig, GatewayProcess, NarrowNetwork, PlatformEndpoint, PlatformStore,
};
use platform_objects::{KEY, configuration, registration, route};
use serde_json::json;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::thread::sleep;
use std::time::{Duration, Instant};

/// The link of a small instance: 10 Mbit/s.
const SMALL_LINK_BYTES_PER_SECOND: u64 = 1_250_000;
/// Followers of the store reader, as many as in a data centre of the grown deployments.
const FOLLOWERS: usize = 12;
/// The time within which a confirmed configuration must be in force (`configuration_ms`).
const CONFIGURATION_BOUND: Duration = Duration::from_secs(4);

/// Held by the test that runs: each takes 13 processes, and time limits are checked.
static RUNNING: Mutex<()> = Mutex::new(());

/// A data centre whose daemons reach each other over narrow links.
struct Fleet {
    gateways: Vec<GatewayProcess>,
    store: PlatformStore,
    _endpoint: PlatformEndpoint,
    _running: MutexGuard<'static, ()>,
}

impl Fleet {
    /// Starts daemons that send `bytes_per_second` to all others together; the first reads the store.
    fn start(bytes_per_second: u64) -> Fleet {
        Fleet::with_endpoints(bytes_per_second, 0)
    }

    /// The same with entries of further endpoints in the registry.
    fn with_endpoints(bytes_per_second: u64, further: usize) -> Fleet {
        let running = RUNNING.lock().unwrap_or_else(PoisonError::into_inner);
        fakes::build_programs().unwrap();
        let store = PlatformStore::start().unwrap();
        store.put("config", "main", configuration(1, &[KEY]));
        let endpoint = PlatformEndpoint::start("i-1", 1, Duration::ZERO).unwrap();
        store.put("servers", &endpoint.id, registration(&endpoint, "ready", 1));
        for number in 0..further {
            store.put("servers", &endpoint_id(number), entry(number, "ready"));
        }
        let mut network = NarrowNetwork::new(bytes_per_second);
        let mut gateways: Vec<GatewayProcess> = Vec::new();
        for number in 0..=FOLLOWERS {
            let name = format!("front-{number}");
            let cfg = GatewayConfig { name, ..GatewayConfig::default() };
            let gateway = network.start_gateway(&store, &cfg).unwrap();
            let event = if number == 0 { "reader_claimed" } else { "peer_followed" };
            gateway.wait_for_log(&[event]).unwrap();
            gateways.push(gateway);
        }
        for gateway in &gateways {
            gateway.wait_for_log(&["configuration_in_force", "\"version\":1"]).unwrap();
        }
        Fleet { gateways, store, _endpoint: endpoint, _running: running }
    }

    /// Adds `added` routes to the first configuration.
    fn add_routes(&self, version: u64, added: usize) {
        let mut configuration = configuration(version, &[KEY]);
        let routes = configuration["routes"].as_array_mut().unwrap();
        routes.extend((0..added).map(added_route));
        self.store.put("config", "main", configuration);
    }

    /// The followers that refuse a request on the last of `added` routes as unknown.
    fn followers_without(&self, added: usize) -> Vec<usize> {
        let target = format!("/{}/", path_of(added - 1));
        let lacks = |number: &usize| {
            status(&self.gateways[*number], &target, &format!("n{added}-{number}")) == 404
        };
        (1..=FOLLOWERS).filter(lacks).collect()
    }
}

/// A path that shares nothing with that of another route, as generated names do.
fn path_of(number: usize) -> String {
    let hash = (number as u64 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    format!("{hash:016x}")
}

fn added_route(number: usize) -> serde_json::Value {
    let mut added = route(&format!("r-{}", &path_of(number)[..8]), "safe", 2, false);
    added["path_prefix"] = json!(format!("/{}/", path_of(number)));
    added
}

fn status(gateway: &GatewayProcess, target: &str, id: &str) -> u16 {
    let mut client = Client::connect(gateway.address).unwrap();
    client.send_request(target, id, KEY, "body").unwrap();
    client.read_response().unwrap().message.status()
}

/// The second change is confirmed while the first one is on its way, as when an operator's tool adds
/// routes one file after the other.
#[test]
fn added_routes_reach_all_followers_over_a_narrow_link_within_the_bound() {
    let fleet = Fleet::start(SMALL_LINK_BYTES_PER_SECOND);
    let (first, second) = (1_400, 1_401);
    fleet.add_routes(2, first);
    let confirmed = Instant::now();
    sleep(Duration::from_secs(1));
    fleet.add_routes(3, second);
    sleep(CONFIGURATION_BOUND.saturating_sub(confirmed.elapsed()));
    assert_eq!(fleet.followers_without(first), [0; 0], "without the routes of version 2");
    sleep(Duration::from_secs(1));
    assert_eq!(fleet.followers_without(second), [0; 0], "without the route of version 3");
}

/// A link so full that a large configuration takes longer than the time for which keys stay valid
/// without a confirmation.
const CONGESTED_LINK_BYTES_PER_SECOND: u64 = 100_000;
/// Longer than that time, which is five seconds.
const CONGESTED_TIME: Duration = Duration::from_secs(9);

/// Time in which each follower gets a response of the reader over that link.
const HEARD_TIME: Duration = Duration::from_secs(2);

/// The keys are the same in both versions, and the reader is in touch with the store all the while.
#[test]
fn requests_with_keys_are_served_while_a_large_configuration_is_on_its_way() {
    let fleet = Fleet::start(CONGESTED_LINK_BYTES_PER_SECOND);
    fleet.add_routes(2, 4_200);
    let confirmed = Instant::now();
    let (mut refused, mut sent) = (Vec::new(), 0);
    while confirmed.elapsed() < CONGESTED_TIME {
        for gateway in &fleet.gateways {
            sent += 1;
            let id = format!("k{sent}-");
            if status(gateway, "/safe/", &id) != 200 {
                refused.push((id, gateway));
            }
        }
        sleep(Duration::from_millis(50));
    }
    // Gateways write their lines in batches.
    sleep(Duration::from_millis(500));
    let lines: Vec<String> =
        refused.iter().flat_map(|(id, gateway)| gateway.log_with(&[id])).collect();
    assert!(refused.is_empty(), "{} of {sent} requests:\n{}", refused.len(), lines.join("\n"));
}

/// The followers know that there is a newer version, and not yet what is in it.
#[test]
fn request_on_an_added_route_is_not_denied_while_the_configuration_is_on_its_way() {
    let fleet = Fleet::start(CONGESTED_LINK_BYTES_PER_SECOND);
    let added = 4_200;
    fleet.add_routes(2, added);
    // The reader has it, and each follower has heard of it since.
    fleet.gateways[0].wait_for_log(&["configuration_in_force", "\"version\":2"]).unwrap();
    sleep(HEARD_TIME);
    let target = format!("/{}/", path_of(added - 1));
    let statuses: Vec<u16> = (0..=FOLLOWERS)
        .map(|number| status(&fleet.gateways[number], &target, &format!("d{number}")))
        .collect();
    assert!(statuses.iter().all(|status| [200, 503].contains(status)), "{statuses:?}");
    assert!(statuses.contains(&503), "no follower was behind: {statuses:?}");
}

/// It gets the configuration in many pieces.
#[test]
fn daemon_that_starts_gets_a_configuration_with_thousands_of_routes_from_its_reader() {
    let mut fleet = Fleet::start(SMALL_LINK_BYTES_PER_SECOND);
    let added = 4_200;
    fleet.add_routes(2, added);
    for gateway in &fleet.gateways {
        gateway.wait_for_log(&["configuration_in_force", "\"version\":2"]).unwrap();
    }
    fleet.gateways[FOLLOWERS].restart("KILL").unwrap();
    let restarted = Instant::now();
    let is_served = || {
        let target = format!("/{}/", path_of(added - 1));
        Client::connect(fleet.gateways[FOLLOWERS].address)
            .and_then(|mut client| {
                client.send_request(&target, "s", KEY, "body")?;
                client.read_response()
            })
            .is_ok_and(|response| response.message.status() == 200)
    };
    fleet.gateways[FOLLOWERS].wait_for(is_served, "the restarted daemon serves").unwrap();
    let elapsed = restarted.elapsed();
    assert!(elapsed < CONFIGURATION_BOUND, "serves after {elapsed:?}");
    let replaced = fleet.gateways[0].log_with(&["reader_replaced"]);
    assert!(replaced.is_empty(), "the reader was replaced: {replaced:?}");
}

/// What the traffic of clients leaves of a link to followers.
const BUSY_LINK_BYTES_PER_SECOND: u64 = 50_000;
/// As many endpoints as at the target size.
const ENDPOINTS: usize = 930;
/// The time after which a departure must be known to all (`drain_ms`).
const DRAIN_BOUND: Duration = Duration::from_secs(4);

/// All followers know the registry, and its source is another one from now on.
#[test]
fn departure_reaches_all_followers_of_a_new_reader_over_a_narrow_link_within_the_bound() {
    let fleet = Fleet::with_endpoints(BUSY_LINK_BYTES_PER_SECOND, ENDPOINTS);
    let left = endpoint_id(0);
    for gateway in &fleet.gateways {
        gateway.wait_for_log(&["registry_changed"]).unwrap();
    }
    fleet.gateways[0].signal("KILL").unwrap();
    fleet.store.put("servers", &left, entry(0, "draining"));
    sleep(DRAIN_BOUND);
    let lacks = |gateway: &&GatewayProcess| gateway.log_with(&["endpoint_left", &left]).is_empty();
    let late: Vec<&GatewayProcess> = fleet.gateways[1..].iter().filter(lacks).collect();
    let reasons = late.iter().flat_map(|gateway| gateway.log_with(&["peer_lost"]));
    let reasons: Vec<String> = reasons.collect();
    assert!(late.is_empty(), "{} of {FOLLOWERS}:\n{}", late.len(), reasons.join("\n"));
}

/// The copies of the registry for all of them take longer than a daemon waits for one.
#[test]
fn daemons_that_start_together_do_not_replace_a_reader_that_sends_them_copies() {
    let mut fleet = Fleet::with_endpoints(BUSY_LINK_BYTES_PER_SECOND, ENDPOINTS);
    for follower in &mut fleet.gateways[1..] {
        follower.restart("KILL").unwrap();
    }
    for follower in &fleet.gateways[1..] {
        let is_started = || follower.log_with(&["registry_changed"]).len() == 2;
        follower.wait_for(is_started, "the restarted daemon has the registry").unwrap();
    }
    let has_claimed = |gateway: &&GatewayProcess| !gateway.log_with(&["reader_claimed"]).is_empty();
    let claimers = fleet.gateways[1..].iter().filter(has_claimed);
    let logs: Vec<String> = claimers.map(|gateway| gateway.log().join("\n")).collect();
    assert!(logs.is_empty(), "{} of {FOLLOWERS}:\n{}", logs.len(), logs.join("\n\n"));
}

fn endpoint_id(number: usize) -> String {
    format!("i-{}", &path_of(number)[..10])
}

fn entry(number: usize, state: &str) -> serde_json::Value {
    json!({
        "service": "pool", "address": format!("127.0.0.1:{}", 10_000 + number), "zone": "a",
        "version": "v1", "slots": 8, "state": state, "cold_remaining_ms": 0, "sequence": 1, "born": 1,
    })
}
