//! Which registrations of an endpoint that said that it leaves make it usable again.

use decision::Millis;
use decision::routing::{Directory, DirectoryChange, Incarnation, Registration};
use rstest::rstest;
use std::collections::BTreeMap;

const ADDRESS: &str = "10.0.0.1:80";
const OTHER_ADDRESS: &str = "10.0.0.2:80";

fn registration(started: u64, address: &str) -> Registration {
    Registration {
        service: String::from("pool"),
        address: address.to_owned(),
        started,
        heartbeats: 5,
        ..Registration::default()
    }
}

fn incarnation(started: u64) -> Incarnation {
    Incarnation { started, address: ADDRESS.to_owned() }
}

fn left() -> Option<DirectoryChange> {
    Some(DirectoryChange::Left(String::from("e")))
}

/// A directory with an endpoint that said that it leaves.
fn directory_with_a_departure(started: u64) -> Directory {
    let mut directory = Directory::default();
    directory.put("e", registration(started, ADDRESS));
    assert_eq!(directory.record_departure("e", &incarnation(started)), left());
    assert!(directory.get("e").is_none());
    directory
}

#[rstest]
#[case::same_entry(2, registration(2, ADDRESS))]
#[case::entry_of_an_older_copy(2, Registration { heartbeats: 1, ..registration(2, ADDRESS) })]
#[case::entry_of_an_older_incarnation(2, registration(1, ADDRESS))]
#[case::same_address_without_start(2, registration(0, ADDRESS))]
#[case::same_address_never_with_start(0, registration(0, ADDRESS))]
fn entry_does_not_undo_a_departure(#[case] started: u64, #[case] entry: Registration) {
    let mut directory = directory_with_a_departure(started);
    assert_eq!(directory.put("e", entry.clone()), None);
    directory.remove("e");
    assert_eq!(directory.put("e", entry.clone()), left());
    let entries = BTreeMap::from([(String::from("e"), entry)]);
    assert!(directory.replace(entries, None, true, Millis(900_000)).is_empty());
    assert!(directory.get("e").is_none());
    assert_eq!(directory.leaving(), 1);
}

#[rstest]
#[case::later_start(2, registration(3, ADDRESS))]
#[case::other_address_without_start(0, registration(0, OTHER_ADDRESS))]
fn new_incarnation_is_usable(#[case] started: u64, #[case] entry: Registration) {
    let mut directory = directory_with_a_departure(started);
    let joined = Some(DirectoryChange::Joined(String::from("e")));
    assert_eq!(directory.put("e", entry), joined);
    assert!(directory.get("e").is_some());
    assert_eq!(directory.leaving(), 0);
}

/// A store that was restored from a copy some seconds old, or a stale read.
#[rstest]
#[case::older_heartbeat(Registration { heartbeats: 1, ..registration(2, ADDRESS) })]
#[case::later_heartbeat(Registration { heartbeats: 9, ..registration(2, ADDRESS) })]
fn ready_entry_does_not_end_draining(
    #[case] entry: Registration,
    #[values(true, false)] removed: bool,
) {
    let mut directory = Directory::default();
    directory.put("e", Registration { draining: true, ..registration(2, ADDRESS) });
    if removed {
        directory.remove("e");
    }
    directory.put("e", entry);
    assert!(directory.get("e").is_none());
}

#[test]
fn departure_of_an_older_incarnation_changes_nothing() {
    let mut directory = Directory::default();
    directory.put("e", registration(3, ADDRESS));
    assert_eq!(directory.record_departure("e", &incarnation(2)), None);
    assert!(directory.get("e").is_some());
}

#[test]
fn another_endpoint_at_the_address_is_usable() {
    let mut directory = directory_with_a_departure(2);
    directory.put("f", registration(2, ADDRESS));
    assert!(directory.get("f").is_some());
}

#[test]
fn copy_of_the_directory_lists_a_departed_endpoint_as_draining() {
    let directory = directory_with_a_departure(2);
    assert!(directory.listed().all(|(_, registration)| registration.draining));
}

#[test]
fn departures_of_endpoints_that_are_not_listed_are_bounded() {
    let mut directory = directory_with_a_departure(2);
    for number in 1..10_000 {
        directory.record_departure(&format!("gone-{number}"), &incarnation(1));
    }
    assert!(!directory.has_departed("gone-1", &incarnation(1)));
    assert!(directory.has_departed("gone-9999", &incarnation(1)));
    assert!(directory.get("e").is_none(), "a listed endpoint stays known as draining");
}
