//! Tests of the stand-in for a model engine and its injected faults.

use fakes::{Caller, Process, completion_length, completion_text};
use rstest::rstest;
use serde_json::{Value, json};
use std::io::{BufRead, BufReader};
use std::thread::{self, JoinHandle};
use std::time::Duration;
use utils::{get_json, post_json, prepare_request};

const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);

struct Engine(Process);

/// A response to a chat request, as far as it was received.
#[derive(Debug, Default)]
struct ChatResponse {
    status: u16,
    not_run: bool,
    /// The events with a token.
    events: Vec<Value>,
    /// The event with the finish reason.
    end: Option<Value>,
    /// Whether `[DONE]` was received.
    done: bool,
}

impl ChatResponse {
    fn record_event(&mut self, event: Value) {
        if event["finish_reason"].is_null() {
            self.events.push(event);
        } else {
            self.end = Some(event);
        }
    }

    fn text(&self) -> String {
        self.events.iter().filter_map(|e| e["token"].as_str()).collect()
    }
}

impl Engine {
    fn start(args: &[&str]) -> Engine {
        let has_token_ms = args.contains(&"--token-ms");
        let default_args: &[&str] = if has_token_ms { &[] } else { &["--token-ms", "1"] };
        let args = [&["engine"], default_args, args].concat();
        Engine(Process::start("chervilspur-fake", &args).unwrap())
    }

    fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.0.address)
    }

    fn get(&self, path: &str) -> Value {
        get_json(&self.url(path), REQUEST_TIMEOUT).unwrap()
    }

    fn post(&self, path: &str, body: Value) -> Value {
        post_json(&self.url(path), &body, REQUEST_TIMEOUT).unwrap()
    }

    fn chat(
        &self,
        id: &str,
        priority: u8,
        offset: u64,
        max_tokens: u64,
    ) -> JoinHandle<ChatResponse> {
        let url = self.url("/v1/chat/completions");
        let id = id.to_string();
        thread::spawn(move || chat(&url, &id, priority, offset, max_tokens, REQUEST_TIMEOUT))
    }

    fn wait_for_load(&self, running: u64, waiting: u64) {
        loop {
            let load = self.get("/v1/load");
            if load["running"] == running && load["waiting"] == waiting {
                return;
            }
            thread::yield_now();
        }
    }
}

fn chat(
    url: &str,
    id: &str,
    priority: u8,
    offset: u64,
    max_tokens: u64,
    timeout: Duration,
) -> ChatResponse {
    let body = json!({
        "model": "campo-8b", "max_tokens": max_tokens,
        "messages": [{"role": "user", "content": "plan the routes"}],
    });
    let sent = prepare_request(attohttpc::post(url), timeout)
        .header("x-request-id", id)
        .header("x-attempt", "1")
        .header("x-priority", priority.to_string())
        .header("x-offset", offset.to_string())
        .header("traceparent", "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01")
        .text(body.to_string())
        .send();
    let Ok(res) = sent else { return ChatResponse::default() };
    let status = res.status().as_u16();
    let not_run = res.headers().get("x-verdict").is_some_and(|v| v == "not_run");
    let mut response = ChatResponse { status, not_run, ..ChatResponse::default() };
    for line in BufReader::new(res).lines() {
        let Ok(line) = line else { break };
        match line.strip_prefix("data: ") {
            Some("[DONE]") => response.done = true,
            Some(data) => response.record_event(serde_json::from_str(data).unwrap()),
            None => {}
        }
    }
    response
}

#[rstest]
#[case::from_the_start(0)]
#[case::from_an_offset(5)]
fn engine_streams_a_completion_from_the_requested_offset(#[case] offset: usize) {
    let engine = Engine::start(&[]);
    let response = engine.chat("r1", 1, offset as u64, 12).join().unwrap();
    assert!(response.done);
    let end = json!({"request": "r1", "attempt": 1, "offset": 12, "finish_reason": "stop"});
    assert_eq!(response.end, Some(end));
    assert_eq!(response.events.len(), 12 - offset);
    let expected: String = (offset..12).map(|o| fakes::token_text("r1", o as u64)).collect();
    assert_eq!(response.text(), expected);
    let count = &engine.get("/counts")["r1"];
    assert_eq!((&count["runs"], &count["tokens"]), (&json!(1), &json!(12 - offset)));
    assert!(count["traceparent"].as_str().unwrap().starts_with("00-0af7"));
}

