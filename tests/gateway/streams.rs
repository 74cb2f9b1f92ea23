use crate::support::{KEY, Site, configuration, text};
use fakes::{Behaviour, Client, ClientResponse, GatewayConfig, ReceivedRequest};
use rstest::rstest;
use serde_json::json;
use std::thread;
use std::time::Duration;

const PROMPT: &str =
    "X-Chervilspur-Token-Counts: 3000,80\r\nX-Chervilspur-Prompt-Prefix: a1:3000\r\n";

/// The body of a stream with this number of events.
pub fn complete_stream(events: u32) -> String {
    (1..=events).map(|event| format!("id: {event}\ndata: piece {event}\n\n")).collect()
}

#[test]
fn forwards_a_stream() {
    let site = Site::start();
    let response = site.send_request("/stream/", "r1");
    assert!(response.is_complete);
    assert_eq!(text(&response), complete_stream(5));
}

#[test]
fn forwards_events_as_they_arrive() {
    let site = Site::with(&GatewayConfig::default(), 2, Duration::from_millis(1_500));
    let mut client = site.client();
    client.send_request("/stream/", "r1", KEY, "").unwrap();
    assert_eq!(client.read_first_chunk().unwrap(), b"id: 1\ndata: piece 1\n\n");
    assert!(site.gateway.log_with(&["finished", "r1"]).is_empty());
}

#[test]
fn resumes_an_interrupted_stream_within_one_response() {
    let site = Site::start();
    site.runners[0].set_behaviour(Behaviour::Truncate);
    send_until_resumed(&site, |response| {
        assert!(response.is_complete);
        assert_eq!(text(response), complete_stream(5));
    });
}

/// The number of streams that are always sent.
const MIN_STREAMS: usize = 8;
/// Streams are placed at random. The probability that none of 64 starts at the first endpoint is
/// negligible.
const MAX_STREAMS: usize = 64;

/// Sends streams, of which those at the first endpoint break off, and checks each response: at least
/// `MIN_STREAMS`, and until one was resumed after the second event.
pub fn send_until_resumed(site: &Site, check: impl Fn(&ClientResponse)) {
    let is_resumed = |a: &ReceivedRequest| a.message.header("last-event-id") == "2";
    for sent in 1..=MAX_STREAMS {
        check(&site.send_request("/stream/", &format!("r{sent}")));
        let has_resumed = site.runners[1].received_requests().iter().any(is_resumed);
        if sent >= MIN_STREAMS && has_resumed {
            return;
        }
    }
    panic!("none of {MAX_STREAMS} streams was resumed");
}

#[test]
fn resumes_a_stream_at_a_busy_engine_after_the_first_event_was_due() {
    // The stream breaks off after two seconds, which leaves time for the steps before that.
    let site = Site::with(&GatewayConfig::default(), 3, Duration::from_millis(1_000));
    let mut cfg = configuration(2, &[KEY]);
    cfg["services"][0]["engine"] = json!({ "slots": 8, "cache_capacity_tokens": 100_000 });
    cfg["routes"][3]["objective_ms"] = json!(100);
    site.store.put("config", "main", cfg);
    site.gateway.wait_for_log(&["configuration_in_force", "\"version\":2"]).unwrap();
    site.runners[0].set_behaviour(Behaviour::Truncate);
    let mut interrupted = start_stream_at(&site, 0);

    site.runners[1].set_behaviour(Behaviour::Hang);
    let mut waiting = site.client();
    waiting.send_request_with("/safe/", "waiting", KEY, "", PROMPT).unwrap();
    while !has_received(&site, 1, "waiting") {
        thread::sleep(Duration::from_millis(5));
    }
    site.runners[1].set_behaviour(Behaviour::Succeed);

    let response = interrupted.read_response().unwrap();
    assert!(response.is_complete, "{:?}", site.gateway.log_with(&["finished"]));
    assert_eq!(text(&response), complete_stream(3));
}

fn has_received(site: &Site, runner: usize, id: &str) -> bool {
    let requests = site.runners[runner].received_requests();
    requests.iter().any(|r| r.message.header("x-chervilspur-attempt-id") == id)
}

/// Starts streams until one is placed at the given endpoint.
fn start_stream_at(site: &Site, runner: usize) -> Client {
    for number in 0..20 {
        let id = format!("stream-{number}");
        let mut client = site.client();
        client.send_request_with("/stream/", &id, KEY, "", PROMPT).unwrap();
        while !(0..2).any(|runner| has_received(site, runner, &id)) {
            thread::sleep(Duration::from_millis(5));
        }
        if has_received(site, runner, &id) {
            return client;
        }
    }
    panic!("no stream was placed at endpoint {runner}");
}

#[test]
fn interrupted_stream_does_not_end_normally() {
    let site = Site::start();
    site.runners.iter().for_each(|runner| runner.set_behaviour(Behaviour::Truncate));
    for target in ["/fixed/stream/", "/stream/"] {
        let response = site.send_request(target, target);
        assert!(!response.is_complete, "{target}");
    }
    assert_eq!(site.runs("/fixed/stream/"), 1);
}

#[rstest]
#[case("/fixed/stream/")]
#[case("/stream/")]
fn response_that_is_not_an_event_stream_is_forwarded_whole(#[case] target: &str) {
    let site = Site::start();
    site.runners.iter().for_each(|runner| runner.set_behaviour(Behaviour::Json));
    let response = site.send_request(target, "r1");
    assert!(response.is_complete);
    assert_eq!(text(&response), "{\"request\":\"r1\"}");
    assert_eq!(site.runs("r1"), 1);
}

#[test]
fn forwards_the_last_event_id_of_a_client() {
    let site = Site::start();
    let mut client = site.client();
    client.send_request_with("/stream/", "r1", KEY, "", "Last-Event-Id: 3\r\n").unwrap();
    let response = client.read_response().unwrap();
    assert_eq!(text(&response), "id: 4\ndata: piece 4\n\nid: 5\ndata: piece 5\n\n");
}
