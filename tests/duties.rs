//! Several gateways of which one holds the duties, and the calls that the platform receives.

mod platform_objects;

use fakes::{
    DutyApi, DutyApiMode, GatewayConfig, GatewayProcess, PlatformEndpoint, PlatformStore,
    RefusedKinds, StoreMode, check_duty_calls,
};
use platform_objects::{KEY, configuration, registration};
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread::sleep;
use std::time::{Duration, Instant};

const LEASE: Duration = Duration::from_millis(1_500);
/// The time without a lease change, the time between reads, the random delay, the wait after the claim,
/// and two seconds for busy machines.
const TAKEOVER_TIME: Duration = Duration::from_millis(1_500 * 19 / 6 + 2_000);
const DATA_CENTRES: [&str; 3] = ["a", "b", "c"];
const KIND: &str = "chervilspur-duties";

struct Fleet {
    store: PlatformStore,
    _endpoint: PlatformEndpoint,
    platform: DutyApi,
    /// One gateway in each data centre, with its refusals by the store, and one that reads no store.
    gateways: Vec<(GatewayProcess, RefusedKinds)>,
}

impl Fleet {
    fn start() -> Fleet {
        fakes::build_programs().unwrap();
        let store = PlatformStore::start().unwrap();
        store.put("config", "main", configuration(1, &[KEY]));
        let endpoint = PlatformEndpoint::start("i-1", 1, Duration::ZERO).unwrap();
        store.put("servers", &endpoint.id, registration(&endpoint, "ready", 1));
        let platform = DutyApi::start().unwrap();
        let mut fleet = Fleet { store, _endpoint: endpoint, platform, gateways: Vec::new() };
        for data_centre in DATA_CENTRES {
            fleet.add_gateway(&format!("front-{data_centre}-1"), data_centre);
        }
        for (gateway, _) in &fleet.gateways {
            gateway.wait_for_log(&["configuration_in_force"]).unwrap();
        }
        fleet.add_gateway("front-a-2", "a");
        fleet
    }

    fn add_gateway(&mut self, name: &str, data_centre: &str) {
        let refused = RefusedKinds::default();
        let store = self.store.start_refusing(refused.clone()).unwrap();
        let others = DATA_CENTRES.iter().filter(|other| **other != data_centre);
        let cfg = GatewayConfig {
            name: name.to_owned(),
            data_centre: data_centre.to_owned(),
            other_data_centres: others.map(|d| ((*d).to_owned(), String::from("r"))).collect(),
            further_settings: format!(
                "cloud.address={}\ncloud.duties=usage_reporting,scaling\ncloud.duty_per_s=20\n\
                 bounds.lease_ms={}\nbounds.report_window_s=1\nbounds.usage_late_s=2\n",
                self.platform.address,
                LEASE.as_millis(),
            ),
            ..GatewayConfig::default()
        };
        self.gateways.push((GatewayProcess::start(store, &cfg).unwrap(), refused));
    }

    /// The gateways that state that they may make calls.
    fn acting(&self) -> Vec<usize> {
        let is_acting = |number: &usize| is_acting(self.gateways[*number].0.metrics);
        (0..self.gateways.len()).filter(is_acting).collect()
    }

    /// Waits until another gateway than `former` acts, and returns it. At no time may two act.
    fn wait_for_holder(&self, former: Option<usize>, limit: Duration) -> usize {
        let end = Instant::now() + limit;
        loop {
            let acting = self.acting();
            assert!(acting.len() <= 1, "gateways {acting:?} act");
            match acting[..] {
                [number] if Some(number) != former => return number,
                _ => {}
            }
            assert!(Instant::now() < end, "no holder within {limit:?}:\n{}", self.log());
            sleep(Duration::from_millis(30));
        }
    }

    fn gateway(&self, number: usize) -> &GatewayProcess {
        &self.gateways[number].0
    }

    fn log(&self) -> String {
        let lines = self.gateways.iter().flat_map(|(gateway, _)| gateway.log_with(&["duty"]));
        lines.collect::<Vec<String>>().join("\n")
    }

    /// The token in the stored object.
    fn stored_token(&self) -> u64 {
        let object = self.store.object(KIND, "main").unwrap();
        object["specification"]["token"].as_u64().unwrap()
    }

    /// Checks the calls that the platform received.
    fn check_calls(&self) {
        let checked = check_duty_calls(&self.platform.calls(), LEASE);
        assert_eq!(checked, Ok(()), "{}", self.log());
    }
}

/// Whether a gateway states that it may make calls; false if it does not respond.
fn is_acting(metrics: SocketAddr) -> bool {
    let fetch = || -> std::io::Result<String> {
        let mut stream = TcpStream::connect(metrics)?;
        stream.set_read_timeout(Some(Duration::from_millis(200)))?;
        stream.write_all(b"GET /metrics HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n")?;
        let mut text = String::new();
        stream.read_to_string(&mut text)?;
        Ok(text)
    };
    fetch().is_ok_and(|text| text.contains("\nchervilspur_duty_holder 1\n"))
}

#[test]
fn daemons_that_do_not_read_the_store_do_not_contend() {
    let fleet = Fleet::start();
    let holder = fleet.wait_for_holder(None, TAKEOVER_TIME);
    assert!(holder < DATA_CENTRES.len(), "{}", fleet.log());
    fleet.gateway(3).wait_for_log(&["duty_holder_known"]).unwrap();
    let known =
        fleet.gateway(3).log_with(&["duty_holder_known", &fleet.stored_token().to_string()]);
    assert!(!known.is_empty(), "{}", fleet.log());
    assert!(fleet.gateway(3).log_with(&["duty_claimed"]).is_empty());
    fleet.check_calls();
}

