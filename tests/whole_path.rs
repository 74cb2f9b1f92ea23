//! The whole path as separate processes.

use config::{Edit, Lists};
use fakes::Process;
use serde_json::{Value, json};
use std::time::{Duration, Instant};
use store::Store;
use utils::{get_json, post_json, sha256_hex};

const TIMEOUT: Duration = Duration::from_secs(5);

struct Site {
    daemon: Process,
    _parts: Vec<Process>,
}

fn lists() -> Value {
    let target = json!({"first_token_ms": 580, "between_tokens_ms": 64, "finish_ms": 20000});
    let grant =
        json!({"tier": 1, "requests_per_minute": 60, "tokens_per_minute": 10000, "streams": 4});
    json!({
        "plans": {"accounts": {"campo": {"plan": "gold", "key_sha256": sha256_hex("key-1")}}},
        "grants": {
            "classes": {
                "plan": {"model": "campo-8b", "repeatable": true, "target": target},
                "booking": {"service": "booking", "repeatable": false, "target": target},
            },
            "plans": {"gold": {"classes": {"plan": grant, "booking": grant}}},
        },
    })
}

fn start_site() -> Site {
    fakes::build_programs().unwrap();
    let store = Process::start("chervilspur-fake", &["object-api"]).unwrap();
    let instances = Process::start("chervilspur-fake", &["instances"]).unwrap();
    let engine = Process::start("chervilspur-fake", &["engine", "--token-ms", "1"]).unwrap();
    let service = Process::start("chervilspur-fake", &["service"]).unwrap();
    let lists: Lists = serde_json::from_value(lists()).unwrap();
    Edit::new(&lists, 0).publish(&Store::new(store.address, TIMEOUT)).unwrap();
    let instance = |name: &str, kind: &str, process: &Process| {
        json!({
            "name": name, "kind": kind, "address": process.address,
            "data_centre": "aburra-norte", "state": "live",
        })
    };
    let list = json!({"instances": [
        instance("engine-1", "engine", &engine), instance("booking-1", "service", &service),
    ]});
    let url = format!("http://{}/instances", instances.address);
    let _: Value = post_json(&url, &list, TIMEOUT).unwrap();
    let (store_arg, instances_arg) = (store.address.to_string(), instances.address.to_string());
    let args = [
        "--data-centre",
        "aburra-norte",
        "--peer-key",
        "0123456789abcdef",
        "--store",
        &store_arg,
        "--instances",
        &instances_arg,
    ];
    let daemon = Process::start("chervilspurd", &args).unwrap();
    wait_until_ready(&daemon);
    Site { daemon, _parts: vec![store, instances, engine, service] }
}

fn wait_until_ready(daemon: &Process) {
    let started = Instant::now();
    let url = format!("http://{}/readyz", daemon.address);
    while attohttpc::get(&url).send().unwrap().status() != 200 {
        assert!(started.elapsed() < Duration::from_secs(20), "the daemon is not ready");
        std::thread::sleep(Duration::from_millis(20));
    }
}

fn chat(site: &Site, key: &str, class: &str) -> attohttpc::Response {
    let body = json!({
        "messages": [{"role": "user", "content": "route"}], "stream": true, "max_tokens": 5,
    });
    attohttpc::post(format!("http://{}/v1/chat/completions", site.daemon.address))
        .header("authorization", format!("Bearer {key}"))
        .header("x-request-class", class)
        .text(body.to_string())
        .send()
        .unwrap()
}

#[test]
fn can_serve_a_request_from_one_end_to_the_other() {
    let site = start_site();
    let answer = chat(&site, "key-1", "plan").text().unwrap();
    let events: Vec<&str> = answer.lines().filter_map(|l| l.strip_prefix("data: ")).collect();
    assert_eq!(events.len(), 6, "{answer}");
    assert_eq!(events.last(), Some(&"[DONE]"));
    let refused = chat(&site, "key-2", "plan");
    assert_eq!(refused.status(), 401);
    assert!(refused.text().unwrap().contains("\"not_run\""));
    let call = attohttpc::post(format!("http://{}/v1/call", site.daemon.address))
        .header("authorization", "Bearer key-1")
        .header("x-request-class", "booking")
        .header("idempotency-key", format!("{}-whole-path", utils::wall_clock()))
        .text("{}")
        .send()
        .unwrap();
    assert_eq!(call.status(), 200);
    let health: Result<Value, _> =
        get_json(&format!("http://{}/nothing", site.daemon.address), TIMEOUT);
    assert!(health.is_err());
}
