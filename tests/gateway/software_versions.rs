//! At which software version a stream goes on that was begun at one of several.

use crate::support::{KEY, configuration, registration, text};
use fakes::{
    Behaviour, Client, ClientResponse, GatewayConfig, GatewayProcess, NetworkPath, PathState,
    PlatformEndpoint, PlatformStore,
};
use serde_json::json;
use std::thread::sleep;
use std::time::{Duration, Instant};

const EVENTS: u32 = 8;
const EVENT_INTERVAL: Duration = Duration::from_millis(60);
/// Streams that clients continue in each test.
const STREAMS: usize = 24;
/// The time after which a daemon has written the streams that it began.
const RECORDING_TIME: Duration = Duration::from_millis(1_200);

/// The time in which a stream is refused that cannot go on; a saturated service would take longer.
const REFUSAL_TIME: Duration = Duration::from_millis(800);

/// A store, two endpoints of each of two software versions, and gateways.
struct Fleet {
    store: PlatformStore,
    endpoints: Vec<PlatformEndpoint>,
    gateways: Vec<GatewayProcess>,
}

/// A stream of which a client has received some events.
struct BegunStream {
    id: String,
    /// The events so far.
    events: String,
}

impl Fleet {
    fn start(versions: &[&str], gateways: usize) -> Fleet {
        fakes::build_programs().unwrap();
        let store = PlatformStore::start().unwrap();
        let mut cfg = configuration(1, &[KEY]);
        cfg["routes"][3]["attempts"] = json!(4);
        store.put("config", "main", cfg);
        let start = |(number, version): (usize, &&str)| {
            let id = format!("i-{}", number + 1);
            let endpoint = PlatformEndpoint::start(&id, EVENTS, EVENT_INTERVAL).unwrap();
            endpoint.set_software_version(Some(version));
            store.put("servers", &endpoint.id, registration(&endpoint, "ready", 1));
            endpoint
        };
        let endpoints: Vec<PlatformEndpoint> = versions.iter().enumerate().map(start).collect();
        let mut fleet = Fleet { store, endpoints, gateways: Vec::new() };
        for number in 1..=gateways {
            let name = format!("front-{number}");
            let cfg = GatewayConfig { name, extra_attempts: 1_000, ..GatewayConfig::default() };
            fleet.gateways.push(GatewayProcess::start(fleet.store.address, &cfg).unwrap());
        }
        for gateway in &fleet.gateways {
            let last = fleet.endpoints.last().unwrap();
            gateway.wait_for_log(&["endpoint_joined", &last.id]).unwrap();
            gateway.wait_for_log(&["daemons_counted"]).unwrap();
        }
        fleet
    }

    /// Begins streams at the first gateway, and reads the first event of each.
    fn begin_streams(&self, name: &str) -> Vec<(BegunStream, Client)> {
        let begin = |number: usize| {
            let id = format!("{name}-{number}");
            let mut client = Client::connect(self.gateways[0].address).unwrap();
            client.send_request("/stream/", &id, KEY, "body").unwrap();
            let first = client.read_first_chunk().unwrap();
            (BegunStream { id, events: String::from_utf8(first).unwrap() }, client)
        };
        (0..STREAMS).map(begin).collect()
    }

    /// Continues a stream at a gateway, as a client does that lost its connection.
    fn continue_stream(&self, stream: &BegunStream, gateway: usize) -> ClientResponse {
        let mut client = Client::connect(self.gateways[gateway].address).unwrap();
        let headers = format!("Last-Event-Id: 1\r\nResumes: {}\r\n", stream.id);
        let id = format!("{}-again", stream.id);
        client.send_request_with("/stream/", &id, KEY, "body", &headers).unwrap();
        client.read_response().unwrap()
    }

    /// Kills all gateways and waits until the last one serves again.
    fn kill_all_gateways(&mut self) {
        let seen: Vec<usize> = self.gateways.iter().map(joined).collect();
        for gateway in &mut self.gateways {
            gateway.restart("KILL").unwrap();
        }
        for (gateway, seen) in self.gateways.iter().zip(seen) {
            gateway.wait_for(|| joined(gateway) > seen, "endpoints joined again").unwrap();
        }
    }