/// Guards against two holders, and against none, when the holder is killed, one after the other.
#[test]
fn killed_holders_are_replaced() {
    let mut fleet = Fleet::start();
    let mut token = 0;
    for _ in 0..3 {
        let holder = fleet.wait_for_holder(None, TAKEOVER_TIME);
        assert!(fleet.stored_token() > token, "{}", fleet.log());
        token = fleet.stored_token();
        sleep(LEASE);
        fleet.gateways[holder].0.restart("KILL").unwrap();
    }
    fleet.wait_for_holder(None, TAKEOVER_TIME);
    fleet.check_calls();
}

/// A frozen holder resumes when another one acts, and must not go on with what it was about to send.
#[test]
fn frozen_holder_is_replaced_and_does_not_act_when_it_resumes() {
    let fleet = Fleet::start();
    let mut frozen = fleet.wait_for_holder(None, TAKEOVER_TIME);
    for _ in 0..2 {
        fleet.gateway(frozen).signal("STOP").unwrap();
        let successor = fleet.wait_for_holder(Some(frozen), TAKEOVER_TIME);
        sleep(LEASE / 2);
        fleet.gateway(frozen).signal("CONT").unwrap();
        let end = Instant::now() + LEASE * 2;
        while Instant::now() < end {
            assert!(!fleet.acting().contains(&frozen), "{}", fleet.log());
        }
        fleet.check_calls();
        frozen = successor;
    }
}

#[test]
fn holder_that_the_store_rejects_stops_and_is_replaced() {
    let fleet = Fleet::start();
    let holder = fleet.wait_for_holder(None, TAKEOVER_TIME);
    fleet.gateways[holder].1.set_all(Some(403));
    sleep(LEASE);
    assert!(!fleet.acting().contains(&holder), "{}", fleet.log());
    fleet.wait_for_holder(Some(holder), TAKEOVER_TIME);
    fleet.check_calls();
}

#[test]
fn nobody_acts_while_the_store_is_down() {
    let fleet = Fleet::start();
    let holder = fleet.wait_for_holder(None, TAKEOVER_TIME);
    fleet.store.set_mode(StoreMode::Unavailable);
    sleep(LEASE);
    let calls = fleet.platform.calls().len();
    let end = Instant::now() + LEASE * 2;
    while Instant::now() < end {
        assert_eq!(fleet.acting(), Vec::<usize>::new());
    }
    assert_eq!(fleet.platform.calls().len(), calls);
    fleet.store.set_mode(StoreMode::Up);
    fleet.wait_for_holder(None, TAKEOVER_TIME);
    fleet.gateway(holder).wait_for_log(&["duty_lost", "expired"]).unwrap();
    fleet.check_calls();
}

/// The store carries out renewals without a response for a while.
#[test]
fn lost_responses_do_not_lead_to_two_holders() {
    let fleet = Fleet::start();
    fleet.wait_for_holder(None, TAKEOVER_TIME);
    for time in [LEASE / 2, LEASE * 2] {
        fleet.store.set_mode(StoreMode::Closed);
        sleep(time);
        fleet.store.set_mode(StoreMode::Up);
        fleet.wait_for_holder(None, TAKEOVER_TIME);
    }
    fleet.check_calls();
}

/// The record of the first holder, which still runs, comes back after the claim of the second one.
#[test]
fn older_copy_of_the_record_does_not_bring_an_older_token_back() {
    let fleet = Fleet::start();
    let first = fleet.wait_for_holder(None, TAKEOVER_TIME);
    let older = fleet.store.object(KIND, "main").unwrap()["specification"].clone();
    fleet.gateway(first).signal("STOP").unwrap();
    fleet.wait_for_holder(Some(first), TAKEOVER_TIME);
    let token = fleet.stored_token();
    fleet.store.put(KIND, "main", older);
    fleet.gateway(first).signal("CONT").unwrap();
    sleep(LEASE);
    fleet.wait_for_holder(None, TAKEOVER_TIME * 2);
    assert!(fleet.stored_token() > token, "{}", fleet.log());
    sleep(LEASE);
    fleet.check_calls();
}

#[test]
fn holder_that_is_stopped_releases_the_duties() {
    let mut fleet = Fleet::start();
    let holder = fleet.wait_for_holder(None, TAKEOVER_TIME);
    fleet.gateway(holder).signal("TERM").unwrap();
    fleet.gateway(holder).wait_for_log(&["duty_released"]).unwrap();
    // Without a release, a candidate waits for one and a half leases before it claims.
    fleet.wait_for_holder(Some(holder), TAKEOVER_TIME - LEASE);
    assert!(fleet.gateways[holder].0.wait().unwrap());
    fleet.check_calls();
}

/// The holder keeps the duties while the platform fails, and repeats its calls no more often than the
/// platform accepts.
#[test]
fn failing_platform_does_not_change_the_holder() {
    let fleet = Fleet::start();
    let holder = fleet.wait_for_holder(None, TAKEOVER_TIME);
    let token = fleet.stored_token();
    let modes = [
        DutyApiMode::Down,
        DutyApiMode::Refusing(429),
        DutyApiMode::Slow(LEASE * 2),
        DutyApiMode::Refusing(409),
    ];
    for mode in modes {
        fleet.platform.set_mode(mode);
        sleep(LEASE * 2);
        assert_eq!((fleet.acting(), fleet.stored_token()), (vec![holder], token));
    }
    fleet.platform.set_mode(DutyApiMode::Up);
    sleep(LEASE);
    fleet.check_calls();
    let calls = fleet.platform.calls();
    let mut by_second: BTreeMap<u64, usize> = BTreeMap::new();
    for call in &calls {
        *by_second.entry((call.arrived - calls[0].arrived).as_secs()).or_default() += 1;
    }
    assert!(by_second.values().all(|count| *count <= 20), "{by_second:?}");
}
