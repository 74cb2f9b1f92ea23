//! Streams that a gateway takes up or resumes while it does not learn which software versions serve.

use crate::region::Region;
use crate::support::{KEY, configuration, registration, text};
use fakes::{Behaviour, Client, PathState, PlatformEndpoint};
use rstest::rstest;
use serde_json::json;
use std::thread::sleep;
use std::time::Duration;

const EVENTS: u32 = 8;
const EVENT_INTERVAL: Duration = Duration::from_millis(60);
const STREAMS: usize = 12;
/// Time for which a gateway has been out of step when streams reach it.
const OUT_OF_STEP_TIME: Duration = Duration::from_millis(3_500);
/// The time after which a daemon has written the streams that it began.
const RECORDING_TIME: Duration = Duration::from_millis(1_200);

/// How a gateway gets out of step.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Cause {
    /// The store resets its connections.
    Reset,
    /// The store does not respond to it.
    Hanging,
    /// It stands still.
    Suspended,
    /// It starts anew.
    Restart,
}

struct Site {
    region: Region,
    endpoints: Vec<PlatformEndpoint>,
}

impl Site {
    /// Starts two endpoints of one software version.
    fn start() -> Site {
        let region = Region::start();
        let mut streams = configuration(1, &[KEY]);
        streams["routes"][3]["attempts"] = json!(4);
        region.store.put("config", "main", streams);
        let mut site = Site { region, endpoints: Vec::new() };
        site.add_endpoint("i-1", "v1");
        site.add_endpoint("i-2", "v1");
        site
    }

    fn add_endpoint(&mut self, id: &str, version: &str) {
        let endpoint = PlatformEndpoint::start(id, EVENTS, EVENT_INTERVAL).unwrap();
        endpoint.set_software_version(Some(version));
        self.region.store.put("servers", id, registration(&endpoint, "ready", 1));
        self.endpoints.push(endpoint);
    }

    /// The events that a client gets on a stream.
    fn stream(&self, gateway: usize, id: &str, headers: &str) -> Option<String> {
        let mut client = Client::connect(self.region.gateways[gateway].address).unwrap();
        client.send_request_with("/stream/", id, KEY, "body", headers).unwrap();
        let response = client.read_response().unwrap();
        (response.message.status() == 200).then(|| text(&response))
    }
}

fn is_joined(events: &str) -> bool {
    events.contains("of v1") && events.contains("of v2")
}

/// The streams began elsewhere, some at a version that joined meanwhile.
#[rstest]
fn stream_of_a_new_version_is_not_joined_at_a_gateway_that_is_out_of_step(
    #[values(Cause::Reset, Cause::Hanging, Cause::Suspended, Cause::Restart)] cause: Cause,
    #[values(false, true)] old_version_leaves: bool,
) {
    let mut site = Site::start();
    let (first, second) = (site.region.add("front-1", "a"), site.region.add("front-2", "a"));
    site.region.gateways[second].wait_for_log(&["endpoint_joined", "i-2"]).unwrap();
    match cause {
        Cause::Reset => site.region.paths[second].set(PathState::Reset).unwrap(),
        Cause::Hanging => site.region.paths[second].set(PathState::Hanging).unwrap(),
        Cause::Suspended | Cause::Restart => site.region.gateways[second].signal("STOP").unwrap(),
    }
    site.add_endpoint("i-3", "v2");
    site.region.gateways[first].wait_for_log(&["endpoint_joined", "i-3"]).unwrap();
    let begun: Vec<(String, String)> = (0..STREAMS)
        .map(|number| {
            let id = format!("r{number}");
            let mut client = Client::connect(site.region.gateways[first].address).unwrap();
            client.send_request("/stream/", &id, KEY, "body").unwrap();
            (id, String::from_utf8(client.read_first_chunk().unwrap()).unwrap())
        })
        .collect();
    if old_version_leaves {
        site.region.store.delete("servers", "i-1");
        site.region.store.delete("servers", "i-2");
    }
    sleep(RECORDING_TIME);
    match cause {
        Cause::Reset | Cause::Hanging => {}
        Cause::Suspended => site.region.gateways[second].signal("CONT").unwrap(),
        Cause::Restart => {
            let gateway = &mut site.region.gateways[second];
            gateway.restart("KILL").unwrap();
            let has_started = || gateway.log_with(&["\"event\":\"started\""]).len() > 1;
            gateway.wait_for(has_started, "it has started again").unwrap();
        }
    }
    let mut joined = Vec::new();
    for (id, first_event) in &begun {
        let headers = format!("Last-Event-Id: 1\r\nResumes: {id}\r\n");
        let rest = site.stream(second, &format!("{id}-again"), &headers);
        let events = format!("{first_event}{}", rest.unwrap_or_default());
        if is_joined(&events) {
            joined.push(id);
        }
    }
    assert!(joined.is_empty(), "{} of {STREAMS} joined", joined.len());
}

/// An endpoint starts anew under its id, with another version, while its gateway reaches neither the
/// store nor another gateway. Its streams break off.
#[rstest]
fn stream_is_not_resumed_at_a_version_that_an_isolated_gateway_cannot_know(
    #[values(PathState::Reset, PathState::Hanging)] state: PathState,
) {
    let mut site = Site::start();
    let gateway = site.region.add("front-1", "a");
    site.region.gateways[gateway].wait_for_log(&["endpoint_joined", "i-2"]).unwrap();
    site.region.paths[gateway].set(state).unwrap();
    site.endpoints[0].set_software_version(Some("v2"));
    sleep(OUT_OF_STEP_TIME);
    site.endpoints[0].set_behaviour(Behaviour::Truncate);
    let events = (0..STREAMS).filter_map(|n| site.stream(gateway, &format!("r{n}"), ""));
    let joined = events.filter(|events| is_joined(events)).count();
    assert_eq!(joined, 0, "{joined} of {STREAMS} joined");
}