    /// Removes all endpoints of a version, as after a release.
    fn remove_version(&self, version: &str) {
        let leaving = || self.endpoints.iter().filter(|e| e.software_version() == version);
        leaving().for_each(|endpoint| self.store.delete("servers", &endpoint.id));
        for gateway in &self.gateways {
            for endpoint in leaving() {
                gateway.wait_for_log(&["endpoint_left", &endpoint.id]).unwrap();
            }
        }
    }
}

fn joined(gateway: &GatewayProcess) -> usize {
    gateway.log_with(&["endpoint_joined"]).len()
}

/// Whether text holds events of both versions.
fn is_joined(events: &str) -> bool {
    events.contains("of v1") && events.contains("of v2")
}

/// Continues streams and returns how many went on; fails if one was joined from two versions.
fn continue_streams(fleet: &Fleet, streams: &[BegunStream], gateway: usize) -> usize {
    let mut continued = 0;
    let mut joined_streams = Vec::new();
    for stream in streams {
        let response = fleet.continue_stream(stream, gateway);
        if response.message.status() != 200 {
            assert_eq!(response.message.status(), 503, "{}", stream.id);
            assert!(!response.message.header("retry-after").is_empty(), "{}", stream.id);
            continue;
        }
        continued += 1;
        let events = format!("{}{}", stream.events, text(&response));
        if is_joined(&events) {
            joined_streams.push(stream.id.as_str());
        }
    }
    assert!(joined_streams.is_empty(), "joined: {joined_streams:?} of {continued}");
    continued
}

/// The streams without their connections, which are closed.
fn disconnect(streams: Vec<(BegunStream, Client)>) -> Vec<BegunStream> {
    streams.into_iter().map(|(stream, _)| stream).collect()
}

#[test]
fn stream_is_not_resumed_at_another_software_version_within_one_response() {
    let fleet = Fleet::start(&["v1", "v1", "v2", "v2"], 1);
    fleet.endpoints[0].set_behaviour(Behaviour::Truncate);
    fleet.endpoints[2].set_behaviour(Behaviour::Truncate);
    let mut complete = 0;
    for (stream, mut client) in fleet.begin_streams("s") {
        let rest = client.read_rest();
        let events = format!("{}{}", stream.events, text(&rest));
        assert!(!is_joined(&events), "{events}");
        complete += usize::from(rest.is_complete);
    }
    assert!(complete * 2 >= STREAMS, "{complete} of {STREAMS} streams are complete");
}

#[test]
fn stream_is_not_joined_from_two_software_versions_at_another_gateway() {
    let fleet = Fleet::start(&["v1", "v1", "v2", "v2"], 2);
    let streams = disconnect(fleet.begin_streams("s"));
    let continued = continue_streams(&fleet, &streams, 1);
    assert!(continued * 2 >= STREAMS, "{continued} of {STREAMS} streams go on");
}

#[test]
fn stream_is_not_joined_from_two_software_versions_after_all_gateways_were_killed() {
    let mut fleet = Fleet::start(&["v1", "v1", "v2", "v2"], 3);
    let streams = disconnect(fleet.begin_streams("s"));
    sleep(RECORDING_TIME);
    fleet.kill_all_gateways();
    let continued = continue_streams(&fleet, &streams, 2);
    assert!(continued * 2 >= STREAMS, "{continued} of {STREAMS} streams go on");
}

