//! The contract of the engine's stand-in, with its faults.

use fakes::{Caller, Process, completion_length, completion_text};
use rstest::rstest;
use serde_json::{Value, json};
use std::io::{BufRead, BufReader};
use std::thread::{self, JoinHandle};
use std::time::Duration;
use utils::{get_json, post_json, prepare_request};

const TIMEOUT: Duration = Duration::from_secs(10);

struct Engine(Process);

/// The events of one answer, whether it has its last event, and its status.
#[derive(Debug, Default)]
struct Answer {
    status: u16,
    not_run: bool,
    events: Vec<Value>,
    end: Option<Value>,
    done: bool,
}

impl Answer {
    fn take(&mut self, event: Value) {
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
        let paced = args.contains(&"--token-ms");
        let pace: &[&str] = if paced { &[] } else { &["--token-ms", "1"] };
        let args = [&["engine"], pace, args].concat();
        Engine(Process::start("chervilspur-fake", &args).unwrap())
    }

    fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.0.address)
    }

    fn get(&self, path: &str) -> Value {
        get_json(&self.url(path), TIMEOUT).unwrap()
    }

    fn post(&self, path: &str, body: Value) -> Value {
        post_json(&self.url(path), &body, TIMEOUT).unwrap()
    }

    fn chat(&self, id: &str, priority: u8, offset: u64, max_tokens: u64) -> JoinHandle<Answer> {
        let url = self.url("/v1/chat/completions");
        let id = id.to_string();
        thread::spawn(move || chat(&url, &id, priority, offset, max_tokens, TIMEOUT))
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
) -> Answer {
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
    let Ok(res) = sent else { return Answer::default() };
    let status = res.status().as_u16();
    let not_run = res.headers().get("x-verdict").is_some_and(|v| v == "not_run");
    let mut answer = Answer { status, not_run, ..Answer::default() };
    for line in BufReader::new(res).lines() {
        let Ok(line) = line else { break };
        match line.strip_prefix("data: ") {
            Some("[DONE]") => answer.done = true,
            Some(data) => answer.take(serde_json::from_str(data).unwrap()),
            None => {}
        }
    }
    answer
}

#[rstest]
#[case::the_whole_answer(0)]
#[case::the_rest_of_an_answer(5)]
fn can_stream_an_answer(#[case] offset: usize) {
    let engine = Engine::start(&[]);
    let answer = engine.chat("r1", 1, offset as u64, 12).join().unwrap();
    assert!(answer.done);
    let end = json!({"request": "r1", "attempt": 1, "offset": 12, "finish_reason": "stop"});
    assert_eq!(answer.end, Some(end));
    assert_eq!(answer.events.len(), 12 - offset);
    let rest: String = (offset..12).map(|o| fakes::token_text("r1", o as u64)).collect();
    assert_eq!(answer.text(), rest);
    let count = &engine.get("/counts")["r1"];
    assert_eq!((&count["runs"], &count["tokens"]), (&json!(1), &json!(12 - offset)));
    assert!(count["traceparent"].as_str().unwrap().starts_with("00-0af7"));
}

#[test]
fn can_draw_the_length_of_an_answer_from_its_request() {
    let lengths: Vec<u64> =
        (0..1000).map(|n| completion_length(&format!("r{n}"), u64::MAX)).collect();
    assert!(lengths.iter().all(|length| (16..2048).contains(length)));
    let long = lengths.iter().filter(|length| **length >= 256).count();
    assert!((30..100).contains(&long), "{long}");
    assert_eq!(completion_text("r1", 3).split(' ').count(), 4);
}

