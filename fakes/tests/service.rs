//! Tests of the stand-ins for a plain service and for the instance list, with their injected faults.

use fakes::Process;
use rstest::rstest;
use serde_json::{Value, json};
use std::time::Duration;
use utils::{get_json, post_json, prepare_request};

const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);

fn start(args: &[&str]) -> Process {
    Process::start("chervilspur-fake", args).unwrap()
}

fn get(process: &Process, path: &str) -> Value {
    get_json(&format!("http://{}{path}", process.address), REQUEST_TIMEOUT).unwrap()
}

fn post(process: &Process, path: &str, body: Value) -> Value {
    post_json(&format!("http://{}{path}", process.address), &body, REQUEST_TIMEOUT).unwrap()
}

/// Calls the service; returns the status, or 0 if there was no response, and its verdict header.
fn call(process: &Process, key: &str) -> (u16, Option<String>) {
    let url = format!("http://{}/call", process.address);
    let sent = prepare_request(attohttpc::post(url), REQUEST_TIMEOUT)
        .header("idempotency-key", key)
        .send();
    let Ok(res) = sent else { return (0, None) };
    let verdict = res.headers().get("x-verdict").and_then(|v| v.to_str().ok());
    (res.status().as_u16(), verdict.map(str::to_string))
}

#[rstest]
#[case::no_fault("/faults", json!({}), (200, None), 1)]
#[case::response_lost("/faults", json!({"lose_answers": 1}), (0, None), 1)]
#[case::down("/faults", json!({"down": true}), (0, None), 0)]
#[case::rejected("/faults", json!({"refuse_not_started": true}), (503, Some("not_run")), 0)]
#[case::slow("/faults", json!({"slow_ms": 20}), (200, None), 1)]
#[case::leaving("/v1/leave", json!({}), (503, Some("not_run")), 0)]
fn call_is_affected_by_each_fault(
    #[case] path: &str,
    #[case] body: Value,
    #[case] expected: (u16, Option<&str>),
    #[case] runs: u64,
) {
    let service = start(&["service"]);
    post(&service, path, body);
    let (status, verdict) = call(&service, "key-1");
    assert_eq!((status, verdict.as_deref()), expected);
    let expected = if runs == 0 { json!({}) } else { json!({"key-1": runs}) };
    assert_eq!(get(&service, "/counts"), expected);
}

#[rstest]
#[case::not_checked(&["service"], 2)]
#[case::checked(&["service", "--checks-key"], 1)]
fn service_counts_the_runs_of_an_idempotency_key(#[case] args: &[&str], #[case] runs: u64) {
    let service = start(args);
    call(&service, "key-1");
    call(&service, "key-1");
    assert_eq!(get(&service, "/counts"), json!({"key-1": runs}));
    assert_eq!(get(&service, "/v1/description")["checks_key"], runs == 1);
}

fn list(state: &str) -> Value {
    json!({"instances": [{
        "name": "engine-1", "kind": "engine", "address": "127.0.0.1:9", "data_centre": "squamish",
        "region": "coast", "state": state,
    }]})
}

#[rstest]
#[case::without_lag("0", list("leaving"))]
#[case::with_lag("60000", json!({"instances": []}))]
fn instance_list_shows_changes_after_the_lag(#[case] lag_ms: &str, #[case] expected: Value) {
    let instances = start(&["instances", "--lag-ms", lag_ms]);
    post(&instances, "/instances", list("live"));
    post(&instances, "/instances", list("leaving"));
    assert_eq!(get(&instances, "/instances"), expected);
}

#[test]
fn instance_list_rejects_a_malformed_list_and_fails_while_down() {
    let instances = start(&["instances"]);
    let url = format!("http://{}/instances", instances.address);
    assert!(post_json::<_, Value>(&url, &list("gone"), REQUEST_TIMEOUT).is_err());
    post(&instances, "/faults", json!({"down": true}));
    assert!(get_json::<Value>(&url, REQUEST_TIMEOUT).is_err());
}
