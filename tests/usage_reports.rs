//! Several gateways that count requests, and the usage reports that the platform receives.

mod platform_objects;

use fakes::{
    Behaviour, Client, DutyApi, DutyApiMode, DutyCallRecord, GatewayConfig, GatewayProcess,
    PlatformEndpoint, PlatformStore, StoreCopy, StoreMode, check_duty_calls,
};
use messages::duties::{DutyReply, DutyReport};
use platform_objects::{KEY, configuration, registration};
use rstest::rstest;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{JoinHandle, sleep, spawn};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

const LEASE: Duration = Duration::from_millis(1_500);
const WINDOW: Duration = Duration::from_secs(2);
const LATE: Duration = Duration::from_secs(10);
/// The tolerated deviation of a count.
const TOLERANCE: f64 = 0.05;
/// Time between the requests of a client.
const PAUSE: Duration = Duration::from_millis(10);
/// The account of all requests, which [`configuration`] has.
const ACCOUNT: &str = "north";

fn window_at(time: SystemTime) -> u64 {
    (time.duration_since(UNIX_EPOCH).unwrap().as_millis() / WINDOW.as_millis()) as u64
}

struct Fleet {
    store: PlatformStore,
    endpoints: Vec<PlatformEndpoint>,
    platform: DutyApi,
    gateways: Vec<GatewayProcess>,
}

impl Fleet {
    /// Starts a gateway in each of three data centres, and a second one in the first.
    fn start(further_settings: &str) -> Fleet {
        fakes::build_programs().unwrap();
        let store = PlatformStore::start().unwrap();
        store.put("config", "main", configuration(1, &[KEY]));
        let start = |id: &str| PlatformEndpoint::start(id, 3, Duration::from_millis(2)).unwrap();
        let endpoints = vec![start("i-1"), start("i-2")];
        for endpoint in &endpoints {
            store.put("servers", &endpoint.id, registration(endpoint, "ready", 1));
        }
        let platform = DutyApi::start().unwrap();
        let mut fleet = Fleet { store, endpoints, platform, gateways: Vec::new() };
        for (name, data_centre) in
            [("front-a-1", "a"), ("front-b-1", "b"), ("front-c-1", "c"), ("front-a-2", "a")]
        {
            fleet.add_gateway(name, data_centre, further_settings);
        }
        for gateway in &fleet.gateways {
            gateway.wait_for_log(&["configuration_in_force"]).unwrap();
            gateway.wait_for_log(&["endpoint_joined", "i-2"]).unwrap();
        }
        fleet
    }

    fn add_gateway(&mut self, name: &str, data_centre: &str, further_settings: &str) {
        let others = ["a", "b", "c"].into_iter().filter(|other| *other != data_centre);
        let cfg = GatewayConfig {
            name: name.to_owned(),
            data_centre: data_centre.to_owned(),
            other_data_centres: others.map(|d| (d.to_owned(), String::from("r"))).collect(),
            further_settings: format!(
                "cloud.address={}\ncloud.duty_per_s=20\nbounds.lease_ms={}\n\
                 bounds.report_window_s={}\nbounds.usage_late_s={}\n{further_settings}",
                self.platform.address,
                LEASE.as_millis(),
                WINDOW.as_secs(),
                LATE.as_secs(),
            ),
            ..GatewayConfig::default()
        };
        self.gateways.push(GatewayProcess::start(self.store.address, &cfg).unwrap());
    }

    /// Waits until a gateway has reported a window, and returns it.
    fn wait_for_holder(&self) -> usize {
        let end = Instant::now() + LEASE * 10;
        while Instant::now() < end {
            if let Some(call) = self.platform.calls().last() {
                let number = call.holder.as_str();
                let names = ["front-a-1", "front-b-1", "front-c-1", "front-a-2"];
                return names.iter().position(|name| *name == number).unwrap();
            }
            sleep(Duration::from_millis(50));
        }
        panic!("no usage was reported:\n{}", self.log());
    }