#[test]
fn completion_length_depends_on_the_request_id_and_has_a_long_tail() {
    let lengths: Vec<u64> =
        (0..1000).map(|n| completion_length(&format!("r{n}"), u64::MAX)).collect();
    assert!(lengths.iter().all(|length| (16..2048).contains(length)));
    let long = lengths.iter().filter(|length| **length >= 256).count();
    assert!((30..100).contains(&long), "{long}");
    assert_eq!(completion_text("r1", 3).split(' ').count(), 4);
}

#[rstest]
#[case::large_cache(&[], 64)]
#[case::evicted(&["--cache-blocks", "4"], 0)]
fn engine_caches_the_full_blocks_of_a_prompt(#[case] args: &[&str], #[case] cached: u64) {
    let engine = Engine::start(args);
    let caller = Caller { address: engine.0.address, key: String::new(), class: String::new() };
    let prompt = "visit ".repeat(43);
    for (request, prompt) in [("r1", &prompt), ("r2", &"other ".repeat(43)), ("r3", &prompt)] {
        assert!(caller.chat(request, prompt, 1).is_complete(1));
    }
    let counts = engine.get("/counts");
    assert_eq!((&counts["r1"]["cached"], &counts["r3"]["cached"]), (&json!(0), &json!(cached)));
}

#[test]
fn engine_starts_a_request_with_higher_priority_first() {
    let engine = Engine::start(&["--slots", "1", "--token-ms", "1000"]);
    let mut responses = vec![engine.chat("first", 3, 0, 16)];
    engine.wait_for_load(1, 0);
    responses.push(engine.chat("low", 3, 0, 16));
    engine.wait_for_load(1, 1);
    responses.push(engine.chat("high", 1, 0, 16));
    engine.wait_for_load(1, 2);
    engine.post("/v1/requests/first/cancel", json!({}));
    let started = loop {
        let counts = engine.get("/counts");
        if counts.as_object().unwrap().len() > 1 {
            break counts;
        }
    };
    assert_eq!((&started["high"]["runs"], &started["low"]), (&json!(1), &Value::Null));
    for request in ["low", "high"] {
        engine.post(&format!("/v1/requests/{request}/cancel"), json!({}));
    }
    responses.into_iter().for_each(|response| assert!(!response.join().unwrap().done));
}

#[rstest]
#[case::stalled(json!({"stall": true}), false)]
#[case::paused(json!({}), true)]
fn stream_continues_after_a_stall_or_a_pause(#[case] faults: Value, #[case] paused: bool) {
    let engine = Engine::start(&["--pauses", "--token-ms", "20"]);
    let response = engine.chat("r1", 1, 0, 16);
    engine.wait_for_load(1, 0);
    engine.post("/faults", faults);
    if paused {
        assert_eq!(engine.post("/v1/requests/r1/pause", json!({})), json!({"streams": 1}));
        engine.wait_for_load(0, 0);
        assert_eq!(engine.post("/v1/requests/r1/resume", json!({})), json!({"streams": 1}));
    }
    engine.post("/faults", json!({}));
    let response = response.join().unwrap();
    assert!(response.done);
    assert_eq!(response.text(), completion_text("r1", 16));
}

#[rstest]
#[case::running(&[], 1, 0, 200)]
#[case::waiting(&["--slots", "0"], 0, 1, 503)]
fn engine_cancels_a_running_or_waiting_request(
    #[case] args: &[&str],
    #[case] running: u64,
    #[case] waiting: u64,
    #[case] status: u16,
) {
    let engine = Engine::start(&[&["--token-ms", "1000"], args].concat());
    let response = engine.chat("r1", 1, 0, 16);
    engine.wait_for_load(running, waiting);
    assert_eq!(engine.post("/v1/requests/r1/cancel", json!({})), json!({"streams": 1}));
    let response = response.join().unwrap();
    assert_eq!((response.status, response.not_run, response.done), (status, status == 503, false));
    engine.wait_for_load(0, 0);
}

