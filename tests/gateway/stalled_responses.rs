//! Responses of endpoints that send little, but go on.

use crate::scripted_site::{SIGNED_HEAD, ScriptedSite};
use fakes::Step;
use rstest::rstest;
use std::time::Duration;

const BODY: &[u8] = b"body";
/// The time limit of the routes at which responses stall.
const SHORT_LIMIT_MS: u64 = 1_500;
/// The time limit of the routes at which responses are slow.
const LONG_LIMIT_MS: u64 = 30_000;
const INTERVAL: Duration = Duration::from_millis(50);
/// Longer than a connection may be idle (`idle_ms`) and than the first event may take
/// (`objective_ms`).
const SLOW_INTERVAL: Duration = Duration::from_millis(3_500);
const EVENT: &str = "id: 1\ndata: piece 1\n\n";

/// Guards against responses that last as long as bytes arrive.
#[rstest]
fn response_that_stalls_ends_by_the_time_limit_of_its_route(
    #[values("/safe/", "/once/", "/stream/", "/fixed/")] target: &str,
    #[values(true, false)] is_chunked: bool,
) {
    let site = ScriptedSite::start(SHORT_LIMIT_MS);
    let is_stream = ["/stream/", "/fixed/"].contains(&target);
    let media_type = if is_stream { "Content-Type: text/event-stream\r\n" } else { "" };
    let frame = |text: &str| match is_chunked {
        true => format!("{:x}\r\n{text}\r\n", text.len()),
        false => text.to_owned(),
    };
    let framing = if is_chunked { "Transfer-Encoding: chunked\r\n" } else { "" };
    let start = format!("{SIGNED_HEAD}{media_type}{framing}\r\n{}", frame(EVENT));
    for (number, repeated) in ["x", ": comment\n\n", "id: 2\ndata: a\n\n"].iter().enumerate() {
        site.set(&[
            Step::ReadHead,
            Step::ReadBody(BODY.len()),
            Step::Write(start.clone()),
            Step::Repeat(frame(repeated), INTERVAL),
        ]);
        let id = format!("r{number}");
        let (status, is_complete, text) = site.send(target, &id, BODY);
        match is_stream {
            true => assert!(status == 200 && !is_complete, "{repeated:?}: status {status}"),
            false => {
                assert_eq!(status, 502, "{repeated:?}");
                assert!(text.contains("\"verdict\":\"may_have_run\""), "{repeated:?}: {text}");
            }
        }
        assert_eq!(site.sends(&id), 1, "{repeated:?}");
    }
}

/// The same for a head, and for interim responses before it.
#[rstest]
fn head_that_stalls_ends_by_the_time_limit_of_its_route(
    #[values("/safe/", "/once/", "/stream/")] target: &str,
    #[values("x", "HTTP/1.1 102 Processing\r\n\r\n")] repeated: &str,
) {
    let site = ScriptedSite::start(SHORT_LIMIT_MS);
    let start = if repeated == "x" { SIGNED_HEAD } else { "" };
    site.set(&[
        Step::ReadHead,
        Step::ReadBody(BODY.len()),
        Step::Write(start.to_owned()),
        Step::Repeat(repeated.to_owned(), INTERVAL),
    ]);
    let (status, _, text) = site.send(target, "r1", BODY);
    assert_eq!(status, 504);
    assert!(text.contains("\"verdict\":\"may_have_run\""), "{text}");
    assert_eq!(site.sends("r1"), 1);
}

/// Guards against a limit on the time between events.
#[rstest]
fn slow_response_is_not_cut(#[values("/safe/", "/once/", "/stream/", "/fixed/")] target: &str) {
    let site = ScriptedSite::start(LONG_LIMIT_MS);
    let is_stream = ["/stream/", "/fixed/"].contains(&target);
    let media_type = if is_stream { "Content-Type: text/event-stream\r\n" } else { "" };
    let pause = Step::Pause(SLOW_INTERVAL);
    let chunk = format!("{:x}\r\n{EVENT}\r\n", EVENT.len());
    site.set(&[
        Step::ReadHead,
        Step::ReadBody(BODY.len()),
        pause.clone(),
        Step::Write(format!("{SIGNED_HEAD}{media_type}Transfer-Encoding: chunked\r\n\r\n{chunk}")),
        pause.clone(),
        Step::Write(chunk),
        pause,
        Step::Write(String::from("0\r\n\r\n")),
    ]);
    assert_eq!(site.send(target, "r1", BODY), (200, true, EVENT.repeat(2)));
    assert_eq!(site.sends("r1"), 1);
}