    /// Waits until another window with counts is reported. Returns a copy of the store from before that
    /// report was begun.
    fn copy_before_next_report(&self) -> StoreCopy {
        let (started, known) = (Instant::now(), self.platform.calls().len());
        let counted = |call: &DutyCallRecord| call.body["counts"][ACCOUNT].as_u64() > Some(0);
        let mut last = (None, self.store.copy());
        let mut before = last.1.clone();
        while !self.platform.calls()[known..].iter().any(counted) {
            assert!(started.elapsed() < LATE, "no usage was reported:\n{}", self.log());
            let copy = self.store.copy();
            let record = copy.specification("chervilspur-duties", "main").unwrap();
            let window = record["usage"]["window"].as_u64();
            if last.0 != window {
                before = last.1;
            }
            last = (window, copy);
            sleep(Duration::from_millis(1));
        }
        before
    }

    fn log(&self) -> String {
        let lines = |gateway: &GatewayProcess| {
            let lines = gateway.log().into_iter();
            lines.filter(|line| line.contains("duty") || line.contains("usage")).collect()
        };
        let lines: Vec<Vec<String>> = self.gateways.iter().map(lines).collect();
        lines.concat().join("\n")
    }

    /// Checks the reports of the windows from `first` to `last` against the true counts.
    fn check_reports(&self, first: u64, last: u64, truth: &BTreeMap<u64, u64>) {
        let calls = self.platform.calls();
        assert_eq!(check_duty_calls(&calls, LEASE), Ok(()), "{}", self.log());
        let mut accepted: BTreeMap<u64, u64> = BTreeMap::new();
        for call in calls.iter().filter(|call| call.status == 200) {
            assert_eq!(call.target, "/usage");
            let window = call.body["window_number"].as_u64().unwrap();
            let count = call.body["counts"][ACCOUNT].as_u64().unwrap_or(0);
            let former = accepted.insert(window, count);
            assert!(former.is_none_or(|former| former == count), "two counts of {window}");
            let due = (window + 1) as u128 * WINDOW.as_millis() + LATE.as_millis();
            let arrived = SystemTime::now() - call.arrived.elapsed();
            let arrived = arrived.duration_since(UNIX_EPOCH).unwrap().as_millis();
            assert!(arrived <= due, "window {window} is {} ms late", arrived - due);
        }
        for window in first..=last {
            let count = accepted.get(&window);
            let count = *count.unwrap_or_else(|| panic!("no {window}:\n{}", self.log()));
            let expected = truth.get(&window).copied().unwrap_or(0);
            let deviation = count.abs_diff(expected) as f64 / expected.max(1) as f64;
            assert!(deviation <= TOLERANCE, "window {window}: {count} instead of {expected}");
        }
    }
}

/// Clients that send plain requests, streams and requests without an account to gateways.
struct Load {
    is_ended: Arc<AtomicBool>,
    truth: Arc<Mutex<BTreeMap<u64, u64>>>,
    clients: Vec<JoinHandle<()>>,
}

impl Load {
    fn start<'a>(gateways: impl Iterator<Item = &'a GatewayProcess>) -> Load {
        let (is_ended, truth) = (Arc::new(AtomicBool::new(false)), Arc::default());
        let mut load = Load { is_ended, truth, clients: Vec::new() };
        for (number, gateway) in gateways.enumerate() {
            let (is_ended, truth) = (load.is_ended.clone(), load.truth.clone());
            let address = gateway.address;
            load.clients.push(spawn(move || send_requests(number, address, &is_ended, &truth)));
        }
        load
    }

    /// Ends the load, and returns the number of requests of the account by window.
    fn end(self) -> BTreeMap<u64, u64> {
        self.is_ended.store(true, Ordering::Relaxed);
        for client in self.clients {
            client.join().unwrap();
        }
        let truth = self.truth.lock().unwrap();
        truth.clone()
    }
}