/// The streams began while one version served, so that nothing about them had to be written.
#[test]
fn stream_is_not_joined_from_two_software_versions_after_a_release_and_a_loss_of_all_gateways() {
    let mut fleet = Fleet::start(&["v1", "v1"], 3);
    let streams = disconnect(fleet.begin_streams("s"));
    let released = PlatformEndpoint::start("i-9", EVENTS, EVENT_INTERVAL).unwrap();
    released.set_software_version(Some("v2"));
    fleet.store.put("servers", "i-9", registration(&released, "ready", 1));
    fleet.endpoints.push(released);
    for gateway in &fleet.gateways {
        gateway.wait_for_log(&["endpoint_joined", "i-9"]).unwrap();
    }
    fleet.remove_version("v1");
    fleet.kill_all_gateways();
    assert_eq!(continue_streams(&fleet, &streams, 1), 0, "streams whose version has left");
}

/// A version that has left cannot serve the stream, so the client is told without delay.
#[test]
fn stream_whose_software_version_has_left_is_refused_without_delay() {
    let fleet = Fleet::start(&["v1", "v2"], 1);
    let streams = disconnect(fleet.begin_streams("s"));
    fleet.remove_version("v1");
    for stream in streams.iter().filter(|stream| stream.events.contains("of v1")) {
        let sent = Instant::now();
        let response = fleet.continue_stream(stream, 0);
        assert_eq!(response.message.status(), 503);
        assert!(sent.elapsed() < REFUSAL_TIME, "{:?}", sent.elapsed());
    }
}

/// While one version serves, nothing is unknown, whatever happens to the gateways.
#[test]
fn stream_goes_on_after_all_gateways_were_killed_while_one_software_version_serves() {
    let mut fleet = Fleet::start(&["v1", "v1"], 2);
    let streams = disconnect(fleet.begin_streams("s"));
    fleet.kill_all_gateways();
    assert_eq!(continue_streams(&fleet, &streams, 1), STREAMS);
}

/// An endpoint restarts under its id with another version while a request is on its way to it.
#[test]
fn stream_that_began_after_an_unnoticed_restart_is_not_joined_from_two_software_versions() {
    fakes::build_programs().unwrap();
    let store = PlatformStore::start().unwrap();
    store.put("config", "main", configuration(1, &[KEY]));
    let start = |id: &str| {
        let endpoint = PlatformEndpoint::start(id, EVENTS, EVENT_INTERVAL).unwrap();
        endpoint.set_software_version(Some("v1"));
        endpoint
    };
    let restarting = start("i-1");
    let path = NetworkPath::start(restarting.address).unwrap();
    let view =
        store.start_view([(restarting.address, path.address)].into_iter().collect()).unwrap();
    store.put("servers", "i-1", registration(&restarting, "ready", 5));
    let gateway = GatewayProcess::start(view, &GatewayConfig::default()).unwrap();
    gateway.wait_for_log(&["endpoint_joined", "i-1"]).unwrap();
    let fleet = Fleet { store, endpoints: vec![restarting], gateways: vec![gateway] };
    let restarting = &fleet.endpoints[0];

    // A connection that the gateway uses again, and that holds the next request back.
    let mut client = Client::connect(fleet.gateways[0].address).unwrap();
    client.send_request("/safe/", "warm", KEY, "body").unwrap();
    assert_eq!(client.read_response().unwrap().message.status(), 200);
    path.set(PathState::Hanging).unwrap();
    client.send_request("/stream/", "s-1", KEY, "body").unwrap();
    // The gateway has chosen the endpoint and sent the request.
    sleep(Duration::from_millis(300));
    restarting.set_software_version(Some("v2"));
    let other = start("i-2");
    fleet.store.put("servers", "i-2", registration(&other, "ready", 1));
    fleet.store.put("servers", "i-1", registration(restarting, "ready", 1));
    fleet.gateways[0].wait_for_log(&["endpoint_joined", "i-1", "v2"]).unwrap();
    path.set(PathState::Open).unwrap();
    let first = String::from_utf8(client.read_first_chunk().unwrap()).unwrap();
    drop(client);
    let first_is_of_v2 = first.contains("of v2");
    let stream = BegunStream { id: "s-1".to_owned(), events: first };
    let response = fleet.continue_stream(&stream, 0);
    let events = format!("{}{}", stream.events, text(&response));
    assert!(first_is_of_v2 && !is_joined(&events), "{events}");
}
