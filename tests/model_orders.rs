//! The lease that lets only one daemon of a data centre send model orders to engines.

use fakes::InstanceKind::{Daemon, Engine};
use fakes::{Member, Site, build_programs, simple_lists};
use serde_json::{Value, json};
use std::thread;
use std::time::{Duration, Instant};
use utils::{HttpError, get_json, post_json, sha256_hex};

const LOCATION: &str = "valle-aburra/aburra-norte";
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

/// Reads the highest fencing number that the engine has seen: it rejects an order with an older one
/// and reports its own. Returns 0 when it accepts the order.
fn highest_fence(site: &Site) -> u64 {
    let url = format!("http://{}/v1/orders", site.address("engine-1"));
    let order = json!({"fence": 0, "action": "load", "model": "campo-8b"});
    match post_json::<_, Value>(&url, &order, WAIT_TIMEOUT) {
        Err(HttpError::Status { status: 409, body, .. }) => {
            serde_json::from_str::<Value>(&body).unwrap()["fence"].as_u64().unwrap()
        }
        _ => 0,
    }
}

fn wait_for_fence_above(site: &Site, seen: u64) -> u64 {
    let started = Instant::now();
    loop {
        let current = highest_fence(site);
        if current > seen {
            return current;
        }
        assert!(
            started.elapsed() < WAIT_TIMEOUT,
            "no order with a fencing number above {seen} within {WAIT_TIMEOUT:?}"
        );
        thread::sleep(Duration::from_millis(50));
    }
}

fn lease_holder(site: &Site) -> String {
    let store = site.store.address;
    let url = format!("http://{store}/objects/leases/orders-aburra-norte");
    let lease: Value = get_json(&url, WAIT_TIMEOUT).unwrap();
    lease["value"]["holder"].as_str().unwrap().to_string()
}

#[test]
fn second_daemon_sends_orders_with_a_higher_fencing_number_when_the_owner_is_killed() {
    build_programs().unwrap();
    let quiet = ["--log-level", "error"];
    let members = [
        Member::new("daemon-1", Daemon, LOCATION, &quiet),
        Member::new("daemon-2", Daemon, LOCATION, &quiet),
        Member::new("engine-1", Engine, LOCATION, &["--checks-fence"]),
    ];
    let mut site = Site::start(&simple_lists(&sha256_hex("key-1")), &members).unwrap();
    let first_fence = wait_for_fence_above(&site, 0);
    let owner = lease_holder(&site);
    let is_owner = |name: &&str| site.get(name, "/peer/description").unwrap()["instance"] == owner;
    let name = ["daemon-1", "daemon-2"].into_iter().find(is_owner).unwrap();
    site.kill(name).unwrap();
    wait_for_fence_above(&site, first_fence);
    assert_ne!(lease_holder(&site), owner);
}
