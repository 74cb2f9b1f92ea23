//! Failures of single processes under a continuous load.

use crate::support::{Load, MAX_TOKENS, caller, new_key, start_site, wait_until};
use fakes::{ChatResponse, Site, completion_text};
use rstest::rstest;
use serde_json::{Value, json};
use std::thread;

/// Asserts that a response is complete with the expected text, or a valid refusal.
fn assert_complete_or_refused(response: &ChatResponse) {
    let is_allowed = response.is_complete(MAX_TOKENS) || response.is_valid_refusal(MAX_TOKENS);
    assert!(is_allowed, "response is neither complete nor a valid refusal: {response:?}");
}

fn running(site: &Site, engine: &str) -> u64 {
    site.get(engine, "/v1/load").unwrap()["running"].as_u64().unwrap()
}

/// Whether the response was cut off without a refusal after a prefix of the expected text.
fn is_cut_off(response: &ChatResponse) -> bool {
    let is_prefix = completion_text(&response.request, MAX_TOKENS).starts_with(&response.text);
    !response.done && response.refusal.is_none() && is_prefix
}

#[test]
fn daemons_respond_or_refuse_while_an_engine_is_killed_and_restarted() {
    let mut site = start_site(&["--token-ms", "2"]);
    let load = Load::start(&[caller(&site, "daemon-1", "plan"), caller(&site, "daemon-2", "plan")]);
    load.take(20).iter().for_each(|a| assert!(a.is_complete(MAX_TOKENS), "{a:?}"));
    site.kill("engine-1").unwrap();
    load.take(60).iter().for_each(assert_complete_or_refused);
    load.take_until_complete().iter().for_each(assert_complete_or_refused);
    site.restart("engine-1").unwrap();
    load.take(30).iter().for_each(assert_complete_or_refused);
    load.stop().iter().for_each(assert_complete_or_refused);
}

#[test]
fn daemons_complete_every_repeatable_request_when_an_engine_is_killed() {
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
        let response = chat.join().unwrap();
        assert!(response.is_complete(MAX_TOKENS), "{response:?}");
    }
}

#[test]
fn second_daemon_serves_all_requests_when_the_first_is_killed() {
    let mut site = start_site(&["--token-ms", "2"]);
    let first = Load::start(&[caller(&site, "daemon-1", "plan")]);
    let second = Load::start(&[caller(&site, "daemon-2", "plan")]);
    first.take(10).iter().for_each(assert_complete_or_refused);
    site.kill("daemon-1").unwrap();
    for response in first.stop() {
        assert!(is_cut_off(&response) || response.is_complete(MAX_TOKENS), "{response:?}");
    }
    let assert_complete =
        |response: &ChatResponse| assert!(response.is_complete(MAX_TOKENS), "{response:?}");
    second.take(40).iter().for_each(assert_complete);
    second.stop().iter().for_each(assert_complete);
    site.restart("daemon-1").unwrap();
    site.wait_until_ready("daemon-1").unwrap();
    let response = caller(&site, "daemon-1", "plan").chat("", "plan the routes", MAX_TOKENS);
    assert!(response.is_complete(MAX_TOKENS), "{response:?}");
}

#[test]
fn daemons_serve_chats_while_the_object_api_is_down() {
    let mut site = start_site(&["--token-ms", "2"]);
    let load = Load::start(&[caller(&site, "daemon-1", "plan"), caller(&site, "daemon-2", "plan")]);
    let assert_complete =
        |response: &ChatResponse| assert!(response.is_complete(MAX_TOKENS), "{response:?}");
    load.take(20).iter().for_each(assert_complete);
    site.store.kill().unwrap();
    load.take(60).iter().for_each(assert_complete);
    let booked = caller(&site, "daemon-1", "booking").call(&new_key("booking"), &json!({}));
    let runs = site.get("booking-1", "/counts").unwrap();
    let total: u64 = runs.as_object().unwrap().values().filter_map(Value::as_u64).sum();
    let refused = booked.body["error"]["verdict"] == "not_run";
    assert_eq!((booked.status == 200, refused), (total == 1, total == 0), "{booked:?} {runs}");
    load.stop().iter().for_each(assert_complete);
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
fn daemon_responds_or_refuses_when_an_engine_has_a_fault(
    #[case] faults: Value,
    #[case] class: &str,
    #[case] all_complete: bool,
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
        let response = chat.join().unwrap();
        assert_complete_or_refused(&response);
        assert!(!all_complete || response.is_complete(MAX_TOKENS), "{response:?}");
        assert_ne!((all_complete, response.verdict()), (false, "not_run"), "{response:?}");
    }
}

#[test]
fn daemon_resumes_streams_at_another_engine_when_connections_go_silent() {
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
        let response = chat.join().unwrap();
        assert!(response.is_complete(MAX_TOKENS), "{response:?}");
    }
}

#[test]
fn daemon_completes_running_streams_before_it_stops() {
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
        let response = chat.join().unwrap();
        assert!(response.is_complete(MAX_TOKENS), "{response:?}");
    }
    assert!(daemon.wait().unwrap());
}
