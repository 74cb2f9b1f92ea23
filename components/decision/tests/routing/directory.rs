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
    assert!(directory.replace(BTreeMap::new(), None, true, store_available_at).is_empty());
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
    directory.replace(BTreeMap::new(), None, true, Millis(10_000));
    assert_eq!(directory.put("e", registration(1, 7)), None);
    assert!(directory.expire(Millis(60_000)).is_empty());
}

#[test]
fn followers_that_got_a_copy_without_an_endpoint_learn_that_it_registered_again() {
    let mut directory = directory_with_one_endpoint();
    assert!(directory.copy(None).all(|copied| !copied.is_missing));
    directory.replace(BTreeMap::new(), None, true, Millis(10_000));
    assert!(directory.copy(None).all(|copied| copied.is_missing));
    let returned = Some(DirectoryChange::Returned("e".to_owned()));
    assert_eq!(directory.put("e", registration(1, 7)), returned);
    assert!(directory.copy(None).all(|copied| !copied.is_missing));
    assert_eq!(directory.put("e", registration(1, 8)), None);
}

#[test]
fn copy_of_the_directory_tells_a_daemon_which_endpoints_drain() {
    let mut source = directory_with_one_endpoint();
    source.put("e", Registration { draining: true, ..registration(1, 6) });
    let copy = source.listed().map(|(id, entry)| (id.to_owned(), entry.clone())).collect();
    let mut directory = directory_with_one_endpoint();
    let changes = directory.replace(copy, None, true, Millis(10_000));
    assert_eq!(changes, left().into_iter().collect::<Vec<_>>());
}

#[test]
fn endpoints_with_missing_entries_are_removed_once_the_store_is_known_to_have_been_available() {
    let mut directory = directory_with_one_endpoint();
    directory.put("f", registration(1, 1));
    let present = BTreeMap::from([("f".to_owned(), registration(1, 2))]);
    assert!(directory.replace(present, None, true, Millis(10_000)).is_empty());
    assert_eq!(directory.remove_missing(), left().into_iter().collect::<Vec<_>>());
    assert!(directory.get("e").is_none());
    assert!(directory.get("f").is_some());
}

#[test]
fn missing_endpoint_is_removed_immediately_without_an_outage() {
    let mut directory = directory_with_one_endpoint();
    let changes = directory.replace(BTreeMap::new(), None, false, Millis(10_000));
    assert_eq!(changes, left().into_iter().collect::<Vec<_>>());
}

fn named(number: usize) -> (String, Registration) {
    (format!("e-{number}"), registration(number as u64 + 1, 1))
}

fn directory_of(numbers: std::ops::Range<usize>) -> Directory {
    let mut directory = Directory::default();
    for (id, registration) in numbers.map(named) {
        directory.put(&id, registration);
    }
    directory
}

/// What a follower gets from a daemon with another registry.
fn copy_differences(from: &mut Directory, to: &mut Directory) -> (usize, Vec<DirectoryChange>) {
    let groups = from.digest().differing(to.digest().groups());
    let copied = from.copy(Some(&groups));
    let entries: BTreeMap<String, Registration> =
        copied.map(|copied| (copied.id.to_owned(), copied.registration.clone())).collect();
    (entries.len(), to.replace(entries, Some(&groups), false, Millis(1_000)))
}

#[test]
fn digest_does_not_depend_on_heartbeats() {
    let mut other = directory_with_one_endpoint();
    other.put("e", registration(1, 9));
    assert_eq!(directory_with_one_endpoint().digest(), other.digest());
}

#[test]
fn only_groups_that_differ_are_copied() {
    let (mut reader, mut follower) = (directory_of(0..900), directory_of(1..901));
    let draining = Registration { draining: true, ..named(500).1 };
    reader.put("e-500", draining);
    let (copied, changes) = copy_differences(&mut reader, &mut follower);
    assert!(copied < 60, "{copied} of 900 endpoints");
    assert_eq!(changes.len(), 3, "{changes:?}");
    let expected = [
        DirectoryChange::Left(String::from("e-900")),
        DirectoryChange::Joined(String::from("e-0")),
        DirectoryChange::Left(String::from("e-500")),
    ];
    assert!(expected.iter().all(|change| changes.contains(change)), "{changes:?}");
    assert_eq!(reader.digest(), follower.digest());
    assert_eq!(copy_differences(&mut reader, &mut follower), (0, Vec::new()));
}

#[test]
fn departure_that_only_the_follower_knows_is_not_undone_by_a_copy() {
    let (mut reader, mut follower) = (directory_of(0..90), directory_of(0..90));
    follower.record_departure("e-7", &named(7).1.incarnation());
    let (_, changes) = copy_differences(&mut reader, &mut follower);
    assert_eq!(changes, []);
    assert!(follower.get("e-7").is_none());
}

#[test]
fn daemon_that_groups_in_another_way_gets_all() {
    let directory = directory_of(0..900);
    let groups = directory.digest().differing(&[7; 16]);
    assert_eq!(directory_of(0..900).copy(Some(&groups)).count(), 900);
}
