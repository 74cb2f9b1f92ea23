//! Callers that come back, callers that do not read, and streams that break.

use crate::support::{
    Events, KEY, LONG, Next, PLACE, caller, chat_body, daemon, runs, skip_to_long_answer, start,
    start_site, wait_until,
};
use fakes::InstanceKind::Engine;
use fakes::{Member, Site, completion_length, completion_text, token_text};
use rstest::rstest;
use serde_json::json;
use std::io::{Read, Write};
use std::net::TcpStream;

/// Tokens that a caller who does not read may be behind.
const BUFFER_TOKENS: u64 = 16;

/// Bytes that the kernel holds for such a caller: twice what the daemon asks for, and the first
/// receive buffer that Linux gives the caller's side of this test.
const KERNEL_BYTES: u64 = (32 << 10) + (128 << 10);

/// Bytes of the event of one token at least.
const EVENT_BYTES: u64 = 160;

#[test]
fn can_come_back_at_each_daemon_for_the_rest() {
    let site = start_site(&["--token-ms", "2"]);
    let id = skip_to_long_answer(&site, "daemon-1", 64);
    let mut events = Events::open(site.address("daemon-1"));
    assert_eq!(events.id, id);
    let start = events.take(5);
    drop(events);
    for daemon in ["daemon-2", "daemon-1"] {
        let mut events = Events::come_back(site.address(daemon), KEY, &id, "5");
        let (rest, first, end) = events.rest();
        assert_eq!((first, end), (Some(5), Next::Done));
        assert_eq!(start.clone() + &rest, completion_text(&id, LONG));
    }
    assert_eq!(runs(&site, &id), 1, "a caller that comes back starts no second run");
}

#[rstest]
#[case::another_account("key-2", "0", 404, "unknown_request")]
#[case::no_account("key-3", "0", 401, "unknown_account")]
#[case::no_number(KEY, "x", 400, "malformed_request")]
#[case::negative(KEY, "-1", 400, "malformed_request")]
#[case::beyond_all_numbers(KEY, "99999999999999999999", 400, "malformed_request")]
#[case::beyond_the_answer(KEY, "4001", 400, "malformed_request")]
fn errors_when_a_stream_is_asked_for_wrongly(
    #[case] key: &str,
    #[case] offset: &str,
    #[case] status: u16,
    #[case] reason: &str,
) {
    let site = start_site(&["--token-ms", "1"]);
    let mut events = Events::open(site.address("daemon-1"));
    let id = events.id.clone();
    assert_eq!(events.rest().2, Next::Done);
    for daemon in ["daemon-1", "daemon-2"] {
        let events = Events::come_back(site.address(daemon), key, &id, offset);
        assert_eq!(events.status, status);
        let refusal = events.refusal();
        assert_eq!(refusal["reason"], reason);
        assert_ne!(refusal["verdict"], "not_run", "the request ran");
    }
}

#[test]
fn can_hold_an_engine_back_for_a_caller_that_does_not_read() {
    let buffer = BUFFER_TOKENS.to_string();
    let site = start(&[
        daemon("daemon-1", PLACE, &["--stream-buffer-tokens", &buffer]),
        Member::new("engine-1", Engine, PLACE, &["--token-ms", "1", "--pauses"]),
    ]);
    let bound = BUFFER_TOKENS + KERNEL_BYTES / EVENT_BYTES;
    let id = skip_to_long_answer(&site, "daemon-1", bound + 240);
    let mut socket = send_without_reading(&site);
    let paused = || site.get("engine-1", "/v1/load").unwrap()["running"] == 0;
    let generated =
        || site.get("engine-1", "/counts").unwrap()[&id]["tokens"].as_u64().unwrap_or(0);
    wait_until(|| generated() > BUFFER_TOKENS && paused());
    let held = generated();
    assert!(held <= bound, "{held} tokens while nobody reads");
    let mut text = String::new();
    socket.read_to_string(&mut text).unwrap();
    assert!(text.contains("data: [DONE]"), "the rest comes once the caller reads");
    assert_eq!(generated(), completion_length(&id, LONG));
}

fn send_without_reading(site: &Site) -> TcpStream {
    let mut socket = TcpStream::connect(site.address("daemon-1")).unwrap();
    let body = chat_body(LONG).to_string();
    let head = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nHost: daemon\r\nAuthorization: Bearer {KEY}\r\n\
         X-Request-Class: plan\r\nContent-Length: {}\r\nConnection: close\r\n\r\n",
        body.len()
    );
    socket.write_all((head + &body).as_bytes()).unwrap();
    socket
}

#[test]
fn can_drop_events_of_other_requests() {
    let site = start_site(&["--token-ms", "1"]);
    for engine in ["engine-1", "engine-2"] {
        site.post(engine, "/faults", &json!({"cross_events": true})).unwrap();
    }
    let answer = caller(&site, "daemon-1").chat("", "route", 100);
    assert!(answer.is_complete(100), "{answer:?}");
}

#[rstest]
#[case::one_engine(&["engine-1"], 8)]
#[case::each_engine(&["engine-1", "engine-2"], 1)]
fn can_tell_a_stream_that_stops_short_from_a_whole_one(
    #[case] faulty: &[&str],
    #[case] requests: usize,
) {
    let site = start_site(&["--token-ms", "1"]);
    for engine in faulty {
        site.post(engine, "/faults", &json!({"short": true})).unwrap();
    }
    let whole = faulty.len() == 1;
    for _ in 0..requests {
        let answer = caller(&site, "daemon-1").chat("", "route", LONG);
        let started = runs(&site, &answer.request) > 0;
        let verdict = if started { "may_have_run" } else { "not_run" };
        let refused = answer.is_valid_refusal(LONG) && answer.verdict() == verdict;
        assert!(answer.is_complete(LONG) || (!whole && refused), "{answer:?}");
    }
}

#[test]
fn can_resume_elsewhere_when_an_engine_goes_silent_in_mid_stream() {
    let site = start_site(&["--token-ms", "4"]);
    let id = skip_to_long_answer(&site, "daemon-1", 256);
    let mut events = Events::open(site.address("daemon-1"));
    let start = events.take(8);
    let runner = ["engine-1", "engine-2"]
        .into_iter()
        .find(|engine| site.get(engine, "/counts").unwrap()[&id].is_object())
        .unwrap();
    site.post(runner, "/faults", &json!({"silent": true})).unwrap();
    let (rest, first, end) = events.rest();
    assert_eq!((first, end), (Some(8), Next::Done));
    assert_eq!(start + &rest, completion_text(&id, LONG));
    let other = if runner == "engine-1" { "engine-2" } else { "engine-1" };
    let resumed = site.get(other, "/counts").unwrap()[&id].clone();
    assert!(resumed["offset"].as_u64().is_some_and(|offset| offset >= 8), "{resumed}");
    assert_eq!(runs(&site, &id), 2);
    assert!(completion_text(&id, LONG).starts_with(&token_text(&id, 0)));
}
