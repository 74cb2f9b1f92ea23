//! Gateways of this build beside those of an earlier one, as while instances are upgraded one after
//! the other, or an upgrade is turned back.

mod platform_objects;

use fakes::{
    Client, DutyApi, GatewayConfig, GatewayProcess, NetworkPath, PathState, PlatformEndpoint,
    PlatformStore, check_duty_calls, earlier_gateway,
};
use platform_objects::{KEY, configuration, registration, route};
use rstest::rstest;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::path::PathBuf;
use std::sync::OnceLock;
use std::thread::sleep;
use std::time::{Duration, Instant};

/// The last commit whose daemons send configurations whole.
const EARLIER_COMMIT: &str = "1768b130011a96f2c1555d06759a960cf2f4ffa6";
/// The last commit whose holders of the duties write no era of the store.
const COMMIT_WITHOUT_ERAS: &str = "64214d92af3bc29845840d8e6ad8a6151fe463f0";
/// The time after which requests at a gateway that reaches no endpoint must be served (`contact_ms`).
const CONTACT_TIME: Duration = Duration::from_secs(4);
const ADDED_ROUTES: usize = 1_400;

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Build {
    Earlier,
    Current,
}

impl Build {
    fn program(self) -> Option<PathBuf> {
        static EARLIER: OnceLock<PathBuf> = OnceLock::new();
        let build = || earlier_gateway(EARLIER_COMMIT).unwrap();
        (self == Build::Earlier).then(|| EARLIER.get_or_init(build).clone())
    }
}

/// A store with two endpoints.
struct Platform {
    store: PlatformStore,
    endpoints: Vec<PlatformEndpoint>,
}

impl Platform {
    fn start() -> Platform {
        fakes::build_programs().unwrap();
        let store = PlatformStore::start().unwrap();
        store.put("config", "main", configuration(1, &[KEY]));
        let start = |id: &str| PlatformEndpoint::start(id, 1, Duration::ZERO).unwrap();
        let endpoints: Vec<PlatformEndpoint> = ["i-1", "i-2"].map(start).into();
        for endpoint in &endpoints {
            store.put("servers", &endpoint.id, registration(endpoint, "ready", 1));
        }
        Platform { store, endpoints }
    }

    fn gateway(&self, name: &str, build: Build) -> GatewayProcess {
        let cfg = GatewayConfig {
            name: name.to_owned(),
            program: build.program(),
            ..GatewayConfig::default()
        };
        let gateway = GatewayProcess::start(self.store.address, &cfg).unwrap();
        wait_for_version(&gateway, 1);
        gateway
    }

    /// Adds routes to those of the first configuration, the last one with the name of the version.
    fn add_routes(&self, version: u64, keys: &[&str]) {
        let mut configuration = configuration(version, keys);
        let routes = configuration["routes"].as_array_mut().unwrap();
        routes.extend((1..ADDED_ROUTES).map(|number| added_route(&format!("r{number}"))));
        routes.push(added_route(&format!("v{version}")));
        self.store.put("config", "main", configuration);
    }
}

fn added_route(name: &str) -> Value {
    let mut added = route(name, "safe", 2, false);
    added["path_prefix"] = json!(format!("/{name}/"));
    added
}

fn wait_for_version(gateway: &GatewayProcess, version: u64) {
    let version = format!("\"version\":{version},");
    gateway.wait_for_log(&["configuration_in_force", &version]).unwrap();
}

fn status(gateway: &GatewayProcess, target: &str) -> u16 {
    static SENT: std::sync::atomic::AtomicU64 = std::sync::atomic::AtomicU64::new(0);
    let number = SENT.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
    let response = Client::connect(gateway.address).and_then(|mut client| {
        client.send_request(target, &format!("e{number}"), KEY, "body")?;
        client.read_response()
    });
    response.map_or(0, |response| response.message.status())
}

