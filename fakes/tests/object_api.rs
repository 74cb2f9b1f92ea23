//! Tests of the stand-in for the object API and its injected faults.

use fakes::Process;
use rstest::rstest;
use serde_json::{Value, json};
use std::time::{Duration, Instant};
use utils::{HttpError, get_json, post_json, prepare_request, put_json};

const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);

struct Api(Process);

impl Api {
    fn start() -> Api {
        Api(Process::start("chervilspur-fake", &["object-api", "--history", "4"]).unwrap())
    }

    fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.0.address)
    }

    fn get(&self, path: &str) -> Result<Value, HttpError> {
        get_json(&self.url(path), REQUEST_TIMEOUT)
    }

    fn put(&self, path: &str, value: Value) -> Result<Value, HttpError> {
        put_json(&self.url(path), &value, REQUEST_TIMEOUT)
    }

    fn post(&self, path: &str, value: Value) {
        let _: Value = post_json(&self.url(path), &value, REQUEST_TIMEOUT).unwrap();
    }
}

/// The status of a failed call, or 0 if there was no response.
fn status<T: std::fmt::Debug>(result: Result<T, HttpError>) -> u16 {
    match result {
        Err(HttpError::Status { status, .. }) => status,
        Err(HttpError::Exchange { .. }) => 0,
        other => panic!("{other:?}"),
    }
}

#[rstest]
#[case::create_of_an_existing_object("/objects/lists/a?if_version=0", 409)]
#[case::update_of_an_outdated_version("/objects/lists/a?if_version=1", 409)]
#[case::update_of_a_missing_object("/objects/lists/b?if_version=1", 409)]
fn write_fails_when_its_version_condition_does_not_hold(#[case] path: &str, #[case] expected: u16) {
    let api = Api::start();
    api.put("/objects/lists/a?if_version=0", json!(1)).unwrap();
    api.put("/objects/lists/a?if_version=1", json!(2)).unwrap();
    assert_eq!(status(api.put(path, json!(3))), expected);
    assert_eq!(api.get("/objects/lists/a").unwrap(), json!({"version": 2, "value": 2}));
}

#[rstest]
#[case::down(json!({"down": true}), 0, None)]
#[case::rejected(json!({"refuse": true}), 429, None)]
#[case::response_lost(json!({"lose_answers": 1}), 0, Some(json!({"version": 1, "value": "x"})))]
fn write_is_affected_by_each_fault(
    #[case] faults: Value,
    #[case] expected: u16,
    #[case] written: Option<Value>,
) {
    let api = Api::start();
    api.post("/faults", faults);
    assert_eq!(status(api.put("/objects/runs/x?if_version=0", json!("x"))), expected);
    api.post("/faults", json!({}));
    match written {
        Some(object) => assert_eq!(api.get("/objects/runs/x").unwrap(), object),
        None => assert_eq!(status(api.get("/objects/runs/x")), 404),
    }
}

#[test]
fn write_of_a_value_over_the_body_limit_is_rejected() {
    let api = Api::start();
    assert_eq!(status(api.put("/objects/lists/a", json!("x".repeat(1 << 20)))), 413);
}

#[test]
fn list_returns_only_the_objects_of_its_kind() {
    let api = Api::start();
    api.put("/objects/lists/a", json!(1)).unwrap();
    api.put("/objects/other/b", json!(2)).unwrap();
    let expected = json!({"version": 2, "objects": {"a": {"version": 1, "value": 1}}});
    assert_eq!(api.get("/objects/lists").unwrap(), expected);
}

#[test]
fn watch_returns_a_change_of_its_kind_while_other_calls_are_served() {
    let api = Api::start();
    let url = api.url("/objects/lists?watch=0&timeout_ms=9000");
    let watch = std::thread::spawn(move || get_json::<Value>(&url, REQUEST_TIMEOUT).unwrap());
    while api.get("/calls").unwrap()["watch"]["lists"] != 1 {
        std::thread::yield_now();
    }
    api.put("/objects/other/b", json!(1)).unwrap();
    api.put("/objects/lists/a", json!(2)).unwrap();
    let change = json!({"name": "a", "version": 2, "value": 2});
    assert_eq!(watch.join().unwrap(), json!({"version": 2, "changes": [change]}));
}

