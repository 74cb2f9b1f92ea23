//! Requests from a caller through a daemon to an endpoint and back.

use crate::support::{caller, new_key, start_site};
use serde_json::{Value, json};

#[test]
fn daemon_streams_a_completion_from_an_engine_to_its_caller() {
    let site = start_site(&["--token-ms", "1"]);
    let response = caller(&site, "daemon-1", "plan").chat("", "route", 5);
    assert!(response.is_complete(5), "{response:?}");
    assert_eq!((response.status, response.between_tokens.len()), (200, 4));
    assert!(!response.request.is_empty());
}

#[test]
fn daemon_runs_a_call_of_a_plain_service_once() {
    let site = start_site(&[]);
    let reply = caller(&site, "daemon-1", "booking").call(&new_key("booking"), &json!({}));
    assert_eq!(reply.status, 200, "{reply:?}");
    let runs = site.get("booking-1", "/counts").unwrap();
    let runs: Vec<&Value> = runs.as_object().unwrap().values().collect();
    assert_eq!(runs, [1]);
}

#[test]
fn daemon_reports_that_it_is_alive_and_ready() {
    let site = start_site(&[]);
    for path in ["/healthz", "/readyz"] {
        let url = format!("http://{}{path}", site.address("daemon-1"));
        assert_eq!(attohttpc::get(url).send().unwrap().status(), 200);
    }
}
