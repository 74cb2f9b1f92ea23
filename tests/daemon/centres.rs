//! Requests that are answered over another data centre.

use crate::support::{
    Events, LONG, Next, PLACE, caller, daemon, runs, skip_to_long_answer, start, wait_until,
};
use fakes::InstanceKind::Engine;
use fakes::{Member, Site, completion_text};
use rstest::rstest;

const SAME_REGION: &str = "valle-aburra/aburra-sur";
const OTHER_REGION: &str = "oriente/rionegro";

/// Starts one daemon without engines and two daemons with one engine elsewhere.
fn start_with_engine_at(place: &str) -> Site {
    let site = start(&[
        daemon("daemon-1", PLACE, &[]),
        daemon("daemon-2", place, &[]),
        daemon("daemon-3", place, &[]),
        Member::new("engine-1", Engine, place, &["--token-ms", "4"]),
    ]);
    wait_until(|| caller(&site, "daemon-1").chat("", "route", 20).is_complete(20));
    site
}

#[rstest]
#[case::in_the_same_region(SAME_REGION)]
#[case::in_another_region(OTHER_REGION)]
fn can_answer_over_another_data_centre(#[case] place: &str) {
    let site = start_with_engine_at(place);
    for _ in 0..4 {
        let answer = caller(&site, "daemon-1").chat("", "route", LONG);
        assert!(answer.is_complete(LONG), "{answer:?}");
        assert_eq!(runs(&site, &answer.request), 1);
        let explained = site.get("daemon-1", &format!("/admin/explain/{}", answer.request));
        let reason = &explained.unwrap()["spans"][1]["attributes"]["reason"];
        assert_eq!(reason, "no endpoint of aburra-norte serves campo-8b");
    }
}

#[rstest]
#[case::in_the_same_region(SAME_REGION)]
#[case::in_another_region(OTHER_REGION)]
fn can_go_on_when_the_other_daemon_is_killed_in_mid_stream(#[case] place: &str) {
    let mut site = start_with_engine_at(place);
    let id = skip_to_long_answer(&site, "daemon-1", 512);
    let mut events = Events::open(site.address("daemon-1"));
    let start = events.take(16);
    // A daemon that is not in the way has no attempt outstanding.
    let is_in_the_way = |name: &str| {
        let told = crate::support::status(&site, name);
        told["endpoints"][0]["outstanding"].as_u64() > Some(0)
    };
    let name = ["daemon-2", "daemon-3"].into_iter().find(|name| is_in_the_way(name)).unwrap();
    site.kill(name).unwrap();
    let (rest, first, end) = events.rest();
    assert_eq!((first, end), (Some(16), Next::Done));
    assert_eq!(start + &rest, completion_text(&id, LONG));
    assert_eq!(runs(&site, &id), 2, "it is resumed once");
}
