use crate::support::{KEY, Site, text};
use fakes::{Behaviour, GatewayConfig};
use std::time::Duration;

fn complete_stream(events: u32) -> String {
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
    for number in 0..8 {
        let response = site.send_request("/stream/", &format!("r{number}"));
        assert!(response.is_complete);
        assert_eq!(text(&response), complete_stream(5));
    }
    let resumed = site.runners[1].received_requests();
    assert!(resumed.iter().any(|a| a.message.header("last-event-id") == "2"));
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

#[test]
fn forwards_the_last_event_id_of_a_client() {
    let site = Site::start();
    let mut client = site.client();
    client.send_request_with("/stream/", "r1", KEY, "", "Last-Event-Id: 3\r\n").unwrap();
    let response = client.read_response().unwrap();
    assert_eq!(text(&response), "id: 4\ndata: piece 4\n\nid: 5\ndata: piece 5\n\n");
}
