//! The contract of the object API's stand-in, with its faults.

use fakes::Process;
use rstest::rstest;
use serde_json::{Value, json};
use std::time::{Duration, Instant};
use utils::{HttpError, get_json, post_json, prepare_request, put_json};

const TIMEOUT: Duration = Duration::from_secs(10);

struct Api(Process);

impl Api {
    fn start() -> Api {
        Api(Process::start("chervilspur-fake", &["object-api", "--history", "4"]).unwrap())
    }

    fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.0.address)
    }

    fn get(&self, path: &str) -> Result<Value, HttpError> {
        get_json(&self.url(path), TIMEOUT)
    }

    fn put(&self, path: &str, value: Value) -> Result<Value, HttpError> {
        put_json(&self.url(path), &value, TIMEOUT)
    }

    fn post(&self, path: &str, value: Value) {
        let _: Value = post_json(&self.url(path), &value, TIMEOUT).unwrap();
    }
}

fn status<T: std::fmt::Debug>(result: Result<T, HttpError>) -> u16 {
    match result {
        Err(HttpError::Status { status, .. }) => status,
        Err(HttpError::Exchange { .. }) => 0,
        other => panic!("{other:?}"),
    }
}

#[rstest]
#[case::create_over_an_object("/objects/lists/a?if_version=0", 409)]
#[case::update_of_an_older_version("/objects/lists/a?if_version=1", 409)]
#[case::update_of_nothing("/objects/lists/b?if_version=1", 409)]
fn errors_when_the_condition_does_not_hold(#[case] path: &str, #[case] expected: u16) {
    let api = Api::start();
    api.put("/objects/lists/a?if_version=0", json!(1)).unwrap();
    api.put("/objects/lists/a?if_version=1", json!(2)).unwrap();
    assert_eq!(status(api.put(path, json!(3))), expected);
    assert_eq!(api.get("/objects/lists/a").unwrap(), json!({"version": 2, "value": 2}));
}

#[rstest]
#[case::down(json!({"down": true}), 0, None)]
#[case::refused(json!({"refuse": true}), 429, None)]
#[case::answer_lost(json!({"lose_answers": 1}), 0, Some(json!({"version": 1, "value": "x"})))]
fn can_bring_about_each_fault_of_a_write(
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
fn errors_when_a_value_is_larger_than_the_limit() {
    let api = Api::start();
    assert_eq!(status(api.put("/objects/lists/a", json!("x".repeat(1 << 20)))), 413);
}

#[test]
fn can_list_the_objects_of_a_kind() {
    let api = Api::start();
    api.put("/objects/lists/a", json!(1)).unwrap();
    api.put("/objects/other/b", json!(2)).unwrap();
    let expected = json!({"version": 2, "objects": {"a": {"version": 1, "value": 1}}});
    assert_eq!(api.get("/objects/lists").unwrap(), expected);
}

#[test]
fn can_watch_a_kind_while_other_calls_go_on() {
    let api = Api::start();
    let url = api.url("/objects/lists?watch=0&timeout_ms=9000");
    let watch = std::thread::spawn(move || get_json::<Value>(&url, TIMEOUT).unwrap());
    while api.get("/calls").unwrap()["watch"]["lists"] != 1 {
        std::thread::yield_now();
    }
    api.put("/objects/other/b", json!(1)).unwrap();
    api.put("/objects/lists/a", json!(2)).unwrap();
    let change = json!({"name": "a", "version": 2, "value": 2});
    assert_eq!(watch.join().unwrap(), json!({"version": 2, "changes": [change]}));
}

#[test]
fn can_report_a_deleted_object_to_a_watch() {
    let api = Api::start();
    api.put("/objects/lists/a", json!(1)).unwrap();
    let url = api.url("/objects/lists/a?if_version=1");
    assert_eq!(prepare_request(attohttpc::delete(url), TIMEOUT).send().unwrap().status(), 200);
    assert_eq!(status(api.get("/objects/lists/a")), 404);
    let change = json!({"name": "a", "version": 2, "value": null});
    let answer = api.get("/objects/lists?watch=1&timeout_ms=0").unwrap();
    assert_eq!(answer, json!({"version": 2, "changes": [change]}));
}

#[rstest]
#[case::older_than_the_history(1, 410)]
#[case::newer_than_the_store(7, 410)]
fn errors_when_the_history_of_a_watch_is_gone(#[case] version: u64, #[case] expected: u16) {
    let api = Api::start();
    for value in 0..6 {
        api.put("/objects/lists/a", json!(value)).unwrap();
    }
    let path = format!("/objects/lists?watch={version}&timeout_ms=0");
    assert_eq!(status(api.get(&path)), expected);
    assert!(api.get("/objects/lists?watch=2&timeout_ms=0").is_ok());
}

#[test]
fn errors_when_a_watch_waits_and_the_store_is_restored_older() {
    let api = Api::start();
    for value in 0..6 {
        api.put("/objects/lists/a", json!(value)).unwrap();
    }
    let url = api.url("/objects/lists?watch=6&timeout_ms=9000");
    let watch = std::thread::spawn(move || get_json::<Value>(&url, TIMEOUT));
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
fn errors_when_watches_are_dropped() {
    let api = Api::start();
    api.post("/faults", json!({"drop_watches": true}));
    assert_eq!(status(api.get("/objects/lists?watch=0&timeout_ms=9000")), 0);
    assert!(api.get("/objects/lists").is_ok());
}

#[test]
fn can_be_slow_and_apply_a_write_after_its_caller_left() {
    let api = Api::start();
    api.post("/faults", json!({"slow_ms": 300}));
    let started = Instant::now();
    let url = api.url("/objects/runs/x?if_version=0");
    let written: Result<Value, _> = put_json(&url, &1, Duration::from_millis(50));
    assert_eq!(status(written), 0);
    api.post("/faults", json!({}));
    while api.get("/objects/runs/x").is_err() {
        assert!(started.elapsed() < TIMEOUT, "the write was not applied");
        std::thread::yield_now();
    }
}

#[test]
fn can_count_calls_by_method_and_kind() {
    let api = Api::start();
    api.put("/objects/lists/a", json!(1)).unwrap();
    api.get("/objects/lists/a").unwrap();
    api.get("/objects/lists").unwrap();
    api.get("/objects/lists?watch=0&timeout_ms=0").unwrap();
    let one = json!({"lists": 1});
    let expected = json!({"put": one, "get": one, "list": one, "watch": one});
    assert_eq!(api.get("/calls").unwrap(), expected);
}
