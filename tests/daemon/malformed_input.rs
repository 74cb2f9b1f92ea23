//! Malformed responses of engines and unauthenticated requests of peers.

use crate::scripted_engine::{ScriptedEngine, finish_event, token_event};
use crate::support::{
    EventReader, LOCATION, StreamItem, daemon, start_members, status, wait_until,
};
use rstest::rstest;
use serde_json::Value;

#[rstest]
#[case::missing_token(|id: &str, n| vec![
    token_event(id, n, 0, "a "), token_event(id, n, 2, "c "), "data: [DONE]".to_string(),
])]
#[case::no_finish_event_and_no_done(|id: &str, n| vec![token_event(id, n, 0, "a ")])]
#[case::no_finish_event(|id: &str, n| vec![token_event(id, n, 0, "a "), "data: [DONE]".to_string()])]
#[case::finish_event_of_another_attempt(|id: &str, n| vec![token_event(id, n, 0, "a "), finish_event(id, n + 1, 1)])]
#[case::finish_event_of_another_request(|id: &str, n| vec![token_event(id, n, 0, "a "), finish_event("other", n, 1)])]
#[case::finish_event_counts_more_tokens_than_were_sent(|id: &str, n| vec![token_event(id, n, 0, "a "), finish_event(id, n, 3)])]
#[case::invalid_json(|id: &str, n| vec![token_event(id, n, 0, "a "), "data: {".to_string()])]
#[case::unterminated_line(|id: &str, n| vec![token_event(id, n, 0, "a "), "x".repeat(4 << 20)])]
#[case::replacement_character(|id: &str, n| vec![token_event(id, n, 0, "a "), "data: \u{fffd}".to_string()])]
fn stream_ends_with_a_refusal_when_the_response_of_the_engine_is_incomplete(
    #[case] script: fn(&str, u32) -> Vec<String>,
) {
    let engine = ScriptedEngine::start(script);
    let site = start_members(&[daemon("daemon-1", LOCATION, &[])]);
    engine.add_to(&site);
    wait_until(|| status(&site, "daemon-1")["endpoints"].as_array().unwrap().len() == 1);
    let mut events = EventReader::open(site.address("daemon-1"));
    let (text, _, end) = events.read_to_end();
    let StreamItem::Refusal(refusal) = end else { panic!("{text:?} ended with {end:?}") };
    assert_eq!(refusal["verdict"], "may_have_run");
    assert_eq!(text, "a ");
}

#[test]
fn daemon_rejects_forwarded_requests_with_an_invalid_peer_code() {
    let site = start_members(&[daemon("daemon-1", LOCATION, &[])]);
    let url = format!("http://{}/peer/forward", site.address("daemon-1"));
    for code in ["", "00", "zz", &"0".repeat(64), &"0".repeat(63)] {
        let res = attohttpc::post(&url).header("x-peer-code", code).bytes(b"x").send().unwrap();
        assert_eq!(res.status(), 401);
        let body: Value = serde_json::from_str(&res.text().unwrap()).unwrap();
        assert_eq!(body["error"]["verdict"], "not_run");
    }
}