#[rstest]
#[case(Build::Earlier, Build::Current)]
#[case(Build::Current, Build::Earlier)]
fn changes_reach_a_follower_of_the_other_build(#[case] reader: Build, #[case] follower: Build) {
    let platform = Platform::start();
    let reader = platform.gateway("front-1", reader);
    reader.wait_for_log(&["reader_claimed"]).unwrap();
    let follower = platform.gateway("front-2", follower);
    follower.wait_for_log(&["peer_followed", "front-1"]).unwrap();
    let both = [&reader, &follower];
    platform.add_routes(2, &[KEY]);
    for gateway in both {
        wait_for_version(gateway, 2);
        assert_eq!(status(gateway, "/v2/"), 200, "{}", gateway.log().join("\n"));
    }
    platform.store.put("servers", "i-2", registration(&platform.endpoints[1], "draining", 2));
    platform.add_routes(3, &["another-key"]);
    for gateway in both {
        gateway.wait_for_log(&["endpoint_left", "i-2"]).unwrap();
        wait_for_version(gateway, 3);
        assert_eq!(status(gateway, "/v3/"), 401, "{}", gateway.log().join("\n"));
        assert_eq!(status(gateway, "/v2/"), 404, "{}", gateway.log().join("\n"));
    }
}

#[rstest]
#[case(Build::Earlier, Build::Current)]
#[case(Build::Current, Build::Earlier)]
fn reader_is_replaced_by_a_daemon_of_the_other_build(
    #[case] reader: Build,
    #[case] successor: Build,
) {
    let platform = Platform::start();
    let mut reader = platform.gateway("front-1", reader);
    reader.wait_for_log(&["reader_claimed"]).unwrap();
    let successor = platform.gateway("front-2", successor);
    successor.wait_for_log(&["peer_followed", "front-1"]).unwrap();
    reader.signal("STOP").unwrap();
    successor.wait_for_log(&["reader_claimed", "Written"]).unwrap();
    platform.add_routes(2, &[KEY]);
    wait_for_version(&successor, 2);
    reader.restart("KILL").unwrap();
    reader.wait_for_log(&["peer_followed", "front-2"]).unwrap();
    platform.add_routes(3, &[KEY]);
    for gateway in [&reader, &successor] {
        wait_for_version(gateway, 3);
        assert_eq!(status(gateway, "/v3/"), 200, "{}", gateway.log().join("\n"));
    }
}

/// The whole fleet is upgraded one instance after the other, and turned back in the same way. A
/// configuration changes between the steps.
#[test]
fn fleet_serves_while_it_is_upgraded_and_turned_back() {
    let platform = Platform::start();
    let mut gateways: Vec<GatewayProcess> =
        (1..4).map(|n| platform.gateway(&format!("front-{n}"), Build::Earlier)).collect();
    let mut version = 1;
    for build in [Build::Current, Build::Earlier] {
        for replaced in 0..gateways.len() {
            gateways[replaced].replace_program(build.program(), "TERM").unwrap();
            version += 1;
            platform.add_routes(version, &[KEY]);
            let target = format!("/v{version}/");
            for gateway in &gateways {
                let is_served = || status(gateway, &target) == 200;
                gateway.wait_for(is_served, &format!("{target} with {build:?}")).unwrap();
            }
        }
    }
}

#[rstest]
#[case(Build::Earlier, Build::Current)]
#[case(Build::Current, Build::Earlier)]
fn daemon_of_the_other_build_serves_requests_that_are_passed_on(
    #[case] cut_off: Build,
    #[case] other: Build,
) {
    let platform = Platform::start();
    let addresses = platform.endpoints.iter().map(|endpoint| endpoint.address);
    let paths: Vec<NetworkPath> =
        addresses.clone().map(|address| NetworkPath::start(address).unwrap()).collect();
    let replaced = addresses.zip(paths.iter().map(|path| path.address)).collect();
    let view = platform.store.start_view(replaced).unwrap();
    let regions = [("a", "r"), ("b", "s")].map(|(a, b)| (a.to_owned(), b.to_owned()));
    let start = |number: usize, build: Build, store| {
        let (data_centre, region) = regions[number].clone();
        let cfg = GatewayConfig {
            name: format!("front-{number}"),
            data_centre,
            region,
            other_data_centres: BTreeMap::from(regions.clone()),
            program: build.program(),
            ..GatewayConfig::default()
        };
        GatewayProcess::start(store, &cfg).unwrap()
    };
    let gateways = [start(0, cut_off, view), start(1, other, platform.store.address)];
    for gateway in &gateways {
        gateway.wait_for_log(&["endpoint_joined", "i-2"]).unwrap();
        gateway.wait_for_log(&["daemons_counted", "\"count\":2"]).unwrap();
    }
    paths.iter().for_each(|path| path.set(PathState::Reset).unwrap());
    let cut_at = Instant::now();
    while cut_at.elapsed() < CONTACT_TIME {
        status(&gateways[0], "/safe/");
        sleep(Duration::from_millis(50));
    }
    for target in ["/safe/", "/once/", "/stream/"] {
        let served = (0..20).filter(|_| status(&gateways[0], target) == 200).count();
        assert_eq!(served, 20, "{target}:\n{}", gateways[0].log().join("\n"));
    }
    assert!(!gateways[0].log_with(&["\"event\":\"relayed\""]).is_empty());
}

