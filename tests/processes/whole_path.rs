//! The whole path, from a caller to an endpoint and back.

use crate::support::{caller, new_key, start_site};
use serde_json::{Value, json};

#[test]
fn can_stream_an_answer_from_an_engine_to_a_caller() {
    let site = start_site(&["--token-ms", "1"]);
    let answer = caller(&site, "daemon-1", "plan").chat("", "route", 5);
    assert!(answer.is_complete(5), "{answer:?}");
    assert_eq!((answer.status, answer.between_tokens.len()), (200, 4));
    assert!(!answer.request.is_empty());
}

#[test]
fn can_call_a_plain_service() {
    let site = start_site(&[]);
    let reply = caller(&site, "daemon-1", "booking").call(&new_key("booking"), &json!({}));
    assert_eq!(reply.status, 200, "{reply:?}");
    let runs = site.get("booking-1", "/counts").unwrap();
    let runs: Vec<&Value> = runs.as_object().unwrap().values().collect();
    assert_eq!(runs, [1]);
}

#[test]
fn can_say_whether_it_lives_and_is_ready() {
    let site = start_site(&[]);
    for path in ["/healthz", "/readyz"] {
        let url = format!("http://{}{path}", site.address("daemon-1"));
        assert_eq!(attohttpc::get(url).send().unwrap().status(), 200);
    }
}
