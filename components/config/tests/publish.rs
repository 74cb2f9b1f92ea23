//! Publishing edits of the lists: version conflicts, lost responses, parts and digests.

mod memory_store;

use config::{
    Accepted, Edit, LISTS_KIND, LISTS_NAME, Lists, ObjectStore, PART_KIND, PublishError, ReadError,
    Reader, Source, check_lists,
};
use memory_store::{Fault, MemoryStore};
use rstest::rstest;
use serde_json::{Value, json};
use std::collections::BTreeSet;
use store::StoreError;

fn lists(accounts: u32) -> Lists {
    let plans = Source { file: "plans.toml", text: include_str!("data/plans.toml") };
    let grants = Source { file: "grants.toml", text: include_str!("data/grants.toml") };
    let mut lists = check_lists(plans, grants).unwrap();
    let template = lists.plans.accounts["sur"].clone();
    for number in 0..accounts {
        lists.plans.accounts.insert(format!("account-{number}"), template.clone());
    }
    lists
}

fn publish(objects: &MemoryStore, lists: &Lists, base: u64) -> Result<Accepted, PublishError> {
    Edit::new(lists, base).publish(objects)
}

#[test]
fn each_edit_increments_the_revision() {
    let objects = MemoryStore::default();
    assert_eq!(publish(&objects, &lists(0), 0).unwrap().revision, 1);
    assert_eq!(publish(&objects, &lists(1), 1).unwrap().revision, 2);
    let read = Reader::default().read(&objects).unwrap().unwrap();
    assert_eq!((read.revision, read.lists), (2, lists(1)));
}

#[rstest]
#[case::lost_applied(&[Fault::LostApplied], Ok(1))]
#[case::lost_unapplied(&[Fault::LostUnapplied], Ok(1))]
#[case::lost_three_times(&[Fault::LostUnapplied, Fault::LostApplied, Fault::LostApplied], Ok(1))]
#[case::always_lost(&[Fault::LostUnapplied; 4], Err("may have been accepted"))]
#[case::lost_then_unreachable(
    &[Fault::LostApplied, Fault::Unreachable],
    Err("may have been accepted")
)]
#[case::unreachable(&[Fault::Unreachable], Err("this call changed nothing"))]
#[case::rejected(&[Fault::Rejected], Err("this call changed nothing"))]
fn publish_reports_whether_an_edit_was_accepted(
    #[case] faults: &[Fault],
    #[case] expected: Result<u64, &str>,
) {
    let objects = MemoryStore::with_faults(faults);
    match (publish(&objects, &lists(0), 0), expected) {
        (Ok(accepted), Ok(revision)) => assert_eq!(accepted.revision, revision),
        (Err(e), Err(text)) => assert!(e.to_string().contains(text), "{e}"),
        (found, _) => panic!("{found:?}"),
    }
    let again = publish(&objects, &lists(0), 0).unwrap();
    assert_eq!(again.revision, 1);
    assert_eq!(objects.writes_applied(), 1);
}

#[test]
fn publish_rejects_the_second_edit_based_on_one_revision() {
    let objects = MemoryStore::default();
    publish(&objects, &lists(0), 0).unwrap();
    publish(&objects, &lists(1), 1).unwrap();
    let rejected = publish(&objects, &lists(2), 1).unwrap_err();
    assert_eq!(rejected, PublishError::Conflict { base_revision: 1, active_revision: 2 });
    assert!(rejected.to_string().contains("revision 2 is active, but the edit starts from"));
}

#[rstest]
#[case::after_a_lost_response(&[Fault::LostUnapplied, Fault::ConcurrentWrite])]
#[case::on_the_first_attempt(&[Fault::ConcurrentWrite])]
fn publish_rejects_an_edit_when_another_is_written_first(#[case] faults: &[Fault]) {
    let objects = MemoryStore::with_faults(faults);
    let rejected = publish(&objects, &lists(2), 0).unwrap_err();
    assert_eq!(rejected, PublishError::Conflict { base_revision: 0, active_revision: 1 });
}

#[test]
fn publish_reports_an_unknown_outcome_when_a_lost_edit_may_have_been_replaced() {
    let objects = MemoryStore::with_faults(&[Fault::LostApplied, Fault::ConcurrentWrite]);
    let unknown = publish(&objects, &lists(2), 0).unwrap_err();
    assert!(matches!(unknown, PublishError::Unknown { revision: 1, .. }), "{unknown:?}");
}

