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

fn directory_with_one_endpoint() -> Directory {
    let mut directory = Directory::default();
    assert_eq!(directory.put("e", registration(1, 5)), joined());
    directory
}

#[test]
fn later_heartbeat_belongs_to_the_same_incarnation() {
    assert_eq!(directory_with_one_endpoint().put("e", registration(1, 6)), None);
}

#[test]
fn later_start_under_the_same_id_is_a_new_incarnation() {
    assert_eq!(directory_with_one_endpoint().put("e", registration(2, 1)), joined());
}

#[test]
fn heartbeat_count_that_restarts_is_a_new_incarnation() {
    assert_eq!(directory_with_one_endpoint().put("e", registration(1, 1)), joined());
}

#[test]
fn draining_endpoint_gets_no_requests() {
    let mut directory = directory_with_one_endpoint();
    let draining = Registration { draining: true, ..registration(1, 6) };
    assert_eq!(directory.put("e", draining), left());
    assert!(directory.get("e").is_none());
    assert_eq!(directory.of_service("pool").count(), 0);
}

#[test]
fn endpoint_whose_entry_was_removed_gets_no_requests() {
    let mut directory = directory_with_one_endpoint();
    assert_eq!(directory.remove("e"), left());
    assert!(directory.get("e").is_none());
}

#[test]
fn endpoint_whose_entry_expired_in_an_outage_stays_listed_until_the_reregistration_timeout() {
    let mut directory = directory_with_one_endpoint();
    let store_available_at = Millis(10_000);
    assert!(directory.replace(BTreeMap::new(), true, store_available_at).is_empty());
    assert!(directory.expire(store_available_at + REREGISTRATION_TIMEOUT - Millis(1)).is_empty());
    assert!(directory.get("e").is_some());
    assert_eq!(
        directory.expire(store_available_at + REREGISTRATION_TIMEOUT),
        left().into_iter().collect::<Vec<_>>()
    );
    assert!(directory.get("e").is_none());
}

#[test]
fn endpoint_that_registers_again_after_an_outage_stays_listed() {
    let mut directory = directory_with_one_endpoint();
    directory.replace(BTreeMap::new(), true, Millis(10_000));
    assert_eq!(directory.put("e", registration(1, 7)), None);
    assert!(directory.expire(Millis(60_000)).is_empty());
}

#[test]
fn followers_that_got_a_copy_without_an_endpoint_learn_that_it_registered_again() {
    let mut directory = directory_with_one_endpoint();
    assert!(directory.copy().all(|copied| !copied.is_missing));
    directory.replace(BTreeMap::new(), true, Millis(10_000));
    assert!(directory.copy().all(|copied| copied.is_missing));
    let returned = Some(DirectoryChange::Returned("e".to_owned()));
    assert_eq!(directory.put("e", registration(1, 7)), returned);
    assert!(directory.copy().all(|copied| !copied.is_missing));
    assert_eq!(directory.put("e", registration(1, 8)), None);
}

#[test]
fn copy_of_the_directory_tells_a_daemon_which_endpoints_drain() {
    let mut source = directory_with_one_endpoint();
    source.put("e", Registration { draining: true, ..registration(1, 6) });
    let copy = source.listed().map(|(id, entry)| (id.to_owned(), entry.clone())).collect();
    let mut directory = directory_with_one_endpoint();
    let changes = directory.replace(copy, true, Millis(10_000));
    assert_eq!(changes, left().into_iter().collect::<Vec<_>>());
}

#[test]
fn endpoints_with_missing_entries_are_removed_once_the_store_is_known_to_have_been_available() {
    let mut directory = directory_with_one_endpoint();
    directory.put("f", registration(1, 1));
    let present = BTreeMap::from([("f".to_owned(), registration(1, 2))]);
    assert!(directory.replace(present, true, Millis(10_000)).is_empty());
    assert_eq!(directory.remove_missing(), left().into_iter().collect::<Vec<_>>());
    assert!(directory.get("e").is_none());
    assert!(directory.get("f").is_some());
}

#[test]
fn missing_endpoint_is_removed_immediately_without_an_outage() {
    let mut directory = directory_with_one_endpoint();
    let changes = directory.replace(BTreeMap::new(), false, Millis(10_000));
    assert_eq!(changes, left().into_iter().collect::<Vec<_>>());
}
