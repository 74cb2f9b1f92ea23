use decision::Millis;
use decision::routing::{Directory, DirectoryChange, REREGISTRATION_TIMEOUT, Registration};
use std::collections::BTreeMap;

fn registration(started: u64, heartbeats: u64) -> Registration {
    Registration {
        service: "pool".to_owned(),
        address: "10.0.0.1:80".to_owned(),
        started,
        heartbeats,
        ..Registration::default()
    }
}

fn joined() -> Option<DirectoryChange> {
    Some(DirectoryChange::Joined("e".to_owned()))
}

fn left() -> Option<DirectoryChange> {
    Some(DirectoryChange::Left("e".to_owned()))
}

fn with_one() -> Directory {
    let mut directory = Directory::default();
    assert_eq!(directory.put("e", registration(1, 5)), joined());
    directory
}

#[test]
fn takes_a_later_heartbeat_for_the_same_life() {
    assert_eq!(with_one().put("e", registration(1, 6)), None);
}

#[test]
fn takes_a_later_start_under_the_same_id_for_a_new_endpoint() {
    assert_eq!(with_one().put("e", registration(2, 1)), joined());
}

#[test]
fn takes_heartbeats_that_start_anew_for_a_new_endpoint() {
    assert_eq!(with_one().put("e", registration(1, 1)), joined());
}

#[test]
fn gives_no_requests_to_a_draining_endpoint() {
    let mut directory = with_one();
    let draining = Registration { draining: true, ..registration(1, 6) };
    assert_eq!(directory.put("e", draining), left());
    assert!(directory.get("e").is_none());
    assert_eq!(directory.of_service("pool").count(), 0);
}

#[test]
fn gives_no_requests_to_an_endpoint_whose_entry_was_removed() {
    let mut directory = with_one();
    assert_eq!(directory.remove("e"), left());
    assert!(directory.get("e").is_none());
}

#[test]
fn keeps_an_endpoint_that_lapsed_in_an_outage_until_it_had_time_to_come_back() {
    let mut directory = with_one();
    let returned = Millis(10_000);
    assert!(directory.replace(BTreeMap::new(), true, returned).is_empty());
    assert!(directory.expire(returned + REREGISTRATION_TIMEOUT - Millis(1)).is_empty());
    assert!(directory.get("e").is_some());
    assert_eq!(
        directory.expire(returned + REREGISTRATION_TIMEOUT),
        left().into_iter().collect::<Vec<_>>()
    );
    assert!(directory.get("e").is_none());
}

#[test]
fn keeps_an_endpoint_that_came_back_after_an_outage() {
    let mut directory = with_one();
    directory.replace(BTreeMap::new(), true, Millis(10_000));
    assert_eq!(directory.put("e", registration(1, 7)), None);
    assert!(directory.expire(Millis(60_000)).is_empty());
}

#[test]
fn drops_a_missing_endpoint_at_once_without_an_outage() {
    let mut directory = with_one();
    let changes = directory.replace(BTreeMap::new(), false, Millis(10_000));
    assert_eq!(changes, left().into_iter().collect::<Vec<_>>());
}
