//! Refusals of a daemon: status, headers and JSON error of each.

use crate::support::{KEY, start_site};
use rstest::rstest;
use serde_json::Value;
use std::time::Duration;
use utils::prepare_request;

const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);
const CHAT: &str = "/v1/chat/completions";
const BODY: &str = r#"{"messages": [{"role": "user", "content": "plan"}], "stream": true}"#;

#[rstest]
#[case::no_key(CHAT, "", "plan", BODY, 401, "unknown_account")]
#[case::unknown_key(CHAT, "key-2", "plan", BODY, 401, "unknown_account")]
#[case::no_class(CHAT, KEY, "", BODY, 400, "unknown_class")]
#[case::unknown_class(CHAT, KEY, "gossip", BODY, 400, "unknown_class")]
#[case::class_not_in_plan(CHAT, KEY, "audit", BODY, 403, "class_not_in_plan")]
#[case::malformed_json(CHAT, KEY, "plan", "{", 400, "malformed_request")]
#[case::no_messages(CHAT, KEY, "plan", r#"{"stream": true}"#, 400, "malformed_request")]
#[case::empty_messages(CHAT, KEY, "plan", r#"{"messages": []}"#, 400, "malformed_request")]
#[case::wrong_message(CHAT, KEY, "plan", r#"{"messages": [1]}"#, 400, "malformed_request")]
#[case::too_large(CHAT, KEY, "plan", &large_body(1 << 20), 413, "body_too_large")]
#[case::far_too_large(CHAT, KEY, "plan", &large_body(16 << 20), 413, "body_too_large")]
#[case::no_endpoint(CHAT, KEY, "digest", BODY, 503, "no_endpoint")]
#[case::call_without_key(CHAT, "", "booking", BODY, 401, "unknown_account")]
#[case::call_with_a_large_body("/v1/call", KEY, "booking", &large_body(1 << 20), 413, "body_too_large")]
#[case::unknown_path("/v2/chat", KEY, "plan", BODY, 404, "unknown_request")]
fn daemon_refuses_an_invalid_request_with_a_typed_error(
    #[case] path: &str,
    #[case] key: &str,
    #[case] class: &str,
    #[case] body: &str,
    #[case] status: u16,
    #[case] reason: &str,
) {
    let site = start_site(&[]);
    let url = format!("http://{}{path}", site.address("daemon-1"));
    let res = prepare_request(attohttpc::post(url), REQUEST_TIMEOUT)
        .header("authorization", format!("Bearer {key}"))
        .header("x-request-class", class)
        .text(body)
        .send()
        .unwrap();
    assert_eq!(res.status().as_u16(), status);
    assert_eq!(res.headers()["content-type"], "application/json");
    assert_eq!(res.headers()["x-verdict"], "not_run");
    let error: Value = serde_json::from_str(&res.text().unwrap()).unwrap();
    assert_eq!(error["error"]["reason"], reason, "{error}");
    assert_eq!(error["error"]["verdict"], "not_run", "{error}");
    assert!(error["request"].is_string() && error["error"]["message"].is_string(), "{error}");
}

fn large_body(bytes: usize) -> String {
    format!(r#"{{"messages": [{{"role": "user", "content": "{}"}}]}}"#, "x".repeat(bytes))
}
