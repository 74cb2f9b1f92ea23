//! Resumed streams, callers that do not read, and streams that break off.

use crate::support::{
    EventReader, KEY, LOCATION, MAX_TOKENS, StreamItem, caller, chat_body, daemon, run_count,
    skip_to_long_completion, start_members, start_site, wait_until,
};
use fakes::InstanceKind::Engine;
use fakes::{Member, Site, completion_length, completion_text, token_text};
use rstest::rstest;
use serde_json::json;
use std::io::{Read, Write};
use std::net::TcpStream;

/// Tokens that a daemon buffers for a caller that does not read.
const BUFFER_TOKENS: u64 = 16;

/// Bytes that the kernel buffers for such a caller: twice the send buffer that the daemon requests,
/// and the initial Linux receive buffer on the caller's side of this test.
const KERNEL_BUFFER_BYTES: u64 = (32 << 10) + (128 << 10);

/// The minimum size of the event of one token.
const MIN_EVENT_BYTES: u64 = 160;

#[test]
fn caller_resumes_a_stream_at_any_daemon() {
    let site = start_site(&["--token-ms", "2"]);
    let id = skip_to_long_completion(&site, "daemon-1", 64);
    let mut events = EventReader::open(site.address("daemon-1"));
    assert_eq!(events.id, id);
    let beginning = events.read_tokens(5);
    drop(events);
    for daemon in ["daemon-2", "daemon-1"] {
        let mut events = EventReader::resume(site.address(daemon), KEY, &id, "5");
        let (remainder, first_offset, end) = events.read_to_end();
        assert_eq!((first_offset, end), (Some(5), StreamItem::Done));
        assert_eq!(beginning.clone() + &remainder, completion_text(&id, MAX_TOKENS));
    }
    assert_eq!(run_count(&site, &id), 1, "resuming a stream must not start a second run");
}

#[rstest]
#[case::another_account("key-2", "0", 404, "unknown_request")]
#[case::unknown_account("key-3", "0", 401, "unknown_account")]
#[case::offset_is_not_a_number(KEY, "x", 400, "malformed_request")]
#[case::negative_offset(KEY, "-1", 400, "malformed_request")]
#[case::offset_overflows(KEY, "99999999999999999999", 400, "malformed_request")]
#[case::offset_past_the_end(KEY, "4001", 400, "malformed_request")]
fn daemon_refuses_to_resume_a_stream_for_an_invalid_request(
    #[case] key: &str,
    #[case] offset: &str,
    #[case] status: u16,
    #[case] reason: &str,
) {
    let site = start_site(&["--token-ms", "1"]);
    let mut events = EventReader::open(site.address("daemon-1"));
    let id = events.id.clone();
    assert_eq!(events.read_to_end().2, StreamItem::Done);
    for daemon in ["daemon-1", "daemon-2"] {
        let events = EventReader::resume(site.address(daemon), key, &id, offset);
        assert_eq!(events.status, status);
        let refusal = events.refusal();
        assert_eq!(refusal["reason"], reason);
        assert_ne!(refusal["verdict"], "not_run", "the original request ran");
    }
}

#[test]
fn daemon_pauses_an_engine_for_a_caller_that_does_not_read() {
    let buffer = BUFFER_TOKENS.to_string();
    let site = start_members(&[
        daemon("daemon-1", LOCATION, &["--stream-buffer-tokens", &buffer]),
        Member::new("engine-1", Engine, LOCATION, &["--token-ms", "1", "--pauses"]),
    ]);
    let max_tokens_ahead = BUFFER_TOKENS + KERNEL_BUFFER_BYTES / MIN_EVENT_BYTES;
    let id = skip_to_long_completion(&site, "daemon-1", max_tokens_ahead + 240);
    let mut socket = send_without_reading(&site);
    let paused = || site.get("engine-1", "/v1/load").unwrap()["running"] == 0;
    let generated =
        || site.get("engine-1", "/counts").unwrap()[&id]["tokens"].as_u64().unwrap_or(0);
    wait_until(|| generated() > BUFFER_TOKENS && paused());
    let tokens_ahead = generated();
    assert!(
        tokens_ahead <= max_tokens_ahead,
        "{tokens_ahead} tokens generated while the caller did not read"
    );
    let mut text = String::new();
    socket.read_to_string(&mut text).unwrap();
    assert!(text.contains("data: [DONE]"), "the stream must complete once the caller reads");
    assert_eq!(generated(), completion_length(&id, MAX_TOKENS));
}

fn send_without_reading(site: &Site) -> TcpStream {
    let mut socket = TcpStream::connect(site.address("daemon-1")).unwrap();
    let body = chat_body(MAX_TOKENS).to_string();
    let head = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nHost: daemon\r\nAuthorization: Bearer {KEY}\r\n\
         X-Request-Class: plan\r\nContent-Length: {}\r\nConnection: close\r\n\r\n",
        body.len()
    );
    socket.write_all((head + &body).as_bytes()).unwrap();
    socket
}

#[test]
fn daemon_drops_events_of_other_requests() {
    let site = start_site(&["--token-ms", "1"]);
    for engine in ["engine-1", "engine-2"] {
        site.post(engine, "/faults", &json!({"cross_events": true})).unwrap();
    }
    let response = caller(&site, "daemon-1").chat("", "route", 100);
    assert!(response.is_complete(100), "{response:?}");
}

#[rstest]
#[case::one_faulty_engine(&["engine-1"], 8)]
#[case::all_engines_faulty(&["engine-1", "engine-2"], 1)]
fn daemon_does_not_deliver_a_truncated_stream_as_complete(
    #[case] faulty: &[&str],
    #[case] requests: usize,
) {
    let site = start_site(&["--token-ms", "1"]);
    for engine in faulty {
        site.post(engine, "/faults", &json!({"short": true})).unwrap();
    }
    let other_engine_works = faulty.len() == 1;
    for _ in 0..requests {
        let response = caller(&site, "daemon-1").chat("", "route", MAX_TOKENS);
        let has_started = run_count(&site, &response.request) > 0;
        let verdict = if has_started { "may_have_run" } else { "not_run" };
        let is_expected_refusal =
            response.is_valid_refusal(MAX_TOKENS) && response.verdict() == verdict;
        assert!(
            response.is_complete(MAX_TOKENS) || (!other_engine_works && is_expected_refusal),
            "{response:?}"
        );
    }
}

#[test]
fn stream_resumes_at_another_engine_when_its_engine_goes_silent() {
    let site = start_site(&["--token-ms", "4"]);
    let id = skip_to_long_completion(&site, "daemon-1", 256);
    let mut events = EventReader::open(site.address("daemon-1"));
    let beginning = events.read_tokens(8);
    let silent_engine = ["engine-1", "engine-2"]
        .into_iter()
        .find(|engine| site.get(engine, "/counts").unwrap()[&id].is_object())
        .unwrap();
    site.post(silent_engine, "/faults", &json!({"silent": true})).unwrap();
    let (remainder, first_offset, end) = events.read_to_end();
    assert_eq!((first_offset, end), (Some(8), StreamItem::Done));
    assert_eq!(beginning + &remainder, completion_text(&id, MAX_TOKENS));
    let other_engine = if silent_engine == "engine-1" { "engine-2" } else { "engine-1" };
    let resumed = site.get(other_engine, "/counts").unwrap()[&id].clone();
    assert!(resumed["offset"].as_u64().is_some_and(|offset| offset >= 8), "{resumed}");
    assert_eq!(run_count(&site, &id), 2);
    assert!(completion_text(&id, MAX_TOKENS).starts_with(&token_text(&id, 0)));
}
