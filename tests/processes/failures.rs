//! Failures of single processes while requests flow.

use crate::support::{Flow, MAX_TOKENS, caller, new_key, start_site, wait_until};
use fakes::{ChatResponse, Site, completion_text};
use rstest::rstest;
use serde_json::{Value, json};
use std::thread;

/// Asserts that an answer is whole and the caller's own, or an honest refusal.
fn assert_honest(answer: &ChatResponse) {
    let honest = answer.is_complete(MAX_TOKENS) || answer.is_valid_refusal(MAX_TOKENS);
    assert!(honest, "neither whole nor refused: {answer:?}");
}

fn running(site: &Site, engine: &str) -> u64 {
    site.get(engine, "/v1/load").unwrap()["running"].as_u64().unwrap()
}

fn is_cut(answer: &ChatResponse) -> bool {
    let own = completion_text(&answer.request, MAX_TOKENS).starts_with(&answer.text);
    !answer.done && answer.refusal.is_none() && own
}

#[test]
fn can_answer_or_refuse_while_an_engine_dies_and_comes_back() {
    let mut site = start_site(&["--token-ms", "2"]);
    let flow = Flow::start(&[caller(&site, "daemon-1", "plan"), caller(&site, "daemon-2", "plan")]);
    flow.take(20).iter().for_each(|a| assert!(a.is_complete(MAX_TOKENS), "{a:?}"));
    site.kill("engine-1").unwrap();
    flow.take(60).iter().for_each(assert_honest);
    flow.take_until_whole().iter().for_each(assert_honest);
    site.restart("engine-1").unwrap();
    flow.take(30).iter().for_each(assert_honest);
    flow.close().iter().for_each(assert_honest);
}

#[test]
fn can_finish_every_repeatable_request_when_an_engine_dies() {
    let mut site = start_site(&["--token-ms", "5"]);
    let chats: Vec<_> = (0..12)
        .map(|n| {
            let caller = caller(&site, ["daemon-1", "daemon-2"][n % 2], "plan");
            thread::spawn(move || caller.chat("", "plan the routes", MAX_TOKENS))
        })
        .collect();
    wait_until(|| running(&site, "engine-1") >= 2);
    site.kill("engine-1").unwrap();
    for chat in chats {
        let answer = chat.join().unwrap();
        assert!(answer.is_complete(MAX_TOKENS), "{answer:?}");
    }
}

#[test]
fn can_serve_at_the_other_daemon_when_one_dies() {
    let mut site = start_site(&["--token-ms", "2"]);
    let first = Flow::start(&[caller(&site, "daemon-1", "plan")]);
    let second = Flow::start(&[caller(&site, "daemon-2", "plan")]);
    first.take(10).iter().for_each(assert_honest);
    site.kill("daemon-1").unwrap();
    for answer in first.close() {
        assert!(is_cut(&answer) || answer.is_complete(MAX_TOKENS), "{answer:?}");
    }
    let whole = |answer: &ChatResponse| assert!(answer.is_complete(MAX_TOKENS), "{answer:?}");
    second.take(40).iter().for_each(whole);
    second.close().iter().for_each(whole);
    site.restart("daemon-1").unwrap();
    site.wait_until_ready("daemon-1").unwrap();
    let answer = caller(&site, "daemon-1", "plan").chat("", "plan the routes", MAX_TOKENS);
    assert!(answer.is_complete(MAX_TOKENS), "{answer:?}");
}

#[test]
fn can_go_on_while_the_object_api_is_dead() {
    let mut site = start_site(&["--token-ms", "2"]);
    let flow = Flow::start(&[caller(&site, "daemon-1", "plan"), caller(&site, "daemon-2", "plan")]);
    let whole = |answer: &ChatResponse| assert!(answer.is_complete(MAX_TOKENS), "{answer:?}");
    flow.take(20).iter().for_each(whole);
    site.store.kill().unwrap();
    flow.take(60).iter().for_each(whole);
    let booked = caller(&site, "daemon-1", "booking").call(&new_key("booking"), &json!({}));
    let runs = site.get("booking-1", "/counts").unwrap();
    let total: u64 = runs.as_object().unwrap().values().filter_map(Value::as_u64).sum();
    let refused = booked.body["error"]["verdict"] == "not_run";
    assert_eq!((booked.status == 200, refused), (total == 1, total == 0), "{booked:?} {runs}");
    flow.close().iter().for_each(whole);
}

#[rstest]
#[case::events_of_others(json!({"cross_events": true}), "plan", true)]
#[case::events_of_others_once_only(json!({"cross_events": true}), "closure", true)]
#[case::ends_early(json!({"short": true}), "plan", true)]
#[case::ends_early_once_only(json!({"short": true}), "closure", false)]
#[case::stalls(json!({"stall": true}), "plan", true)]
#[case::crashes(json!({"crash_after_tokens": 5}), "plan", true)]
#[case::crashes_once_only(json!({"crash_after_tokens": 5}), "closure", false)]
#[case::refuses(json!({"refuse": true}), "plan", true)]
#[case::refuses_once_only(json!({"refuse": true}), "closure", true)]
fn can_answer_or_refuse_when_one_engine_has_a_fault(
    #[case] faults: Value,
    #[case] class: &str,
    #[case] all_whole: bool,
) {
    let site = start_site(&["--token-ms", "2"]);
    site.post("engine-1", "/faults", &faults).unwrap();
    let chats: Vec<_> = (0..8)
        .map(|_| {
            let caller = caller(&site, "daemon-1", class);
            thread::spawn(move || caller.chat("", "plan the routes", MAX_TOKENS))
        })
        .collect();
    for chat in chats {
        let answer = chat.join().unwrap();
        assert_honest(&answer);
        assert!(!all_whole || answer.is_complete(MAX_TOKENS), "{answer:?}");
        assert_ne!((all_whole, answer.verdict()), (false, "not_run"), "{answer:?}");
    }
}

#[test]
fn can_go_on_elsewhere_when_open_connections_go_silent() {
    let site = start_site(&["--token-ms", "50"]);
    let chats: Vec<_> = (0..4)
        .map(|_| {
            let caller = caller(&site, "daemon-1", "plan");
            thread::spawn(move || caller.chat("", "plan the routes", MAX_TOKENS))
        })
        .collect();
    wait_until(|| running(&site, "engine-1") >= 1);
    site.post("engine-1", "/faults", &json!({"silent": true})).unwrap();
    for chat in chats {
        let answer = chat.join().unwrap();
        assert!(answer.is_complete(MAX_TOKENS), "{answer:?}");
    }
}

#[test]
fn can_finish_what_runs_before_a_daemon_stops() {
    let mut site = start_site(&["--token-ms", "20"]);
    let chats: Vec<_> = (0..6)
        .map(|_| {
            let caller = caller(&site, "daemon-1", "plan");
            thread::spawn(move || caller.chat("", "plan the routes", MAX_TOKENS))
        })
        .collect();
    wait_until(|| running(&site, "engine-1") + running(&site, "engine-2") == 6);
    let mut daemon = site.remove("daemon-1").unwrap();
    daemon.signal("TERM").unwrap();
    for chat in chats {
        let answer = chat.join().unwrap();
        assert!(answer.is_complete(MAX_TOKENS), "{answer:?}");
    }
    assert!(daemon.wait().unwrap());
}