#[test]
fn watch_reports_a_deletion_with_a_null_value() {
    let api = Api::start();
    api.put("/objects/lists/a", json!(1)).unwrap();
    let url = api.url("/objects/lists/a?if_version=1");
    assert_eq!(
        prepare_request(attohttpc::delete(url), REQUEST_TIMEOUT).send().unwrap().status(),
        200
    );
    assert_eq!(status(api.get("/objects/lists/a")), 404);
    let change = json!({"name": "a", "version": 2, "value": null});
    let response = api.get("/objects/lists?watch=1&timeout_ms=0").unwrap();
    assert_eq!(response, json!({"version": 2, "changes": [change]}));
}

#[rstest]
#[case::older_than_the_history(1, 410)]
#[case::newer_than_the_last_write(7, 410)]
fn watch_from_a_version_outside_the_history_is_gone(#[case] version: u64, #[case] expected: u16) {
    let api = Api::start();
    for value in 0..6 {
        api.put("/objects/lists/a", json!(value)).unwrap();
    }
    let path = format!("/objects/lists?watch={version}&timeout_ms=0");
    assert_eq!(status(api.get(&path)), expected);
    assert!(api.get("/objects/lists?watch=2&timeout_ms=0").is_ok());
}

#[test]
fn waiting_watch_is_gone_when_an_older_version_is_restored() {
    let api = Api::start();
    for value in 0..6 {
        api.put("/objects/lists/a", json!(value)).unwrap();
    }
    let url = api.url("/objects/lists?watch=6&timeout_ms=9000");
    let watch = std::thread::spawn(move || get_json::<Value>(&url, REQUEST_TIMEOUT));
    while api.get("/calls").unwrap()["watch"]["lists"] != 1 {
        std::thread::yield_now();
    }
    api.post("/restore", json!({"version": 4}));
    assert_eq!(status(watch.join().unwrap()), 410);
    assert_eq!(api.get("/objects/lists/a").unwrap(), json!({"version": 4, "value": 3}));
    let again = api.put("/objects/lists/a?if_version=4", json!("new")).unwrap();
    assert_eq!(again["version"], 5);
}

#[test]
fn fault_drop_watches_closes_watches_and_no_other_calls() {
    let api = Api::start();
    api.post("/faults", json!({"drop_watches": true}));
    assert_eq!(status(api.get("/objects/lists?watch=0&timeout_ms=9000")), 0);
    assert!(api.get("/objects/lists").is_ok());
}

#[test]
fn slow_write_is_applied_after_its_caller_has_disconnected() {
    let api = Api::start();
    api.post("/faults", json!({"slow_ms": 300}));
    let started = Instant::now();
    let url = api.url("/objects/runs/x?if_version=0");
    let written: Result<Value, _> = put_json(&url, &1, Duration::from_millis(50));
    assert_eq!(status(written), 0);
    api.post("/faults", json!({}));
    while api.get("/objects/runs/x").is_err() {
        assert!(
            started.elapsed() < REQUEST_TIMEOUT,
            "the write was not applied within {} s",
            REQUEST_TIMEOUT.as_secs()
        );
        std::thread::yield_now();
    }
}

#[test]
fn calls_are_counted_by_method_and_kind() {
    let api = Api::start();
    api.put("/objects/lists/a", json!(1)).unwrap();
    api.get("/objects/lists/a").unwrap();
    api.get("/objects/lists").unwrap();
    api.get("/objects/lists?watch=0&timeout_ms=0").unwrap();
    let one = json!({"lists": 1});
    let expected = json!({"put": one, "get": one, "list": one, "watch": one});
    assert_eq!(api.get("/calls").unwrap(), expected);
}
