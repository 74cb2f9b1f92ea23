//! The client of the object API against a stand-in with faults.

use fakes::{Process, build_programs};
use rstest::rstest;
use serde_json::{Value, json};
use std::net::{SocketAddr, TcpListener};
use std::time::Duration;
use store::{Change, Store, StoreError};
use utils::post_json;

const TIMEOUT: Duration = Duration::from_secs(10);

struct Api {
    process: Process,
    store: Store,
}

impl Api {
    fn start() -> Api {
        build_programs().unwrap();
        let process =
            Process::start("chervilspur-fake", &["object-api", "--history", "4"]).unwrap();
        let store = Store::new(process.address, TIMEOUT);
        Api { process, store }
    }

    fn post(&self, path: &str, body: Value) {
        let url = format!("http://{}{path}", self.process.address);
        let _: Value = post_json(&url, &body, TIMEOUT).unwrap();
    }
}

/// Returns the name of an error, which is enough to tell them apart.
fn name(error: &StoreError) -> &'static str {
    match error {
        StoreError::Conflict { .. } => "conflict",
        StoreError::HistoryGone { .. } => "history gone",
        StoreError::Rejected { .. } => "refused",
        StoreError::Unreachable { .. } => "unreachable",
        StoreError::ResponseLost { .. } => "answer lost",
    }
}

fn unused_address() -> SocketAddr {
    TcpListener::bind(("127.0.0.1", 0)).unwrap().local_addr().unwrap()
}

#[rstest]
#[case::down(json!({"down": true}), "answer lost", false)]
#[case::answer_lost(json!({"lose_answers": 1}), "answer lost", true)]
#[case::refused(json!({"refuse": true}), "refused", false)]
fn errors_when_a_write_meets_a_fault(
    #[case] faults: Value,
    #[case] expected: &str,
    #[case] written: bool,
) {
    let api = Api::start();
    api.post("/faults", faults);
    let error = api.store.put("runs", "x", &"mine", 0).unwrap_err();
    assert_eq!(name(&error), expected);
    api.post("/faults", json!({}));
    let object = api.store.get::<String>("runs", "x").unwrap();
    assert_eq!(object.is_some_and(|o| o.value == "mine"), written);
    assert!(error.may_have_written() || !written);
}

#[test]
fn errors_when_the_store_is_slower_than_the_time_limit() {
    let api = Api::start();
    api.post("/faults", json!({"slow_ms": 500}));
    let hasty = Store::new(api.process.address, Duration::from_millis(50));
    let error = hasty.put("runs", "x", &1, 0).unwrap_err();
    assert!(error.may_have_written(), "{error}");
    assert_eq!(name(&hasty.get::<u64>("runs", "x").unwrap_err()), "answer lost");
}

#[test]
fn errors_when_no_store_listens() {
    let store = Store::new(unused_address(), TIMEOUT);
    let error = store.put("runs", "x", &1, 0).unwrap_err();
    assert_eq!(name(&error), "unreachable");
    assert!(!error.may_have_written());
}

#[rstest]
#[case::create_over_an_object("a", 0, 2)]
#[case::update_of_an_older_version("a", 1, 2)]
#[case::update_of_nothing("b", 5, 0)]
fn errors_when_a_condition_does_not_hold(
    #[case] object: &str,
    #[case] expected: u64,
    #[case] current: u64,
) {
    let api = Api::start();
    assert_eq!(api.store.put("lists", "a", &1, 0), Ok(1));
    assert_eq!(api.store.put("lists", "a", &2, 1), Ok(2));
    let error = api.store.put("lists", object, &3, expected).unwrap_err();
    let path = format!("/objects/lists/{object}");
    assert_eq!(error, StoreError::Conflict { path, current });
}

#[test]
fn errors_when_a_value_is_too_large() {
    let api = Api::start();
    let error = api.store.put("lists", "a", &"x".repeat(1 << 20), 0).unwrap_err();
    assert_eq!((name(&error), error.may_have_written()), ("refused", false));
    assert_eq!(api.store.get::<Value>("lists", "a"), Ok(None));
}

#[test]
fn can_list_and_then_watch_a_kind() {
    let api = Api::start();
    api.store.put("lists", "a", &1, 0).unwrap();
    let (version, objects) = api.store.list::<u64>("lists").unwrap();
    assert_eq!((version, objects["a"].value), (1, 1));
    api.store.put("lists", "a", &2, 1).unwrap();
    let changes = api.store.watch::<u64>("lists", version, Duration::ZERO).unwrap();
    let change = Change { name: String::from("a"), version: 2, value: Some(2) };
    assert_eq!((changes.version, changes.changes), (2, vec![change]));
    let none = api.store.watch::<u64>("lists", 2, Duration::ZERO).unwrap();
    assert!(none.changes.is_empty());
}

#[rstest]
#[case::history_gone(1, json!({}), "history gone")]
#[case::newer_than_the_store(9, json!({}), "history gone")]
#[case::dropped(5, json!({"drop_watches": true}), "answer lost")]
#[case::down(5, json!({"down": true}), "answer lost")]
fn errors_when_a_watch_cannot_go_on(
    #[case] version: u64,
    #[case] faults: Value,
    #[case] expected: &str,
) {
    let api = Api::start();
    for value in 0..6 {
        api.store.put("lists", "a", &value, value).unwrap();
    }
    api.post("/faults", faults);
    let error = api.store.watch::<u64>("lists", version, Duration::ZERO).unwrap_err();
    assert_eq!(name(&error), expected);
}

#[test]
fn can_tell_that_the_store_was_restored_older() {
    let api = Api::start();
    for value in 0..6 {
        api.store.put("lists", "a", &value, value).unwrap();
    }
    api.post("/restore", json!({"version": 4}));
    let error = api.store.watch::<u64>("lists", 6, Duration::ZERO).unwrap_err();
    assert_eq!(name(&error), "history gone");
    let (version, objects) = api.store.list::<u64>("lists").unwrap();
    assert_eq!((version, objects["a"].value), (4, 3));
    assert_eq!(name(&api.store.put("lists", "a", &9, 6).unwrap_err()), "conflict");
    assert_eq!(api.store.put("lists", "a", &9, 4), Ok(5));
}
