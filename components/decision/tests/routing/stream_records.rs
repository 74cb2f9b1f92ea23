use decision::Millis;
use decision::routing::{
    BegunStream, SoftwareVersion, StreamBatch, StreamKey, StreamRecords, batch_interval,
};
use rstest::rstest;
use std::collections::BTreeSet;

const EXPIRES: Millis = Millis(10_000);

fn version(version: &str) -> SoftwareVersion {
    SoftwareVersion { service: "pool".to_owned(), version: version.to_owned() }
}

fn stream(id: &str, origin: &str) -> BegunStream {
    BegunStream {
        key: StreamKey::new(Some("north"), id),
        account: "north".to_owned(),
        endpoint: "i-1".to_owned(),
        origin: version(origin),
        expires: EXPIRES,
    }
}

fn key(id: &str) -> StreamKey {
    StreamKey::new(Some("north"), id)
}

fn pool() -> BTreeSet<String> {
    BTreeSet::from(["pool".to_owned()])
}

#[test]
fn daemon_reads_the_streams_that_another_one_wrote() {
    let mut writer = StreamRecords::default();
    for number in 0..100 {
        let origin = if number % 3 == 0 { "v1" } else { "v2" };
        writer.record(stream(&format!("r{number}"), origin), Millis(0));
    }
    let text = serde_json::to_string(&writer.batch(&pool())).unwrap();
    let batch: StreamBatch = serde_json::from_str(&text).unwrap();
    let mut reader = StreamRecords::default();
    assert_eq!(reader.add_read(&batch, EXPIRES), Ok(100));
    for number in 0..100 {
        let origin = if number % 3 == 0 { "v1" } else { "v2" };
        assert_eq!(reader.origin(key(&format!("r{number}"))), Some(&version(origin)));
    }
    assert_eq!(reader.origin(key("r100")), None);
    assert!(reader.is_empty(), "streams that were read are not written again");
}

#[test]
fn account_cannot_name_a_stream_of_another_account() {
    let mut records = StreamRecords::default();
    records.record(stream("r1", "v1"), Millis(0));
    for other in [Some("south"), None, Some("northr")] {
        assert_eq!(records.origin(StreamKey::new(other, "r1")), None, "{other:?}");
    }
}

#[test]
fn stream_is_kept_until_its_client_no_longer_waits() {
    let mut records = StreamRecords::default();
    records.record(stream("r1", "v1"), Millis(0));
    let batch = records.batch(&pool());
    let mut reader = StreamRecords::default();
    reader.add_read(&batch, EXPIRES).unwrap();
    for records in [&mut records, &mut reader] {
        records.expire(EXPIRES - Millis(1));
        assert_eq!(records.origin(key("r1")), Some(&version("v1")));
        records.expire(EXPIRES);
        assert_eq!(records.origin(key("r1")), None);
    }
}

#[test]
fn id_of_two_streams_at_two_versions_is_unknown() {
    let mut records = StreamRecords::default();
    records.record(stream("r1", "v1"), Millis(0));
    records.record(stream("r1", "v1"), Millis(1));
    assert_eq!(records.origin(key("r1")), Some(&version("v1")));
    records.record(stream("r1", "v2"), Millis(2));
    records.record(stream("r1", "v2"), Millis(3));
    assert_eq!(records.origin(key("r1")), None);
    assert_eq!(records.batch(&pool()), StreamBatch::default());
}

#[test]
fn stream_at_an_endpoint_of_an_unknown_version_is_not_recorded() {
    let mut records = StreamRecords::default();
    records.record(stream("r1", ""), Millis(0));
    assert!(records.is_empty());
}

/// Its first events may come from the version that it had after the restart.
#[rstest]
#[case::began_before_the_restart_can_have_happened(5_000, true)]
#[case::began_shortly_before_the_entry_changed(4_999, false)]
fn stream_at_an_endpoint_that_restarted_with_another_version(
    #[case] noticed_after: u64,
    #[case] is_known: bool,
) {
    let mut records = StreamRecords::default();
    records.record(stream("r1", "v1"), Millis(0));
    records.forget_restarted("i-2", "v2", Millis(100));
    records.forget_restarted("i-1", "v1", Millis(100));
    assert!(records.origin(key("r1")).is_some());
    records.forget_restarted("i-1", "v2", Millis(noticed_after));
    assert_eq!(records.origin(key("r1")).is_some(), is_known);
}

#[test]
fn account_with_many_streams_takes_no_room_from_others() {
    let mut records = StreamRecords::default();
    let quiet = BegunStream { account: "south".to_owned(), ..stream("quiet", "v1") };
    records.record(quiet.clone(), Millis(0));
    for number in 0..20_000 {
        records.record(stream(&format!("r{number}"), "v1"), Millis(number));
    }
    assert_eq!(records.len(), 4_097);
    for (id, is_kept) in [("quiet", true), ("r0", false), ("r15903", false), ("r15904", true)] {
        let key = if id == "quiet" { quiet.key } else { key(id) };
        assert_eq!(records.origin(key).is_some(), is_kept, "{id}");
    }
}

#[test]
fn batch_that_cannot_be_decoded_names_service_and_version() {
    let batch: StreamBatch = serde_json::from_str(r#"{"services":{"pool":{"v1":"?"}}}"#).unwrap();
    let error = StreamRecords::default().add_read(&batch, EXPIRES).unwrap_err();
    assert!(error.contains("pool") && error.contains("v1"), "{error}");
}

#[rstest]
#[case::small(Some(7), 400.0, 250)]
#[case::large(Some(300), 3_200.0, 375)]
#[case::unknown(None, 400.0, 1_000)]
fn batches_of_all_daemons_use_a_quarter_of_the_writes(
    #[case] daemons: Option<usize>,
    #[case] writes_per_second: f64,
    #[case] interval_ms: u64,
) {
    assert_eq!(batch_interval(daemons, writes_per_second), Millis(interval_ms));
}
