//! Orders to engines by one daemon at a time.

use fakes::InstanceKind::{Daemon, Engine};
use fakes::{Member, Site, build_programs, simple_lists};
use serde_json::{Value, json};
use std::thread;
use std::time::{Duration, Instant};
use utils::{HttpError, get_json, post_json, sha256_hex};

const PLACE: &str = "valle-aburra/aburra-norte";
const PATIENCE: Duration = Duration::from_secs(60);

/// Returns the fencing number that the engine has seen, by an order with an older one.
fn fence(site: &Site) -> u64 {
    let url = format!("http://{}/v1/orders", site.address("engine-1"));
    let order = json!({"fence": 0, "action": "load", "model": "campo-8b"});
    match post_json::<_, Value>(&url, &order, PATIENCE) {
        Err(HttpError::Status { status: 409, body, .. }) => {
            serde_json::from_str::<Value>(&body).unwrap()["fence"].as_u64().unwrap()
        }
        _ => 0,
    }
}

fn wait_for_fence_above(site: &Site, seen: u64) -> u64 {
    let started = Instant::now();
    loop {
        let now = fence(site);
        if now > seen {
            return now;
        }
        assert!(started.elapsed() < PATIENCE, "no order with a number above {seen}");
        thread::sleep(Duration::from_millis(50));
    }
}

fn holder(site: &Site) -> String {
    let store = site.store.address;
    let url = format!("http://{store}/objects/leases/orders-aburra-norte");
    let lease: Value = get_json(&url, PATIENCE).unwrap();
    lease["value"]["holder"].as_str().unwrap().to_string()
}

#[test]
fn can_pass_the_duty_of_a_killed_daemon_on_with_a_higher_number() {
    build_programs().unwrap();
    let quiet = ["--log-level", "error"];
    let members = [
        Member::new("daemon-1", Daemon, PLACE, &quiet),
        Member::new("daemon-2", Daemon, PLACE, &quiet),
        Member::new("engine-1", Engine, PLACE, &["--checks-fence"]),
    ];
    let mut site = Site::start(&simple_lists(&sha256_hex("key-1")), &members).unwrap();
    let first = wait_for_fence_above(&site, 0);
    let doer = holder(&site);
    let is_doer = |name: &&str| site.get(name, "/peer/description").unwrap()["instance"] == doer;
    let name = ["daemon-1", "daemon-2"].into_iter().find(is_doer).unwrap();
    site.kill(name).unwrap();
    wait_for_fence_above(&site, first);
    assert_ne!(holder(&site), doer);
}
