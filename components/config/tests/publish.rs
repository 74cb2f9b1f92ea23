//! Accepting an edit of the lists: conditions, lost answers, parts and digests.

mod memory;

use config::{
    Accepted, Edit, LISTS_KIND, LISTS_NAME, Lists, Objects, PART_KIND, PublishError, ReadError,
    Reader, Source, check_lists,
};
use memory::{Fault, Memory};
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

fn publish(objects: &Memory, lists: &Lists, base: u64) -> Result<Accepted, PublishError> {
    Edit::new(lists, base).publish(objects)
}

#[test]
fn can_add_one_to_the_revision_with_each_edit() {
    let objects = Memory::default();
    assert_eq!(publish(&objects, &lists(0), 0).unwrap().revision, 1);
    assert_eq!(publish(&objects, &lists(1), 1).unwrap().revision, 2);
    let read = Reader::default().read(&objects).unwrap().unwrap();
    assert_eq!((read.revision, read.lists), (2, lists(1)));
}

#[rstest]
#[case::applied(&[Fault::LostApplied], Ok(1))]
#[case::not_applied(&[Fault::LostUnapplied], Ok(1))]
#[case::lost_often(&[Fault::LostUnapplied, Fault::LostApplied, Fault::LostApplied], Ok(1))]
#[case::always_lost(&[Fault::LostUnapplied; 4], Err("may have been accepted"))]
#[case::lost_then_down(&[Fault::LostApplied, Fault::Unreachable], Err("may have been accepted"))]
#[case::down(&[Fault::Unreachable], Err("this call changed nothing"))]
#[case::refused(&[Fault::Refused], Err("this call changed nothing"))]
fn can_tell_whether_an_edit_was_accepted(
    #[case] faults: &[Fault],
    #[case] expected: Result<u64, &str>,
) {
    let objects = Memory::with_faults(faults);
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
fn errors_when_two_operators_start_from_one_revision() {
    let objects = Memory::default();
    publish(&objects, &lists(0), 0).unwrap();
    publish(&objects, &lists(1), 1).unwrap();
    let refused = publish(&objects, &lists(2), 1).unwrap_err();
    assert_eq!(refused, PublishError::Conflict { base_revision: 1, active_revision: 2 });
    assert!(refused.to_string().contains("revision 2 is in force, but the edit starts from"));
}

#[rstest]
#[case::after_a_lost_answer(&[Fault::LostUnapplied, Fault::Overtaken])]
#[case::at_once(&[Fault::Overtaken])]
fn errors_when_another_operator_writes_first(#[case] faults: &[Fault]) {
    let objects = Memory::with_faults(faults);
    let refused = publish(&objects, &lists(2), 0).unwrap_err();
    assert_eq!(refused, PublishError::Conflict { base_revision: 0, active_revision: 1 });
}

#[test]
fn errors_when_a_lost_edit_may_have_been_replaced() {
    let objects = Memory::with_faults(&[Fault::LostApplied, Fault::Overtaken]);
    let unknown = publish(&objects, &lists(2), 0).unwrap_err();
    assert!(matches!(unknown, PublishError::Unknown { revision: 1, .. }), "{unknown:?}");
}

#[test]
fn can_exceed_a_revision_that_a_restored_store_has_forgotten() {
    let objects = Memory::default();
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
fn can_read_lists_in_parts_and_fetch_only_what_changed() {
    let objects = Memory::default();
    let mut lists = lists(3_000);
    let in_parts = |lists: &Lists, base| {
        let edit = Edit { inline_limit_bytes: 1_000, ..Edit::new(lists, base) };
        edit.publish(&objects).unwrap()
    };
    in_parts(&lists, 0);
    let mut reader = Reader::default();
    assert_eq!(reader.read(&objects).unwrap().unwrap().lists, lists);
    lists.plans.accounts.insert("one-more".to_string(), lists.plans.accounts["sur"].clone());
    in_parts(&lists, 1);
    let before = objects.reads();
    assert_eq!(reader.read(&objects).unwrap().unwrap().lists, lists);
    assert_eq!(objects.reads() - before, 2);
}

#[rstest]
#[case::lists(false)]
#[case::part(true)]
fn errors_when_the_content_has_another_digest(#[case] in_parts: bool) {
    let objects = Memory::default();
    let lists = lists(10);
    let inline_limit_bytes = if in_parts { 100 } else { 1_000_000 };
    Edit { inline_limit_bytes, ..Edit::new(&lists, 0) }.publish(&objects).unwrap();
    let kind = if in_parts { PART_KIND } else { LISTS_KIND };
    objects.edit(kind, |value| {
        let lists = if in_parts { value } else { &mut value["lists"] };
        lists["plans"]["accounts"]["sur"] = json!({"plan": "silver", "key_sha256": "0"});
    });
    let refused = Reader::default().read(&objects).unwrap_err();
    assert!(matches!(refused, ReadError::Digest { revision: 1, .. }), "{refused:?}");
}

#[test]
fn errors_when_a_part_is_missing_or_the_store_is_down() {
    let objects = Memory::default();
    let manifest = json!({"revision": 3, "digest": "d", "parts": ["p"]});
    objects.write(LISTS_KIND, LISTS_NAME, &manifest, 0).unwrap();
    let missing = Reader::default().read(&objects).unwrap_err();
    assert_eq!(missing, ReadError::PartMissing { revision: 3, part: "p".to_string() });
    objects.stop();
    let down = publish(&objects, &lists(0), 3).unwrap_err();
    let expected = |source: &ReadError| {
        matches!(source, ReadError::Fetch { source: StoreError::Unreachable { .. } })
    };
    assert!(matches!(&down, PublishError::Read { source } if expected(source)), "{down:?}");
}

#[test]
fn can_show_what_an_edit_changes() {
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
