//! Planned stops of daemons and endpoints.

use crate::support::{
    EventReader, KEY, LOCATION, MAX_TOKENS, StreamItem, WAIT_TIMEOUT, caller, daemon, signal,
    skip_to_long_completion, start_members, start_site, status, wait_until,
};
use fakes::InstanceKind::Engine;
use fakes::{Member, Site, completion_text};
use serde_json::{Value, json};
use std::sync::mpsc::channel;
use std::thread;
use std::time::Duration;
use utils::prepare_request;

/// `max_tokens` of the requests that are open when the daemon is told to stop.
const SHORT_MAX_TOKENS: u64 = 400;

const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);

#[test]
fn daemon_completes_every_stream_before_it_stops() {
    let mut site = start_site(&["--token-ms", "4", "--slots", "4"]);
    let callers: Vec<_> = (0..16)
        .map(|_| {
            let caller = caller(&site, "daemon-1");
            thread::spawn(move || caller.chat("", "route", SHORT_MAX_TOKENS))
        })
        .collect();
    // All requests have arrived: 8 run and 8 wait.
    wait_until(|| {
        let outstanding = |e: &Value| e["outstanding"].as_u64().unwrap();
        let status = status(&site, "daemon-1");
        let endpoints = status["endpoints"].as_array().unwrap();
        (endpoints.iter().map(outstanding).sum(), &status["waiting"]) == (8_u64, &json!(8))
    });
    signal(&site, "daemon-1", "-TERM");
    wait_until(|| status(&site, "daemon-1")["stopping"] == true);
    let address = site.address("daemon-1");
    let ready =
        prepare_request(attohttpc::get(format!("http://{address}/readyz")), REQUEST_TIMEOUT).send();
    assert_eq!(ready.unwrap().status(), 503);
    let late = caller(&site, "daemon-1").chat("", "route", SHORT_MAX_TOKENS);
    assert_eq!((late.status, late.verdict()), (503, "not_run"));
    for caller in callers {
        let response = caller.join().unwrap();
        assert!(response.is_complete(SHORT_MAX_TOKENS), "{response:?}");
    }
    let response = caller(&site, "daemon-2").chat("", "route", SHORT_MAX_TOKENS);
    assert!(response.is_complete(SHORT_MAX_TOKENS), "{response:?}");
    wait_until(|| status(&site, "daemon-2")["members"] == json!([]));
    assert!(
        site.remove("daemon-1").unwrap().wait().unwrap(),
        "daemon-1 did not exit with status 0"
    );
}

/// Stops a daemon and waits until it exits with status 0.
fn stop_and_wait(site: &mut Site, name: &str) {
    let mut process = site.remove(name).unwrap();
    process.signal("TERM").unwrap();
    let (tx, rx) = channel();
    thread::spawn(move || tx.send(process.wait()));
    let ended = rx.recv_timeout(WAIT_TIMEOUT).expect("the daemon did not exit before the timeout");
    assert!(ended.unwrap(), "the daemon did not exit with status 0");
}

#[test]
fn daemon_that_served_handed_off_requests_stops_without_waiting_for_their_callers() {
    let mut site = start_members(&[
        daemon(
            "daemon-1",
            LOCATION,
            &["--stop-timeout-ms", "120000", "--stream-window-ms", "120000"],
        ),
        daemon(
            "daemon-2",
            LOCATION,
            &["--stop-timeout-ms", "120000", "--stream-window-ms", "120000"],
        ),
        Member::new("engine-1", Engine, LOCATION, &["--token-ms", "2", "--slots", "1"]),
    ]);
    skip_to_long_completion(&site, "daemon-1", 1_024);
    let mut first = EventReader::open(site.address("daemon-1"));
    first.read_tokens(1);
    // The second request waits behind the first; daemon-1 hands it off to daemon-2 when it stops.
    let mut second = EventReader::open(site.address("daemon-1"));
    signal(&site, "daemon-1", "-TERM");
    assert_eq!(first.read_to_end().2, StreamItem::Done);
    let (text, _, end) = second.read_to_end();
    assert_eq!((text, end), (completion_text(&second.id, MAX_TOKENS), StreamItem::Done));
    let explained = site.get("daemon-2", &format!("/admin/explain/{}", second.id));
    assert!(explained.is_ok(), "daemon-2 has no record of the request: {explained:?}");
    // No caller resumes the stream at daemon-2, so it exits well before its stop timeout.
    stop_and_wait(&mut site, "daemon-2");
}

#[test]
fn leaving_engine_gets_no_new_requests() {
    let site = start_site(&["--token-ms", "2"]);
    let id = skip_to_long_completion(&site, "daemon-1", 256);
    let mut events = EventReader::open(site.address("daemon-1"));
    let text = events.read_tokens(1);
    for engine in ["engine-1", "engine-2"] {
        if site.get(engine, "/counts").unwrap()[&id].is_object() {
            site.post(engine, "/v1/leave", &json!({})).unwrap();
            wait_until(|| both_daemons_see_leaving(&site, engine));
            let before = site.get(engine, "/counts").unwrap().as_object().unwrap().len();
            for _ in 0..20 {
                let response = caller(&site, "daemon-1").chat("", "route", 20);
                assert!(response.is_complete(20), "{response:?}");
            }
            let after = site.get(engine, "/counts").unwrap().as_object().unwrap().len();
            assert_eq!(
                before, after,
                "a leaving engine got new requests while the instance list still has it as live"
            );
        }
    }
    let (remainder, _, end) = events.read_to_end();
    assert_eq!((text + &remainder, end), (completion_text(&id, MAX_TOKENS), StreamItem::Done));
}

fn both_daemons_see_leaving(site: &Site, engine: &str) -> bool {
    let sees_leaving = |daemon| {
        let endpoints = status(site, daemon)["endpoints"].clone();
        let is_leaving = |e: &Value| e["name"] == engine && e["state"] == "leaving";
        endpoints.as_array().unwrap().iter().any(is_leaving)
    };
    sees_leaving("daemon-1") && sees_leaving("daemon-2")
}

#[test]
fn caller_resumes_a_stream_while_its_daemon_stops() {
    let site = start_site(&["--token-ms", "2"]);
    let id = skip_to_long_completion(&site, "daemon-1", 256);
    let mut events = EventReader::open(site.address("daemon-1"));
    let text = events.read_tokens(3);
    drop(events);
    signal(&site, "daemon-1", "-TERM");
    wait_until(|| status(&site, "daemon-1")["stopping"] == true);
    let (remainder, _, end) =
        EventReader::resume(site.address("daemon-2"), KEY, &id, "3").read_to_end();
    assert_eq!((text + &remainder, end), (completion_text(&id, MAX_TOKENS), StreamItem::Done));
}
