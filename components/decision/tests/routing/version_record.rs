use decision::Millis;
use decision::routing::{SoftwareVersion, VersionKeeper, VersionRecord};
use std::collections::BTreeSet;

const RETENTION: Millis = Millis(20_000);
/// The time between the mark on a version and its removal.
const REMOVAL_DELAY: Millis = Millis(5_000);

fn version(version: &str) -> SoftwareVersion {
    SoftwareVersion { service: "pool".to_owned(), version: version.to_owned() }
}

fn listed(versions: &[&str]) -> BTreeSet<SoftwareVersion> {
    versions.iter().map(|v| version(v)).collect()
}

/// The record after the updates of a keeper that sees these versions.
fn record_of(versions: &[&str]) -> VersionRecord {
    let record = VersionRecord::default();
    VersionKeeper::default().update(&record, &listed(versions), RETENTION, Millis(0)).unwrap()
}

#[test]
fn record_with_one_version_proves_where_streams_began() {
    assert_eq!(VersionRecord::default().only_version("pool"), None);
    assert_eq!(record_of(&["v1"]).only_version("pool"), Some(version("v1")));
    assert_eq!(record_of(&["v1"]).only_version("other"), None);
    assert_eq!(record_of(&["v1", "v2"]).only_version("pool"), None);
}

#[test]
fn service_has_several_versions_while_the_record_or_the_registry_has_another() {
    let several = |record: &VersionRecord, versions: &[&str]| {
        record.services_with_several_versions(&listed(versions)).contains("pool")
    };
    assert!(!several(&record_of(&["v1"]), &["v1"]));
    assert!(several(&record_of(&["v1"]), &["v2"]));
    assert!(several(&record_of(&["v1", "v2"]), &["v2"]));
    assert!(several(&VersionRecord::default(), &["v1", "v2"]));
}

#[test]
fn version_leaves_the_record_in_two_steps_after_its_last_stream() {
    let record = record_of(&["v1", "v2"]);
    let mut keeper = VersionKeeper::default();
    let now_listed = listed(&["v2"]);
    assert_eq!(keeper.update(&record, &now_listed, RETENTION, Millis(0)), None);
    assert_eq!(keeper.update(&record, &now_listed, RETENTION, RETENTION - Millis(1)), None);
    let marked = keeper.update(&record, &now_listed, RETENTION, RETENTION).unwrap();
    assert!(!marked.is_in_service(&version("v1")));
    assert_eq!(marked.only_version("pool"), None);
    let removal = RETENTION + REMOVAL_DELAY;
    assert_eq!(keeper.update(&marked, &now_listed, RETENTION, removal - Millis(1)), None);
    let removed = keeper.update(&marked, &now_listed, RETENTION, removal).unwrap();
    assert_eq!(removed.only_version("pool"), Some(version("v2")));
}

#[test]
fn version_that_comes_back_is_in_service_again() {
    let record = record_of(&["v1", "v2"]);
    let mut keeper = VersionKeeper::default();
    keeper.update(&record, &listed(&["v2"]), RETENTION, Millis(0));
    let marked = keeper.update(&record, &listed(&["v2"]), RETENTION, RETENTION).unwrap();
    let both = listed(&["v1", "v2"]);
    let again = keeper.update(&marked, &both, RETENTION, RETENTION + Millis(1)).unwrap();
    assert!(again.is_in_service(&version("v1")));
    let since = RETENTION + Millis(2);
    assert_eq!(keeper.update(&again, &listed(&["v2"]), RETENTION, since), None);
    let too_soon = since + RETENTION - Millis(1);
    assert_eq!(keeper.update(&again, &listed(&["v2"]), RETENTION, too_soon), None);
}

/// A reader that did not read the registry for a while cannot tell what was in it.
#[test]
fn time_before_a_gap_does_not_count() {
    let record = record_of(&["v1", "v2"]);
    let mut keeper = VersionKeeper::default();
    keeper.update(&record, &listed(&["v2"]), RETENTION, Millis(0));
    keeper.restart();
    assert_eq!(keeper.update(&record, &listed(&["v2"]), RETENTION, RETENTION), None);
}

#[test]
fn service_without_endpoints_keeps_its_versions() {
    let record = record_of(&["v1", "v2"]);
    let mut keeper = VersionKeeper::default();
    for now in [Millis(0), RETENTION, RETENTION + RETENTION] {
        assert_eq!(keeper.update(&record, &BTreeSet::new(), RETENTION, now), None);
    }
}
