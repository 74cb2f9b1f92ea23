//! Tiers over two daemons that share engines.

use fakes::InstanceKind::{Daemon, Engine};
use fakes::{Caller, ChatResponse, Member, Site, build_programs, simple_lists};
use serde_json::{Value, json};
use std::thread::{self, JoinHandle};
use std::time::Duration;
use utils::sha256_hex;

const KEY: &str = "key-1";
const PLACE: &str = "valle-aburra/aburra-norte";
const DIGEST_TOKENS: u64 = 400;
const PLAN_TOKENS: u64 = 20;

/// Returns lists in which plans are of tier 1 and digests of tier 4, at the same engines.
fn lists() -> Value {
    let mut lists = simple_lists(&sha256_hex(KEY));
    let grants = &mut lists["grants"];
    grants["classes"]["digest"]["model"] = json!("campo-8b");
    let patient = json!({"first_token_ms": 60_000, "between_tokens_ms": 500, "finish_ms": 60_000});
    grants["classes"]["digest"]["target"] = patient;
    grants["plans"]["gold"]["classes"]["digest"]["tier"] = json!(4);
    lists
}

fn start_site() -> Site {
    let daemon = ["--log-level", "error", "--check-invariants", "true"];
    let engine = ["--token-ms", "5", "--slots", "3", "--pauses"];
    let members = [
        Member::new("daemon-1", Daemon, PLACE, &daemon),
        Member::new("daemon-2", Daemon, PLACE, &daemon),
        Member::new("engine-1", Engine, PLACE, &engine),
        Member::new("engine-2", Engine, PLACE, &engine),
    ];
    build_programs().unwrap();
    Site::start(&lists(), &members).unwrap()
}

fn ask(site: &Site, n: usize, class: &str, tokens: u64) -> JoinHandle<ChatResponse> {
    let address = site.address(["daemon-1", "daemon-2"][n % 2]);
    let caller = Caller { address, key: KEY.to_string(), class: class.to_string() };
    thread::spawn(move || caller.chat("", "plan the routes", tokens))
}

fn running(site: &Site) -> u64 {
    let load = |engine| site.get(engine, "/v1/load").unwrap()["running"].as_u64().unwrap();
    load("engine-1") + load("engine-2")
}

#[test]
fn can_answer_every_plan_while_digests_fill_the_engines() {
    let site = start_site();
    let digests: Vec<_> = (0..16).map(|n| ask(&site, n, "digest", DIGEST_TOKENS)).collect();
    while running(&site) < 4 {
        thread::sleep(Duration::from_millis(10));
    }
    for round in 0..4 {
        let plans: Vec<_> = (0..4).map(|n| ask(&site, n, "plan", PLAN_TOKENS)).collect();
        for plan in plans {
            let answer = plan.join().unwrap();
            assert!(answer.is_complete(PLAN_TOKENS), "round {round}: {answer:?}");
        }
    }
    for digest in digests {
        let answer = digest.join().unwrap();
        assert!(answer.is_complete(DIGEST_TOKENS), "{answer:?}");
    }
}
