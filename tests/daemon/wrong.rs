//! Engines and daemons that send what they should not.

use crate::script::{ScriptedEngine, end, event};
use crate::support::{Events, Next, PLACE, daemon, start, status, wait_until};
use rstest::rstest;
use serde_json::Value;

#[rstest]
#[case::a_token_is_missing(|id: &str, n| vec![
    event(id, n, 0, "a "), event(id, n, 2, "c "), "data: [DONE]".to_string(),
])]
#[case::no_end(|id: &str, n| vec![event(id, n, 0, "a ")])]
#[case::no_last_event(|id: &str, n| vec![event(id, n, 0, "a "), "data: [DONE]".to_string()])]
#[case::the_end_of_another_attempt(|id: &str, n| vec![event(id, n, 0, "a "), end(id, n + 1, 1)])]
#[case::the_end_of_another_request(|id: &str, n| vec![event(id, n, 0, "a "), end("other", n, 1)])]
#[case::an_end_after_more_tokens(|id: &str, n| vec![event(id, n, 0, "a "), end(id, n, 3)])]
#[case::no_json(|id: &str, n| vec![event(id, n, 0, "a "), "data: {".to_string()])]
#[case::a_line_without_end(|id: &str, n| vec![event(id, n, 0, "a "), "x".repeat(4 << 20)])]
#[case::no_text(|id: &str, n| vec![event(id, n, 0, "a "), "data: \u{fffd}".to_string()])]
fn errors_when_an_engine_does_not_send_the_whole_answer(
    #[case] script: fn(&str, u32) -> Vec<String>,
) {
    let engine = ScriptedEngine::start(script);
    let site = start(&[daemon("daemon-1", PLACE, &[])]);
    engine.join(&site);
    wait_until(|| status(&site, "daemon-1")["endpoints"].as_array().unwrap().len() == 1);
    let mut events = Events::open(site.address("daemon-1"));
    let (text, _, end) = events.rest();
    let Next::Refusal(refusal) = end else { panic!("{text:?} ended with {end:?}") };
    assert_eq!(refusal["verdict"], "may_have_run");
    assert_eq!(text, "a ");
}

#[test]
fn errors_when_a_daemon_has_another_key() {
    let site = start(&[daemon("daemon-1", PLACE, &[])]);
    let url = format!("http://{}/peer/forward", site.address("daemon-1"));
    for code in ["", "00", "zz", &"0".repeat(64), &"0".repeat(63)] {
        let res = attohttpc::post(&url).header("x-peer-code", code).bytes(b"x").send().unwrap();
        assert_eq!(res.status(), 401);
        let body: Value = serde_json::from_str(&res.text().unwrap()).unwrap();
        assert_eq!(body["error"]["verdict"], "not_run");
    }
}