fn send_requests(
    number: usize,
    address: SocketAddr,
    is_ended: &AtomicBool,
    truth: &Mutex<BTreeMap<u64, u64>>,
) {
    let targets = ["/safe/", "/stream/", "/open/"];
    for request in 0.. {
        if is_ended.load(Ordering::Relaxed) {
            return;
        }
        let target = targets[request % targets.len()];
        let key = if target == "/open/" { "" } else { KEY };
        let mut client = Client::connect(address).unwrap();
        client.send_request(target, &format!("{number}-{request}"), key, "body").unwrap();
        let response = client.read_response().unwrap();
        assert_eq!(response.message.status(), 200, "{target}");
        if target != "/open/" {
            *truth.lock().unwrap().entry(window_at(SystemTime::now())).or_default() += 1;
        }
        sleep(PAUSE);
    }
}

/// Sleeps until windows have passed since now. Returns the first and the last of them that are complete.
fn pass_windows(windows: u32) -> (u64, u64) {
    let first = window_at(SystemTime::now()) + 1;
    sleep(WINDOW * (windows + 1));
    (first, first + u64::from(windows) - 1)
}

/// Guards against counts that are missing, counted twice or assigned to another window.
#[test]
fn counts_of_all_gateways_are_reported_once_for_each_window() {
    let fleet = Fleet::start("cloud.duties=usage_reporting\n");
    fleet.wait_for_holder();
    let load = Load::start(fleet.gateways.iter());
    let (first, last) = pass_windows(4);
    let truth = load.end();
    sleep(WINDOW * 3);
    fleet.check_reports(first, last, &truth);
}

/// The counts that only the holder had are sent again to its successor, in time, and a report that was sent
/// is not sent with other counts.
#[test]
fn counts_are_reported_in_time_although_the_holder_is_killed() {
    let mut fleet = Fleet::start("cloud.duties=usage_reporting\n");
    let holder = fleet.wait_for_holder();
    let others = fleet.gateways.iter().enumerate().filter(|(number, _)| *number != holder);
    let load = Load::start(others.map(|(_, gateway)| gateway));
    let (first, _) = pass_windows(2);
    fleet.gateways[holder].restart("KILL").unwrap();
    let (_, last) = pass_windows(6);
    let truth = load.end();
    sleep(LATE);
    fleet.check_reports(first, last, &truth);
}

/// Which gateways are lost with the history of the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Lost {
    Holder,
    All,
}

/// Guards against a second report of a window, with other counts, when the store has lost the first one and
/// every gateway that knew of it is gone. What ends after the return is reported.
#[rstest]
fn windows_that_the_store_has_lost_are_not_reported_again(
    #[values(Lost::Holder, Lost::All)] lost: Lost,
) {
    let mut fleet = Fleet::start("cloud.duties=usage_reporting\n");
    for _ in 0..2 {
        let holder = fleet.wait_for_holder();
        let load = Load::start(fleet.gateways.iter());
        let copy = fleet.copy_before_next_report();
        load.end();
        fleet.store.set_mode(StoreMode::Unavailable);
        for (number, gateway) in fleet.gateways.iter_mut().enumerate() {
            if lost == Lost::All || number == holder {
                gateway.restart("KILL").unwrap();
            }
        }
        fleet.store.restore(copy, &[]);
        fleet.store.set_mode(StoreMode::Up);
        let first = window_at(SystemTime::now()) + 1;
        sleep(LEASE * 4);
        let load = Load::start(fleet.gateways.iter());
        let (_, last) = pass_windows(2);
        let truth = load.end();
        sleep(WINDOW * 3);
        fleet.check_reports(first, last, &truth);
    }
}

/// Windows wait for the platform, and none is given up.
#[test]
fn windows_are_reported_after_an_outage_of_the_platform() {
    let fleet = Fleet::start("cloud.duties=usage_reporting\n");
    fleet.wait_for_holder();
    let load = Load::start(fleet.gateways.iter());
    let (first, _) = pass_windows(1);
    fleet.platform.set_mode(DutyApiMode::Down);
    sleep(WINDOW * 2);
    fleet.platform.set_mode(DutyApiMode::Refusing(429));
    let (_, last) = pass_windows(1);
    fleet.platform.set_mode(DutyApiMode::Up);
    let truth = load.end();
    sleep(WINDOW * 3);
    fleet.check_reports(first, last, &truth);
}

