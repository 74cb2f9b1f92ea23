//! Requests at a gateway that reaches no endpoint, while another one reaches them.

use crate::support::{KEY, configuration, registration};
use fakes::{
    Client, GatewayConfig, GatewayProcess, NetworkPath, PathState, PlatformEndpoint, PlatformStore,
    Room,
};
use rstest::rstest;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::thread::{scope, sleep};
use std::time::{Duration, Instant};

/// The time after which the requests of a partitioned gateway must be served (`contact_ms`).
const CONTACT_TIME: Duration = Duration::from_secs(4);
/// The time for which requests are counted after that.
const COUNTED_TIME: Duration = Duration::from_secs(2);
/// The time after the end of a cut in which a gateway uses the endpoints again.
const RETURN_TIME: Duration = Duration::from_secs(2);
const REQUEST_INTERVAL: Duration = Duration::from_millis(30);
/// Clients that send requests to a gateway one after the other.
const CLIENTS: usize = 4;

/// Two gateways in two regions; the first reaches the endpoints by paths of its own.
struct Fleet {
    endpoints: Vec<PlatformEndpoint>,
    paths: Vec<NetworkPath>,
    gateways: [GatewayProcess; 2],
    _store: PlatformStore,
}

impl Fleet {
    fn start() -> Fleet {
        fakes::build_programs().unwrap();
        let store = PlatformStore::start().unwrap();
        store.put("config", "main", configuration(1, &[KEY]));
        let start = |id: &str| PlatformEndpoint::start(id, 4, Duration::from_millis(5)).unwrap();
        let endpoints: Vec<PlatformEndpoint> = ["i-1", "i-2", "i-3"].map(start).into();
        for endpoint in &endpoints {
            store.put("servers", &endpoint.id, registration(endpoint, "ready", 1));
        }
        let path = |endpoint: &PlatformEndpoint| NetworkPath::start(endpoint.address).unwrap();
        let paths: Vec<NetworkPath> = endpoints.iter().map(path).collect();
        let addresses = endpoints.iter().map(|endpoint| endpoint.address);
        let replaced = addresses.zip(paths.iter().map(|path| path.address)).collect();
        let view = store.start_view(replaced).unwrap();
        let regions = [("a", "r"), ("b", "s")].map(|(a, b)| (a.to_owned(), b.to_owned()));
        let start = |name: &str, number: usize, address: SocketAddr| {
            let (data_centre, region) = regions[number].clone();
            let other_data_centres = BTreeMap::from(regions.clone());
            let name = name.to_owned();
            let cfg = GatewayConfig {
                name,
                data_centre,
                region,
                other_data_centres,
                ..GatewayConfig::default()
            };
            GatewayProcess::start(address, &cfg).unwrap()
        };
        let gateways = [start("front-1", 0, view), start("front-2", 1, store.address)];
        for gateway in &gateways {
            gateway.wait_for_log(&["endpoint_joined", "i-3"]).unwrap();
            gateway.wait_for_log(&["daemons_counted", "\"count\":2"]).unwrap();
        }
        Fleet { endpoints, paths, gateways, _store: store }
    }

    fn set_paths(&self, state: PathState) {
        self.paths.iter().for_each(|path| path.set(state).unwrap());
    }

    /// Sends requests to a gateway for a while; returns how many were served, and how many sent.
    fn send_requests(&self, gateway: usize, target: &str, time: Duration) -> (usize, usize) {
        let address = self.gateways[gateway].address;
        let send = |client: usize| {
            let started = Instant::now();
            let (mut served, mut sent) = (0, 0);
            while started.elapsed() < time {
                let id = format!("g{gateway}-c{client}-{sent}-{:?}", started);
                served += usize::from(is_served(address, target, &id));
                sent += 1;
                sleep(REQUEST_INTERVAL);
            }
            (served, sent)
        };
        let send = &send;
        scope(|scope| {
            let clients: Vec<_> =
                (0..CLIENTS).map(|client| scope.spawn(move || send(client))).collect();
            let results = clients.into_iter().map(|client| client.join().unwrap());
            results.fold((0, 0), |(a, b), (served, sent)| (a + served, b + sent))
        })
    }
}

fn is_served(gateway: SocketAddr, target: &str, id: &str) -> bool {
    let response = Client::connect(gateway).and_then(|mut client| {
        client.send_request(target, id, KEY, "body")?;
        client.read_response()
    });
    response.is_ok_and(|response| response.message.status() == 200 && response.is_complete)
}

#[rstest]
fn requests_at_a_gateway_that_reaches_no_endpoint_are_served(
    #[values(PathState::Reset, PathState::RefusesNew, PathState::Hanging)] state: PathState,
    #[values("/safe/", "/once/", "/stream/")] target: &str,
) {
    let fleet = Fleet::start();
    fleet.send_requests(0, target, Duration::from_secs(1));
    fleet.set_paths(state);
    fleet.send_requests(0, target, CONTACT_TIME);
    let (served, sent) = fleet.send_requests(0, target, COUNTED_TIME);
    let (others_served, others_sent) = fleet.send_requests(1, target, COUNTED_TIME);
    assert!(
        served * others_sent * 3 >= others_served * sent * 2,
        "{served} of {sent} served, at the other {others_served} of {others_sent}"
    );
}

