//! The object API client against the fake object API with injected faults.

use fakes::{Process, build_programs};
use rstest::rstest;
use serde_json::{Value, json};
use socket2::{Domain, Socket, Type};
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;
use store::{Change, Store, StoreError};
use utils::post_json;

const TIMEOUT: Duration = Duration::from_secs(10);

struct FakeObjectApi {
    process: Process,
    store: Store,
}

impl FakeObjectApi {
    fn start() -> FakeObjectApi {
        build_programs().unwrap();
        let process =
            Process::start("chervilspur-fake", &["object-api", "--history", "4"]).unwrap();
        let store = Store::new(process.address, TIMEOUT);
        FakeObjectApi { process, store }
    }

    fn post(&self, path: &str, body: Value) {
        let url = format!("http://{}{path}", self.process.address);
        let _: Value = post_json(&url, &body, TIMEOUT).unwrap();
    }
}

fn error_kind(error: &StoreError) -> &'static str {
    match error {
        StoreError::Conflict { .. } => "conflict",
        StoreError::HistoryGone { .. } => "history gone",
        StoreError::Rejected { .. } => "rejected",
        StoreError::Unreachable { .. } => "unreachable",
        StoreError::ResponseLost { .. } => "response lost",
    }
}

/// A bound socket that refuses connections. While it exists, no other test gets its port.
fn bound_without_listener() -> (Socket, SocketAddr) {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    socket.bind(&SocketAddr::from((Ipv4Addr::LOCALHOST, 0)).into()).unwrap();
    let address = socket.local_addr().unwrap().as_socket().unwrap();
    (socket, address)
}

#[rstest]
#[case::down(json!({"down": true}), "response lost", false)]
#[case::response_lost(json!({"lose_answers": 1}), "response lost", true)]
#[case::rejected(json!({"refuse": true}), "rejected", false)]
fn write_errors_when_the_store_has_a_fault(
    #[case] faults: Value,
    #[case] expected: &str,
    #[case] written: bool,
) {
    let api = FakeObjectApi::start();
    api.post("/faults", faults);
    let error = api.store.put("runs", "x", &"mine", 0).unwrap_err();
    assert_eq!(error_kind(&error), expected);
    api.post("/faults", json!({}));
    let object = api.store.get::<String>("runs", "x").unwrap();
    assert_eq!(object.is_some_and(|o| o.value == "mine"), written);
    assert!(error.may_have_written() || !written);
}

#[test]
fn calls_error_when_the_store_responds_after_the_timeout() {
    let api = FakeObjectApi::start();
    api.post("/faults", json!({"slow_ms": 500}));
    let short_timeout = Store::new(api.process.address, Duration::from_millis(50));
    let error = short_timeout.put("runs", "x", &1, 0).unwrap_err();
    assert!(error.may_have_written(), "{error}");
    assert_eq!(error_kind(&short_timeout.get::<u64>("runs", "x").unwrap_err()), "response lost");
}

#[test]
fn write_errors_when_nothing_listens_at_the_store_address() {
    let (_socket, address) = bound_without_listener();
    let store = Store::new(address, TIMEOUT);
    let error = store.put("runs", "x", &1, 0).unwrap_err();
    assert_eq!(error_kind(&error), "unreachable");
    assert!(!error.may_have_written());
}

#[rstest]
#[case::create_existing_object("a", 0, 2)]
#[case::update_outdated_version("a", 1, 2)]
#[case::update_missing_object("b", 5, 0)]
fn write_errors_when_the_object_has_another_version(
    #[case] object: &str,
    #[case] expected: u64,
    #[case] current: u64,
) {
    let api = FakeObjectApi::start();
    assert_eq!(api.store.put("lists", "a", &1, 0), Ok(1));
    assert_eq!(api.store.put("lists", "a", &2, 1), Ok(2));
    let error = api.store.put("lists", object, &3, expected).unwrap_err();
    let path = format!("/objects/lists/{object}");
    assert_eq!(error, StoreError::Conflict { path, current });
}

#[test]
fn write_errors_when_the_value_is_too_large() {
    let api = FakeObjectApi::start();
    let error = api.store.put("lists", "a", &"x".repeat(1 << 20), 0).unwrap_err();
    assert_eq!((error_kind(&error), error.may_have_written()), ("rejected", false));
    assert_eq!(api.store.get::<Value>("lists", "a"), Ok(None));
}

#[test]
fn watch_continues_from_the_version_of_a_list() {
    let api = FakeObjectApi::start();
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
#[case::version_ahead_of_store(9, json!({}), "history gone")]
#[case::connection_dropped(5, json!({"drop_watches": true}), "response lost")]
#[case::down(5, json!({"down": true}), "response lost")]
fn watch_errors_when_the_store_cannot_serve_it(
    #[case] version: u64,
    #[case] faults: Value,
    #[case] expected: &str,
) {
    let api = FakeObjectApi::start();
    for value in 0..6 {
        api.store.put("lists", "a", &value, value).unwrap();
    }
    api.post("/faults", faults);
    let error = api.store.watch::<u64>("lists", version, Duration::ZERO).unwrap_err();
    assert_eq!(error_kind(&error), expected);
}

#[test]
fn client_detects_a_store_restored_to_an_older_version() {
    let api = FakeObjectApi::start();
    for value in 0..6 {
        api.store.put("lists", "a", &value, value).unwrap();
    }
    api.post("/restore", json!({"version": 4}));
    let error = api.store.watch::<u64>("lists", 6, Duration::ZERO).unwrap_err();
    assert_eq!(error_kind(&error), "history gone");
    let (version, objects) = api.store.list::<u64>("lists").unwrap();
    assert_eq!((version, objects["a"].value), (4, 3));
    assert_eq!(error_kind(&api.store.put("lists", "a", &9, 6).unwrap_err()), "conflict");
    assert_eq!(api.store.put("lists", "a", &9, 4), Ok(5));
}

/// Another writer left a text among numbers.
#[test]
fn object_of_another_type_costs_only_itself() {
    let api = FakeObjectApi::start();
    let (version, _) = api.store.list::<u64>("numbers").unwrap();
    api.store.put("numbers", "odd", &"a text", 0).unwrap();
    api.store.put("numbers", "one", &1, 0).unwrap();
    let (_, objects) = api.store.list::<u64>("numbers").unwrap();
    assert_eq!(objects.into_keys().collect::<Vec<_>>(), ["one"]);
    let watched = api.store.watch::<u64>("numbers", version, TIMEOUT).unwrap();
    let names: Vec<&str> = watched.changes.iter().map(|change| change.name.as_str()).collect();
    assert_eq!(names, ["one"]);
}