/// Guards against a request that is counted with each of its attempts, and against the count of one that no
/// endpoint has run.
#[test]
fn request_is_counted_once_however_often_it_is_sent_and_not_if_it_did_not_run() {
    let fleet = Fleet::start("cloud.duties=usage_reporting\n");
    fleet.wait_for_holder();
    let mut client = Client::connect(fleet.gateways[0].address).unwrap();
    let mut send = |target: &str, id: &str| {
        client.send_request(target, id, KEY, "body").unwrap();
        client.read_response().unwrap().message.status()
    };
    let set = |behaviours: [Behaviour; 2]| {
        let endpoints = fleet.endpoints.iter().zip(behaviours);
        endpoints.for_each(|(endpoint, behaviour)| endpoint.set_behaviour(behaviour));
    };
    set([Behaviour::Fail, Behaviour::Fail]);
    assert_eq!([send("/safe/", "fail-1"), send("/safe/", "fail-2")], [500, 500]);
    let sends: usize = fleet.endpoints.iter().map(|e| e.received_requests().len()).sum();
    assert!(sends > 2, "no request was sent again");
    set([Behaviour::Reject, Behaviour::Reject]);
    assert_eq!([send("/safe/", "reject-1"), send("/stream/", "reject-2")], [503, 503]);
    set([Behaviour::Succeed, Behaviour::Succeed]);
    let mut served = 0;
    for number in 0..10 {
        served += u64::from(send("/stream/", &format!("serve-{number}")) == 200);
    }
    sleep(WINDOW * 3);
    let mut accepted: BTreeMap<u64, u64> = BTreeMap::new();
    for call in fleet.platform.calls() {
        let window = call.body["window_number"].as_u64().unwrap();
        accepted.insert(window, call.body["counts"][ACCOUNT].as_u64().unwrap_or(0));
    }
    assert!(served > 0);
    assert_eq!(accepted.values().sum::<u64>(), served + 2, "{}", fleet.log());
}

/// Sends a report of a daemon without requests to a gateway.
fn report_to(gateway: &GatewayProcess) -> DutyReply {
    let report = DutyReport {
        name: String::from("front-d-1"),
        data_centre: String::from("a"),
        incarnation: 1,
        sequence: 1,
        current_window: window_at(SystemTime::now()),
        last_window: None,
        is_last: true,
        windows: Vec::new(),
        covered_ms: 0,
        services: Vec::new(),
    };
    let url = format!("http://{}/duty-report", gateway.peers);
    let req = attohttpc::post(url).bytes(rmp_serde::to_vec_named(&report).unwrap());
    let response = req.send().unwrap();
    assert_eq!(response.status().as_u16(), 200);
    rmp_serde::from_slice(&response.bytes().unwrap()).unwrap()
}

/// Guards against counts that go on to a former holder because the notice of the new one was lost.
#[test]
fn daemon_that_does_not_hold_the_duties_names_the_holder() {
    let fleet = Fleet::start("cloud.duties=usage_reporting\n");
    let holder = fleet.wait_for_holder();
    for gateway in &fleet.gateways {
        gateway.wait_for_log(&["duty_holder_known"]).unwrap();
        let reply = report_to(gateway);
        assert_eq!(reply.address, fleet.gateways[holder].peers.to_string());
    }
}

/// A deployment without the duty is served as before. One that orders capacity has reports of the demand,
/// but no usage reports.
#[rstest]
#[case::no_duty("", 404)]
#[case::another_duty("scaling", 400)]
fn nothing_is_reported_without_the_duty(#[case] duties: &str, #[case] status: u16) {
    let fleet = Fleet::start(&format!("cloud.duties={duties}\n"));
    let load = Load::start(fleet.gateways.iter());
    pass_windows(2);
    load.end();
    assert_eq!(fleet.platform.calls().len(), 0);
    let mut client = Client::connect(fleet.gateways[0].peers).unwrap();
    client.send_request("/duty-report", "r", "", "body").unwrap();
    assert_eq!(client.read_response().unwrap().message.status(), status);
}