#[rstest]
#[case::held(&[], 64)]
#[case::forgotten(&["--cache-blocks", "4"], 0)]
fn can_cache_the_start_of_a_prompt(#[case] args: &[&str], #[case] cached: u64) {
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
fn can_run_a_higher_priority_first() {
    let engine = Engine::start(&["--slots", "1", "--token-ms", "1000"]);
    let mut answers = vec![engine.chat("first", 3, 0, 16)];
    engine.wait_for_load(1, 0);
    answers.push(engine.chat("low", 3, 0, 16));
    engine.wait_for_load(1, 1);
    answers.push(engine.chat("high", 1, 0, 16));
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
    answers.into_iter().for_each(|answer| assert!(!answer.join().unwrap().done));
}

#[rstest]
#[case::stalled(json!({"stall": true}), false)]
#[case::paused(json!({}), true)]
fn can_go_on_with_a_stream_that_was_held(#[case] faults: Value, #[case] paused: bool) {
    let engine = Engine::start(&["--pauses", "--token-ms", "20"]);
    let answer = engine.chat("r1", 1, 0, 16);
    engine.wait_for_load(1, 0);
    engine.post("/faults", faults);
    if paused {
        assert_eq!(engine.post("/v1/requests/r1/pause", json!({})), json!({"streams": 1}));
        engine.wait_for_load(0, 0);
        assert_eq!(engine.post("/v1/requests/r1/resume", json!({})), json!({"streams": 1}));
    }
    engine.post("/faults", json!({}));
    let answer = answer.join().unwrap();
    assert!(answer.done);
    assert_eq!(answer.text(), completion_text("r1", 16));
}

#[rstest]
#[case::running(&[], 1, 0, 200)]
#[case::waiting(&["--slots", "0"], 0, 1, 503)]
fn can_cancel_a_request(
    #[case] args: &[&str],
    #[case] running: u64,
    #[case] waiting: u64,
    #[case] status: u16,
) {
    let engine = Engine::start(&[&["--token-ms", "1000"], args].concat());
    let answer = engine.chat("r1", 1, 0, 16);
    engine.wait_for_load(running, waiting);
    assert_eq!(engine.post("/v1/requests/r1/cancel", json!({})), json!({"streams": 1}));
    let answer = answer.join().unwrap();
    assert_eq!((answer.status, answer.not_run, answer.done), (status, status == 503, false));
    engine.wait_for_load(0, 0);
}

#[rstest]
#[case::leaving("/v1/leave", json!({}))]
#[case::refusing("/faults", json!({"refuse": true}))]
#[case::unloaded("/v1/orders", json!({"fence": 1, "model": "campo-8b", "action": "unload"}))]
fn errors_when_a_request_is_not_started(#[case] path: &str, #[case] body: Value) {
    let engine = Engine::start(&[]);
    engine.post(path, body);
    let answer = engine.chat("r1", 1, 0, 16).join().unwrap();
    assert_eq!((answer.status, answer.not_run), (503, true));
    assert_eq!(engine.get("/counts"), json!({}));
}

#[test]
fn errors_when_the_queue_is_full() {
    let engine = Engine::start(&["--slots", "0", "--queue", "1"]);
    let waiting = engine.chat("r1", 1, 0, 16);
    engine.wait_for_load(0, 1);
    let refused = engine.chat("r2", 1, 0, 16).join().unwrap();
    assert_eq!((refused.status, refused.not_run), (503, true));
    engine.post("/v1/requests/r1/cancel", json!({}));
    waiting.join().unwrap();
}

#[rstest]
#[case::short(json!({"short": true}), 8)]
#[case::crash(json!({"crash_after_tokens": 6}), 5)]
fn errors_when_a_stream_stops_before_its_end(#[case] faults: Value, #[case] tokens: usize) {
    let engine = Engine::start(&[]);
    engine.post("/faults", faults);
    let answer = engine.chat("r1", 1, 0, 16).join().unwrap();
    assert!(!answer.done);
    assert_eq!(answer.end, None);
    assert_eq!(answer.events.len(), tokens);
}

#[test]
fn can_send_events_that_are_not_the_callers() {
    let engine = Engine::start(&[]);
    engine.post("/faults", json!({"cross_events": true}));
    let answer = engine.chat("r1", 1, 0, 4).join().unwrap();
    assert_eq!(answer.events.len(), 16);
    let crossed = answer.events.iter().filter(|e| e["token"] == "crossed ").count();
    assert_eq!((crossed, answer.done), (12, true));
}

#[test]
fn can_go_silent_on_open_streams_while_new_ones_work() {
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
fn can_refuse_an_order_with_an_older_fence(#[case] args: &[&str], #[case] obeys: bool) {
    let engine = Engine::start(args);
    assert_eq!(engine.get("/v1/description")["checks_fence"], !obeys);
    engine.post("/v1/orders", json!({"fence": 7, "model": "logbook-4b", "action": "load"}));
    let late = json!({"fence": 6, "model": "logbook-4b", "action": "unload"});
    let url = engine.url("/v1/orders");
    let result: Result<Value, _> = post_json(&url, &late, TIMEOUT);
    assert_eq!(result.is_ok(), obeys);
    let serves = engine.get("/v1/description")["serves"].clone();
    assert_eq!(serves == json!(["campo-8b"]), obeys, "{serves}");
}

#[test]
fn can_report_an_older_load() {
    let engine = Engine::start(&["--report-lag-ms", "60000", "--token-ms", "1000"]);
    let answer = engine.chat("r1", 1, 0, 16);
    while engine.get("/counts")["r1"]["runs"] != 1 {
        thread::yield_now();
    }
    let expected = json!({"running": 0, "waiting": 0, "age_ms": 60_000});
    assert_eq!(engine.get("/v1/load"), expected);
    engine.post("/v1/requests/r1/cancel", json!({}));
    answer.join().unwrap();
}