#[test]
fn edit_exceeds_a_revision_that_a_restored_store_lacks() {
    let objects = MemoryStore::default();
    publish(&objects, &lists(0), 0).unwrap();
    let (old, new) = (lists(0), lists(1));
    let edit = Edit { above_revision: 7, ..Edit::new(&new, 1) };
    assert_eq!(edit.publish(&objects).unwrap().revision, 8);
    let edit = Edit { above_revision: 9, ..Edit::new(&old, 8) };
    assert_eq!(edit.publish(&objects).unwrap().revision, 10);
    let same = Edit { above_revision: 12, ..Edit::new(&old, 10) };
    assert_eq!(same.publish(&objects).unwrap().revision, 13);
}

#[test]
fn reader_fetches_only_the_parts_that_changed() {
    let objects = MemoryStore::default();
    let mut lists = lists(3_000);
    let publish_in_parts = |lists: &Lists, base| {
        let edit = Edit { inline_limit_bytes: 1_000, ..Edit::new(lists, base) };
        edit.publish(&objects).unwrap()
    };
    publish_in_parts(&lists, 0);
    let mut reader = Reader::default();
    assert_eq!(reader.read(&objects).unwrap().unwrap().lists, lists);
    lists.plans.accounts.insert("one-more".to_string(), lists.plans.accounts["sur"].clone());
    publish_in_parts(&lists, 1);
    let before = objects.reads();
    assert_eq!(reader.read(&objects).unwrap().unwrap().lists, lists);
    assert_eq!(objects.reads() - before, 2);
}

#[rstest]
#[case::lists(false)]
#[case::part(true)]
fn reader_rejects_content_with_another_digest(#[case] in_parts: bool) {
    let objects = MemoryStore::default();
    let lists = lists(10);
    let inline_limit_bytes = if in_parts { 100 } else { 1_000_000 };
    Edit { inline_limit_bytes, ..Edit::new(&lists, 0) }.publish(&objects).unwrap();
    let kind = if in_parts { PART_KIND } else { LISTS_KIND };
    objects.edit(kind, |value| {
        let lists = if in_parts { value } else { &mut value["lists"] };
        lists["plans"]["accounts"]["sur"] = json!({"plan": "silver", "key_sha256": "0"});
    });
    let rejected = Reader::default().read(&objects).unwrap_err();
    assert!(matches!(rejected, ReadError::Digest { revision: 1, .. }), "{rejected:?}");
}

#[test]
fn reader_errors_when_a_part_is_missing_or_the_store_is_down() {
    let objects = MemoryStore::default();
    let manifest = json!({"revision": 3, "digest": "d", "parts": ["p"]});
    objects.write(LISTS_KIND, LISTS_NAME, &manifest, 0).unwrap();
    let missing = Reader::default().read(&objects).unwrap_err();
    assert_eq!(missing, ReadError::PartMissing { revision: 3, part: "p".to_string() });
    objects.stop();
    let down = publish(&objects, &lists(0), 3).unwrap_err();
    let is_unreachable = |source: &ReadError| {
        matches!(source, ReadError::Fetch { source: StoreError::Unreachable { .. } })
    };
    assert!(matches!(&down, PublishError::Read { source } if is_unreachable(source)), "{down:?}");
}

#[test]
fn differences_lists_the_keys_that_an_edit_changes() {
    let (before, mut after) = (lists(0), lists(0));
    after.plans.accounts.remove("keepers");
    after.grants.classes.get_mut("digest").unwrap().target.finish_ms = 1;
    let changed = config::differences(&before, &after);
    let keys: BTreeSet<&str> = changed.iter().map(|d| d.key.as_str()).collect();
    let expected = [
        "grants.classes.digest.target.finish_ms",
        "plans.accounts.keepers.key_sha256",
        "plans.accounts.keepers.plan",
    ];
    assert_eq!(keys, BTreeSet::from(expected));
    assert_eq!(changed[0].before, Some(Value::from(600_000)));
    assert_eq!(changed[0].after, Some(Value::from(1)));
}
