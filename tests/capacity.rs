//! A gateway that holds the duties and orders endpoints, and the calls that the platform receives.

mod platform_objects;

use fakes::{
    DutyApi, DutyApiMode, DutyCallRecord, GatewayConfig, GatewayProcess, PlatformEndpoint,
    PlatformStore,
};
use platform_objects::{KEY, configuration, registration};
use serde_json::{Value, json};
use std::thread::sleep;
use std::time::{Duration, Instant};

const MINIMUM: u64 = 3;
const MAXIMUM: u64 = 6;
/// The boot time, the time in which a new holder lowers no order, the lease, and a few seconds for busy
/// machines.
const LIMIT: Duration = Duration::from_secs(30);

struct Platform {
    store: PlatformStore,
    api: DutyApi,
    gateway: GatewayProcess,
    endpoints: Vec<PlatformEndpoint>,
    heartbeats: u64,
}

impl Platform {
    /// Starts a gateway and three ordinary endpoints.
    fn start() -> Platform {
        fakes::build_programs().unwrap();
        let store = PlatformStore::start().unwrap();
        let mut configuration = configuration(1, &[KEY]);
        configuration["services"][0]["scaling"] =
            json!({ "minimum": MINIMUM, "maximum": MAXIMUM, "boot_s": 1, "spot_price": 0.15 });
        store.put("config", "main", configuration);
        let api = DutyApi::start().unwrap();
        let cfg = GatewayConfig {
            name: String::from("front-a-1"),
            data_centre: String::from("a"),
            further_settings: format!(
                "cloud.address={}\ncloud.duties=scaling\ncloud.duty_per_s=20\nbounds.lease_ms=1500\n",
                api.address,
            ),
            ..GatewayConfig::default()
        };
        let gateway = GatewayProcess::start(store.address, &cfg).unwrap();
        let mut platform = Platform { store, api, gateway, endpoints: Vec::new(), heartbeats: 0 };
        (0..MINIMUM).for_each(|_| platform.add_endpoint(false));
        platform
    }

    fn add_endpoint(&mut self, is_spot: bool) {
        let id = format!("i-{}", self.endpoints.len());
        self.endpoints.push(PlatformEndpoint::start(&id, 1, Duration::ZERO).unwrap());
        self.register(self.endpoints.len() - 1, is_spot, "ready");
    }

    fn register(&mut self, number: usize, is_spot: bool, state: &str) {
        self.heartbeats += 1;
        let endpoint = &self.endpoints[number];
        let mut entry = registration(endpoint, state, self.heartbeats);
        entry["spot"] = json!(is_spot);
        if state == "draining" {
            entry["leaves_ms"] = json!(4_000);
        }
        self.store.put("servers", &endpoint.id, entry);
    }

    /// Waits for an order after the first `seen` calls, and returns it.
    fn wait_for(&self, seen: usize, is_wanted: impl Fn(&DutyCallRecord) -> bool) -> Value {
        let end = Instant::now() + LIMIT;
        loop {
            let calls = self.api.calls();
            if let Some(call) = calls.iter().skip(seen).find(|call| is_wanted(call)) {
                return call.body.clone();
            }
            assert!(Instant::now() < end, "no such order:\n{calls:?}\n{}", self.log());
            sleep(Duration::from_millis(50));
        }
    }

    fn log(&self) -> String {
        self.gateway.log_with(&["capacity_ordered"]).join("\n")
    }
}

fn is_spot(call: &DutyCallRecord) -> bool {
    call.body["spot"] == json!(true)
}

fn count(call: &DutyCallRecord) -> u64 {
    call.body["desired_count"].as_u64().unwrap()
}

/// Guards against ordinary endpoints that are paid for, or given back before others replace them, and
/// against callers without endpoints when the platform reclaims the spot endpoints.
#[test]
fn spot_endpoints_replace_ordinary_ones_until_they_are_reclaimed() {
    let mut platform = Platform::start();
    let first = platform.wait_for(0, |_| true);
    let expected = json!({ "service": "pool", "zone": "a", "desired_count": 3, "spot": true });
    assert_eq!(first, expected, "{}", platform.log());
    (0..MINIMUM).for_each(|_| platform.add_endpoint(true));
    let lowered = platform.wait_for(0, |call| !is_spot(call));
    assert_eq!(lowered["desired_count"], json!(1), "{}", platform.log());
    platform.gateway.wait_for_log(&["capacity_ordered", "ordinary"]).unwrap();
    for number in 0..2 {
        platform.store.delete("servers", &platform.endpoints[number].id);
    }

    let seen = platform.api.calls().len();
    platform.api.set_mode(DutyApiMode::Refusing(409));
    for number in MINIMUM..2 * MINIMUM {
        platform.register(number as usize, true, "draining");
    }
    platform.wait_for(seen, |call| is_spot(call) && count(call) >= MINIMUM);
    platform.wait_for(seen, |call| !is_spot(call) && count(call) >= MINIMUM);
    let calls = platform.api.calls();
    let refused_at = calls[seen..].iter().find(|call| is_spot(call)).unwrap().arrived;
    let replaced = calls[seen..].iter().find(|call| !is_spot(call)).unwrap();
    let delay = replaced.arrived - refused_at;
    assert!(delay < Duration::from_millis(900), "{delay:?} after the refusal");
    assert!(calls.iter().all(|call| count(call) <= MAXIMUM));
}
