use crate::support::{KEY, Site, text};
use fakes::{Behaviour, GatewayConfig};
use std::time::Duration;

fn whole(events: u32) -> String {
    (1..=events).map(|event| format!("id: {event}\ndata: piece {event}\n\n")).collect()
}

#[test]
fn can_pass_on_a_stream() {
    let site = Site::start();
    let answer = site.ask("/stream/", "r1");
    assert!(answer.is_complete);
    assert_eq!(text(&answer), whole(5));
}

#[test]
fn passes_events_on_as_they_come() {
    let site = Site::with(&GatewayConfig::default(), 2, Duration::from_millis(1_500));
    let mut client = site.client();
    client.send_request("/stream/", "r1", KEY, "").unwrap();
    assert_eq!(client.read_first_chunk().unwrap(), b"id: 1\ndata: piece 1\n\n");
    assert!(site.gateway.log_with(&["finished", "r1"]).is_empty());
}

#[test]
fn resumes_a_stream_that_broke_off_within_one_answer() {
    let site = Site::start();
    site.runners[0].set_behaviour(Behaviour::Truncate);
    for number in 0..8 {
        let answer = site.ask("/stream/", &format!("r{number}"));
        assert!(answer.is_complete);
        assert_eq!(text(&answer), whole(5));
    }
    let resumed = site.runners[1].received_requests();
    assert!(resumed.iter().any(|a| a.message.header("last-event-id") == "2"));
}

#[test]
fn never_makes_a_cut_stream_look_whole() {
    let site = Site::start();
    site.runners.iter().for_each(|runner| runner.set_behaviour(Behaviour::Truncate));
    for target in ["/fixed/stream/", "/stream/"] {
        let answer = site.ask(target, target);
        assert!(!answer.is_complete, "{target}");
    }
    assert_eq!(site.runs("/fixed/stream/"), 1);
}

#[test]
fn passes_on_the_event_after_which_a_client_continues() {
    let site = Site::start();
    let mut client = site.client();
    client.send_request_with("/stream/", "r1", KEY, "", "Last-Event-Id: 3\r\n").unwrap();
    let answer = client.read_response().unwrap();
    assert_eq!(text(&answer), "id: 4\ndata: piece 4\n\nid: 5\ndata: piece 5\n\n");
}
