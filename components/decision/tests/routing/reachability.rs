use decision::Millis;
use decision::routing::Reachability;
use rstest::rstest;
use std::collections::{BTreeMap, BTreeSet};

const NAMES: [&str; 12] = ["a", "b", "c", "d", "e", "f", "g", "h", "i", "j", "k", "l"];

/// An engine service with twelve endpoints and a plain one with three.
fn services() -> BTreeMap<&'static str, BTreeSet<&'static str>> {
    let plain = BTreeSet::from(["x", "y", "z"]);
    BTreeMap::from([("engines", BTreeSet::from(NAMES)), ("plain", plain)])
}

fn fail(reachability: &mut Reachability, service: &str, endpoints: &[&str]) {
    endpoints.iter().for_each(|endpoint| reachability.record_failure(service, endpoint));
}

#[rstest]
#[case::nothing_failed(0, 0, false)]
#[case::a_service_crashed(0, 3, false)]
#[case::some_of_each_failed(7, 3, false)]
#[case::eight_of_a_large_service(8, 3, true)]
#[case::all(12, 3, true)]
#[case::all_but_one_of_a_small_service(12, 2, false)]
fn daemon_is_cut_off_if_connections_to_all_services_fail(
    #[case] engines: usize,
    #[case] plain: usize,
    #[case] is_cut_off: bool,
) {
    let mut reachability = Reachability::default();
    fail(&mut reachability, "engines", &NAMES[..engines]);
    fail(&mut reachability, "plain", &["x", "y", "z"][..plain]);
    assert_eq!(reachability.is_cut_off(&services()), is_cut_off);
}

#[test]
fn one_connection_ends_the_state() {
    let mut reachability = Reachability::default();
    fail(&mut reachability, "engines", &NAMES);
    fail(&mut reachability, "plain", &["x", "y", "z"]);
    reachability.record_connection("plain", Millis(0));
    assert!(!reachability.is_cut_off(&services()));
}

#[test]
fn endpoints_that_left_are_no_evidence() {
    let mut reachability = Reachability::default();
    fail(&mut reachability, "engines", &NAMES);
    fail(&mut reachability, "plain", &["x", "y", "z"]);
    reachability.retain(|id| id > "h");
    assert!(!reachability.is_cut_off(&services()));
    assert!(!Reachability::default().is_cut_off(&BTreeMap::new()));
}

#[test]
fn endpoints_are_probed_until_it_is_known_whether_their_service_is_reached() {
    let services = services();
    let plain = &services["plain"];
    let mut reachability = Reachability::default();
    assert!(!reachability.is_doubtful());
    fail(&mut reachability, "plain", &["x"]);
    assert!(reachability.is_doubtful());
    assert_eq!(reachability.unproven("plain", plain, Millis(0)), ["y", "z"]);
    fail(&mut reachability, "plain", &["y", "z"]);
    assert_eq!(reachability.unproven("plain", plain, Millis(0)), ["x", "y", "z"]);
    reachability.record_connection("plain", Millis(100));
    assert!(reachability.unproven("plain", plain, Millis(1_099)).is_empty());
    assert_eq!(reachability.unproven("plain", plain, Millis(1_100)).len(), 3);
}