#[rstest]
#[case::leaving("/v1/leave", json!({}))]
#[case::rejecting("/faults", json!({"refuse": true}))]
#[case::unloaded("/v1/orders", json!({"fence": 1, "model": "campo-8b", "action": "unload"}))]
fn engine_rejects_requests_as_not_run_while_it_cannot_start_them(
    #[case] path: &str,
    #[case] body: Value,
) {
    let engine = Engine::start(&[]);
    engine.post(path, body);
    let response = engine.chat("r1", 1, 0, 16).join().unwrap();
    assert_eq!((response.status, response.not_run), (503, true));
    assert_eq!(engine.get("/counts"), json!({}));
}

#[test]
fn engine_rejects_a_request_as_not_run_when_its_queue_is_full() {
    let engine = Engine::start(&["--slots", "0", "--queue", "1"]);
    let waiting = engine.chat("r1", 1, 0, 16);
    engine.wait_for_load(0, 1);
    let rejected = engine.chat("r2", 1, 0, 16).join().unwrap();
    assert_eq!((rejected.status, rejected.not_run), (503, true));
    engine.post("/v1/requests/r1/cancel", json!({}));
    waiting.join().unwrap();
}

#[rstest]
#[case::short(json!({"short": true}), 8)]
#[case::crash(json!({"crash_after_tokens": 6}), 5)]
fn stream_has_no_final_events_after_a_fault(#[case] faults: Value, #[case] tokens: usize) {
    let engine = Engine::start(&[]);
    engine.post("/faults", faults);
    let response = engine.chat("r1", 1, 0, 16).join().unwrap();
    assert!(!response.done);
    assert_eq!(response.end, None);
    assert_eq!(response.events.len(), tokens);
}

#[test]
fn engine_sends_events_of_other_requests_under_the_fault_cross_events() {
    let engine = Engine::start(&[]);
    engine.post("/faults", json!({"cross_events": true}));
    let response = engine.chat("r1", 1, 0, 4).join().unwrap();
    assert_eq!(response.events.len(), 16);
    let foreign = response.events.iter().filter(|e| e["token"] == "crossed ").count();
    assert_eq!((foreign, response.done), (12, true));
}

#[test]
fn fault_silent_affects_only_the_streams_open_when_it_is_set() {
    let engine = Engine::start(&["--token-ms", "300"]);
    let url = engine.url("/v1/chat/completions");
    let open = thread::spawn(move || chat(&url, "r1", 1, 0, 16, Duration::from_millis(1_000)));
    engine.wait_for_load(1, 0);
    engine.post("/faults", json!({"silent": true}));
    let later = engine.chat("r2", 1, 0, 2).join().unwrap();
    assert!(later.done);
    let open = open.join().unwrap();
    assert!(!open.done && open.events.is_empty(), "{open:?}");
}

#[rstest]
#[case::checked(&["--checks-fence"], false)]
#[case::not_checked(&[], true)]
fn engine_rejects_an_order_with_an_older_fence_if_it_checks_fences(
    #[case] args: &[&str],
    #[case] is_applied: bool,
) {
    let engine = Engine::start(args);
    assert_eq!(engine.get("/v1/description")["checks_fence"], !is_applied);
    engine.post("/v1/orders", json!({"fence": 7, "model": "logbook-4b", "action": "load"}));
    let outdated = json!({"fence": 6, "model": "logbook-4b", "action": "unload"});
    let url = engine.url("/v1/orders");
    let result: Result<Value, _> = post_json(&url, &outdated, REQUEST_TIMEOUT);
    assert_eq!(result.is_ok(), is_applied);
    let serves = engine.get("/v1/description")["serves"].clone();
    assert_eq!(serves == json!(["campo-8b"]), is_applied, "{serves}");
}

#[test]
fn load_report_is_delayed_by_the_report_lag() {
    let engine = Engine::start(&["--report-lag-ms", "60000", "--token-ms", "1000"]);
    let response = engine.chat("r1", 1, 0, 16);
    while engine.get("/counts")["r1"]["runs"] != 1 {
        thread::yield_now();
    }
    let expected = json!({"running": 0, "waiting": 0, "age_ms": 60_000});
    assert_eq!(engine.get("/v1/load"), expected);
    engine.post("/v1/requests/r1/cancel", json!({}));
    response.join().unwrap();
}