/// The lease and the usage windows of gateways with duties.
const LEASE: Duration = Duration::from_millis(1_500);
const USAGE_WINDOW: Duration = Duration::from_secs(2);

fn gateway_with_duties(
    platform: &Platform,
    api: &DutyApi,
    name: &str,
    build: Build,
) -> GatewayProcess {
    let earlier = || earlier_gateway(COMMIT_WITHOUT_ERAS).unwrap();
    let cfg = GatewayConfig {
        name: name.to_owned(),
        further_settings: format!(
            "cloud.address={}\ncloud.duties=usage_reporting\ncloud.duty_per_s=20\n\
             bounds.lease_ms={}\nbounds.report_window_s={}\nbounds.usage_late_s=10\n",
            api.address,
            LEASE.as_millis(),
            USAGE_WINDOW.as_secs(),
        ),
        program: (build == Build::Earlier).then(earlier),
        ..GatewayConfig::default()
    };
    GatewayProcess::start(platform.store.address, &cfg).unwrap()
}

/// The windows that a gateway has reported, in the order of the calls.
fn reported_windows(api: &DutyApi, name: &str) -> Vec<u64> {
    let calls = api.calls().into_iter().filter(|call| call.holder == name && call.status == 200);
    calls.filter_map(|call| call.body["window_number"].as_u64()).collect()
}

/// Sends requests to a gateway until it has reported a number of windows.
fn wait_for_reports(api: &DutyApi, gateway: &GatewayProcess, name: &str, count: usize) {
    let has_reported = || {
        // Keys are not confirmed for a moment after the reader is lost, so that some are refused.
        status(gateway, "/safe/");
        reported_windows(api, name).len() >= count
    };
    gateway.wait_for(has_reported, "windows of usage are reported").unwrap();
}

/// Guards against windows that are left out or get two counts while instances are upgraded: one of the two
/// builds writes no era of the store into the object of the duties.
#[rstest]
#[case(Build::Earlier, Build::Current)]
#[case(Build::Current, Build::Earlier)]
fn duties_go_on_at_a_daemon_of_the_other_build(#[case] holder: Build, #[case] successor: Build) {
    let platform = Platform::start();
    let api = DutyApi::start().unwrap();
    let first = gateway_with_duties(&platform, &api, "front-1", holder);
    wait_for_reports(&api, &first, "front-1", 1);
    let second = gateway_with_duties(&platform, &api, "front-2", successor);
    second.wait_for_log(&["peer_followed", "front-1"]).unwrap();
    let before = reported_windows(&api, "front-1").len();
    wait_for_reports(&api, &first, "front-1", before + 2);
    first.signal("KILL").unwrap();
    wait_for_reports(&api, &second, "front-2", 3);
    assert_eq!(check_duty_calls(&api.calls(), LEASE), Ok(()));
    let mut counts: BTreeMap<u64, Value> = BTreeMap::new();
    for call in api.calls().iter().filter(|call| call.status == 200) {
        let window = call.body["window_number"].as_u64().unwrap();
        // The successor may repeat the last report of the holder, unchanged.
        let former = counts.insert(window, call.body["counts"].clone());
        assert!(
            former.is_none_or(|former| former == call.body["counts"]),
            "two counts of {window}"
        );
    }
    assert!(counts.values().any(|counts| counts["north"].as_u64() > Some(0)), "nothing is counted");
    let windows: Vec<u64> = counts.into_keys().collect();
    let all: Vec<u64> = (windows[0]..).take(windows.len()).collect();
    assert_eq!(windows, all, "a window is missing");
}
