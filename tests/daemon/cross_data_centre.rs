//! Requests that the daemons and engines of another data centre serve.

use crate::support::{
    EventReader, LOCATION, MAX_TOKENS, StreamItem, caller, daemon, run_count,
    skip_to_long_completion, start_members, wait_until,
};
use fakes::InstanceKind::Engine;
use fakes::{Member, Site, completion_text};
use rstest::rstest;

const SAME_REGION: &str = "valle-aburra/aburra-sur";
const OTHER_REGION: &str = "oriente/rionegro";

/// Starts one daemon in a data centre without engines, and two daemons and an engine at `location`.
fn start_with_engine_at(location: &str) -> Site {
    let site = start_members(&[
        daemon("daemon-1", LOCATION, &[]),
        daemon("daemon-2", location, &[]),
        daemon("daemon-3", location, &[]),
        Member::new("engine-1", Engine, location, &["--token-ms", "4"]),
    ]);
    wait_until(|| caller(&site, "daemon-1").chat("", "route", 20).is_complete(20));
    site
}

#[rstest]
#[case::in_the_same_region(SAME_REGION)]
#[case::in_another_region(OTHER_REGION)]
fn daemon_without_local_engines_serves_requests_through_another_data_centre(
    #[case] location: &str,
) {
    let site = start_with_engine_at(location);
    for _ in 0..4 {
        let response = caller(&site, "daemon-1").chat("", "route", MAX_TOKENS);
        assert!(response.is_complete(MAX_TOKENS), "{response:?}");
        assert_eq!(run_count(&site, &response.request), 1);
        let explained = site.get("daemon-1", &format!("/admin/explain/{}", response.request));
        let reason = &explained.unwrap()["spans"][1]["attributes"]["reason"];
        assert_eq!(reason, "no endpoint of aburra-norte serves campo-8b");
    }
}

#[rstest]
#[case::in_the_same_region(SAME_REGION)]
#[case::in_another_region(OTHER_REGION)]
fn stream_resumes_when_the_forwarding_daemon_is_killed(#[case] location: &str) {
    let mut site = start_with_engine_at(location);
    let id = skip_to_long_completion(&site, "daemon-1", 512);
    let mut events = EventReader::open(site.address("daemon-1"));
    let beginning = events.read_tokens(16);
    // Only the daemon that forwards the stream has an attempt outstanding.
    let forwards_stream = |name: &str| {
        let status = crate::support::status(&site, name);
        status["endpoints"][0]["outstanding"].as_u64() > Some(0)
    };
    let name = ["daemon-2", "daemon-3"].into_iter().find(|name| forwards_stream(name)).unwrap();
    site.kill(name).unwrap();
    let (remainder, first_offset, end) = events.read_to_end();
    assert_eq!((first_offset, end), (Some(16), StreamItem::Done));
    assert_eq!(beginning + &remainder, completion_text(&id, MAX_TOKENS));
    assert_eq!(run_count(&site, &id), 2, "the stream is resumed exactly once");
}
