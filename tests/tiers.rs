//! Two daemons that share engines and serve request classes of different tiers.

use fakes::InstanceKind::{Daemon, Engine};
use fakes::{Caller, ChatResponse, Member, Site, build_programs, simple_lists};
use serde_json::{Value, json};
use std::thread::{self, JoinHandle};
use std::time::Duration;
use utils::sha256_hex;

const KEY: &str = "key-1";
const LOCATION: &str = "valle-aburra/aburra-norte";
const DIGEST_TOKENS: u64 = 400;
const PLAN_TOKENS: u64 = 20;

/// Lists in which class `plan` has tier 1 and class `digest` tier 4, both served by the same engines.
fn lists() -> Value {
    let mut lists = simple_lists(&sha256_hex(KEY));
    let grants = &mut lists["grants"];
    grants["classes"]["digest"]["model"] = json!("campo-8b");
    let long_target =
        json!({"first_token_ms": 60_000, "between_tokens_ms": 500, "finish_ms": 60_000});
    grants["classes"]["digest"]["target"] = long_target;
    grants["plans"]["gold"]["classes"]["digest"]["tier"] = json!(4);
    lists
}

fn start_site() -> Site {
    let daemon = ["--log-level", "error", "--check-invariants", "true"];
    let engine = ["--token-ms", "5", "--slots", "3", "--pauses"];
    let members = [
        Member::new("daemon-1", Daemon, LOCATION, &daemon),
        Member::new("daemon-2", Daemon, LOCATION, &daemon),
        Member::new("engine-1", Engine, LOCATION, &engine),
        Member::new("engine-2", Engine, LOCATION, &engine),
    ];
    build_programs().unwrap();
    Site::start(&lists(), &members).unwrap()
}

fn spawn_chat(site: &Site, n: usize, class: &str, tokens: u64) -> JoinHandle<ChatResponse> {
    let address = site.address(["daemon-1", "daemon-2"][n % 2]);
    let caller = Caller { address, key: KEY.to_string(), class: class.to_string() };
    thread::spawn(move || caller.chat("", "plan the routes", tokens))
}

fn running_requests(site: &Site) -> u64 {
    let load = |engine| site.get(engine, "/v1/load").unwrap()["running"].as_u64().unwrap();
    load("engine-1") + load("engine-2")
}

#[test]
fn daemons_complete_all_tier_1_requests_while_tier_4_requests_fill_the_engines() {
    let site = start_site();
    let digests: Vec<_> = (0..16).map(|n| spawn_chat(&site, n, "digest", DIGEST_TOKENS)).collect();
    while running_requests(&site) < 4 {
        thread::sleep(Duration::from_millis(10));
    }
    for round in 0..4 {
        let plans: Vec<_> = (0..4).map(|n| spawn_chat(&site, n, "plan", PLAN_TOKENS)).collect();
        for plan in plans {
            let response = plan.join().unwrap();
            assert!(response.is_complete(PLAN_TOKENS), "round {round}: {response:?}");
        }
    }
    for digest in digests {
        let response = digest.join().unwrap();
        assert!(response.is_complete(DIGEST_TOKENS), "{response:?}");
    }
}