#[test]
fn gateway_whose_connections_hang_notices_the_cut_within_the_contact_time() {
    let fleet = Fleet::start();
    fleet.send_requests(0, "/safe/", Duration::from_secs(1));
    fleet.set_paths(PathState::Hanging);
    let cut_at = Instant::now();
    let noticed = || !fleet.gateways[0].log_with(&["endpoints_reached", "false"]).is_empty();
    scope(|scope| {
        scope.spawn(|| fleet.send_requests(0, "/safe/", CONTACT_TIME));
        while !noticed() && cut_at.elapsed() < CONTACT_TIME {
            sleep(Duration::from_millis(20));
        }
        assert!(noticed(), "not noticed within {CONTACT_TIME:?}");
    });
}

/// The status of a request on a new connection.
fn status(address: SocketAddr, id: &str, key: &str, headers: &str) -> u16 {
    let mut client = Client::connect(address).unwrap();
    client.send_request_with("/safe/", id, key, "body", headers).unwrap();
    client.read_response().unwrap().message.status()
}

#[test]
fn gateway_sends_requests_to_endpoints_itself_after_the_cut() {
    let fleet = Fleet::start();
    fleet.set_paths(PathState::Reset);
    fleet.send_requests(0, "/safe/", CONTACT_TIME);
    assert!(!fleet.gateways[0].log_with(&["relayed"]).is_empty());
    fleet.set_paths(PathState::Open);
    sleep(RETURN_TIME);
    let before = fleet.gateways[0].log_with(&["\"relayed\""]).len();
    let (served, sent) = fleet.send_requests(0, "/safe/", Duration::from_secs(1));
    assert_eq!(served, sent);
    assert_eq!(fleet.gateways[0].log_with(&["\"relayed\""]).len(), before);
}

/// Requests that are passed on run once each, and none is passed on twice.
#[test]
fn request_that_is_passed_on_runs_once() {
    let fleet = Fleet::start();
    fleet.set_paths(PathState::Reset);
    fleet.send_requests(0, "/once/", CONTACT_TIME);
    let mut runs: BTreeMap<String, usize> = BTreeMap::new();
    for request in fleet.endpoints.iter().flat_map(PlatformEndpoint::received_requests) {
        let id = request.message.header("x-chervilspur-attempt-id").to_owned();
        assert_eq!(request.message.header("x-chervilspur-tenant"), "north", "{id}");
        assert_eq!(request.message.header("api-key"), "", "{id}");
        assert_eq!(request.message.header("chervilspur-relayed"), "", "{id}");
        *runs.entry(id).or_default() += 1;
    }
    let repeated: Vec<&String> =
        runs.iter().filter(|(_, runs)| **runs > 1).map(|(id, _)| id).collect();
    assert!(runs.len() > 20 && repeated.is_empty(), "{} requests, {repeated:?}", runs.len());
    assert!(fleet.gateways[1].log_with(&["\"relayed\""]).is_empty());
}

/// The gateway that took it has no clients of its own.
#[test]
fn request_that_is_passed_on_ends_before_the_gateway_that_took_it_exits() {
    let fleet = Fleet::start();
    fleet.set_paths(PathState::Reset);
    fleet.send_requests(0, "/once/", CONTACT_TIME);
    let work = Duration::from_millis(3_500);
    for endpoint in &fleet.endpoints {
        let room = Room { slots: 10, work, max_rejections: None, restart_after: Duration::ZERO };
        endpoint.set_room(Some(room));
    }
    let address = fleet.gateways[0].address;
    let is_served = scope(|scope| {
        let sent = scope.spawn(move || is_served(address, "/once/", "r1"));
        sleep(Duration::from_millis(300));
        fleet.gateways[1].signal("TERM").unwrap();
        sent.join().unwrap()
    });
    assert!(is_served, "{}", fleet.gateways[0].log_with(&["\"r1\""]).join("\n"));
}

#[rstest]
#[case::without_a_key("", 401)]
#[case::with_an_unknown_key("stolen", 401)]
#[case::with_a_key(KEY, 200)]
fn port_for_peers_gives_no_right_that_a_client_does_not_have(
    #[case] key: &str,
    #[case] expected: u16,
) {
    let fleet = Fleet::start();
    let gateway = &fleet.gateways[1];
    assert_eq!(status(gateway.peers, "r1", key, "Chervilspur-Relayed: 1\r\n"), expected);
    assert_eq!(status(gateway.address, "r2", key, ""), expected);
}

#[test]
fn client_cannot_keep_its_request_from_being_passed_on() {
    let fleet = Fleet::start();
    fleet.set_paths(PathState::Reset);
    fleet.send_requests(0, "/safe/", CONTACT_TIME);
    let address = fleet.gateways[0].address;
    assert_eq!(status(address, "r1", KEY, "Chervilspur-Relayed: 1\r\n"), 200);
}
