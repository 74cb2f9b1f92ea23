use crate::support::{KEY, Site, configuration, registration};
use fakes::{GatewayConfig, GatewayProcess, PlatformEndpoint, PlatformStore, StoreMode};
use rstest::rstest;
use serde_json::json;
use std::thread::sleep;
use std::time::{Duration, Instant};

/// Time that endpoints have to register again after an outage.
const REREGISTRATION_TIME: Duration = Duration::from_secs(2);

#[test]
fn activates_a_new_configuration() {
    let site = Site::start();
    site.store.put("config", "main", configuration(2, &["another-key"]));
    site.gateway.wait_for_log(&["configuration_in_force", "\"version\":2"]).unwrap();
    assert_eq!(site.send_request("/safe/", "r1").message.status(), 401);
}

/// Guards against changes that are missed because the store came back as an older copy and gave out again the
/// revisions up to the one from which the gateway watches.
#[test]
fn activates_a_configuration_whose_revision_was_given_out_before() {
    let site = Site::start();
    let copy = site.store.copy();
    site.store.put("config", "main", configuration(2, &[KEY]));
    site.gateway.wait_for_log(&["configuration_in_force", "\"version\":2"]).unwrap();
    let names: Vec<String> = (0..20).map(|number| format!("object-{number}")).collect();
    let mut written = vec![("config", "main", configuration(3, &[KEY]))];
    written.extend(names.iter().map(|name| ("other", name.as_str(), json!({}))));
    site.store.restore(copy, &written);
    site.gateway.wait_for_log(&["configuration_in_force", "\"version\":3"]).unwrap();
}

#[test]
fn ignores_an_older_configuration() {
    let site = Site::start();
    site.store.put("config", "main", configuration(5, &[KEY]));
    site.gateway.wait_for_log(&["configuration_in_force", "\"version\":5"]).unwrap();
    site.store.put("config", "main", configuration(4, &["another-key"]));
    site.gateway.wait_for_log(&["configuration_older", "\"version\":4"]).unwrap();
    assert_eq!(site.send_request("/safe/", "r1").message.status(), 200);
}

#[test]
fn keeps_the_active_configuration_when_a_new_one_is_malformed() {
    let site = Site::start();
    site.store.put("config", "main", json!({ "version": 2, "routes": "none" }));
    site.gateway.wait_for_log(&["configuration_unreadable", "main"]).unwrap();
    assert_eq!(site.send_request("/safe/", "r1").message.status(), 200);
}

#[test]
fn draining_endpoint_gets_no_requests() {
    let site = Site::start();
    site.store.put("servers", "i-1", registration(&site.runners[0], "draining", 2));
    site.gateway.wait_for_log(&["endpoint_left", "i-1"]).unwrap();
    (0..10).for_each(|n| drop(site.send_request("/safe/", &format!("r{n}"))));
    assert!(site.runners[0].received_requests().is_empty());
}

#[test]
fn endpoint_without_an_entry_gets_no_requests() {
    let site = Site::start();
    site.store.delete("servers", "i-2");
    site.gateway.wait_for_log(&["endpoint_left", "i-2"]).unwrap();
    (0..10).for_each(|n| drop(site.send_request("/safe/", &format!("r{n}"))));
    assert!(site.runners[1].received_requests().is_empty());
}

#[test]
fn malformed_entry_does_not_affect_other_endpoints() {
    let site = Site::start();
    site.store.put("servers", "i-3", json!({ "service": "pool", "address": 7 }));
    site.gateway.wait_for_log(&["endpoint_unreadable", "i-3"]).unwrap();
    assert_eq!(site.send_request("/safe/", "r1").message.status(), 200);
}

#[test]
fn reads_changes_after_the_store_dropped_its_history() {
    let site = Site::start();
    site.store.set_mode(StoreMode::HistoryGone);
    site.store.put("config", "main", configuration(3, &[KEY]));
    site.gateway.wait_for_log(&["history_gone"]).unwrap();
    site.store.set_mode(StoreMode::Up);
    site.gateway.wait_for_log(&["configuration_in_force", "\"version\":3"]).unwrap();
}

#[rstest]
#[case(StoreMode::Unavailable)]
#[case(StoreMode::Silent)]
#[case(StoreMode::Closed)]
fn refuses_keys_during_a_store_outage_and_accepts_them_after_it(#[case] mode: StoreMode) {
    let terms = GatewayConfig { revocation_ms: 2_600, ..GatewayConfig::default() };
    let site = Site::with(&terms, 1, Duration::ZERO);
    site.store.set_mode(mode);
    let refused = || site.send_request("/safe/", "r").message.status() == 503;
    site.gateway.wait_for(refused, "requests with a key are refused").unwrap();
    let mut open = site.client();
    open.send_request("/open/", "r2", "", "").unwrap();
    assert_eq!(open.read_response().unwrap().message.status(), 200);
    // A watch that is repeated on another connection ends a shorter outage before it counts as a loss.
    site.gateway.wait_for_log(&["store_lost"]).unwrap();
    site.store.set_mode(StoreMode::Up);
    let served = || site.send_request("/safe/", "r").message.status() == 200;
    site.gateway.wait_for(served, "requests with a key are served again").unwrap();
    site.gateway.wait_for_log(&["store_regained"]).unwrap();
}

#[test]
fn data_centre_shares_one_store_reader() {
    let site = Site::start();
    let other = GatewayConfig { name: String::from("front-2"), ..GatewayConfig::default() };
    let other = fakes::GatewayProcess::start(site.store.address, &other).unwrap();
    let both = [&site.gateway, &other];
    let follows = || both.iter().any(|g| !g.log_with(&["peer_followed"]).is_empty());
    other.wait_for(follows, "one daemon follows the other").unwrap();
    site.store.put("config", "main", configuration(9, &[KEY]));
    for gateway in both {
        gateway.wait_for_log(&["configuration_in_force", "\"version\":9"]).unwrap();
    }
    let followed = usize::from(site.gateway.log_with(&["peer_followed"]).is_empty());
    both[1 - followed].signal("KILL").unwrap();
    both[followed].wait_for_log(&["peer_lost"]).unwrap();
    site.store.put("config", "main", configuration(11, &[KEY]));
    both[followed].wait_for_log(&["configuration_in_force", "\"version\":11"]).unwrap();
}

/// Its configuration arrives some milliseconds after it accepts connections.
#[test]
fn request_to_a_daemon_that_has_just_started_waits_for_its_configuration() {
    let site = Site::start();
    let other = GatewayConfig { name: String::from("front-2"), ..GatewayConfig::default() };
    let other = fakes::GatewayProcess::start(site.store.address, &other).unwrap();
    let mut client = fakes::Client::connect(other.address).unwrap();
    client.send_request("/safe/", "r1", KEY, "body").unwrap();
    assert_eq!(client.read_response().unwrap().message.status(), 200);
}

/// Entries expire while the store is down, and endpoints register again when it is back. Whichever
/// daemon reads it first then must know that, also one that did not read it before.
#[test]
fn entries_that_expired_in_an_outage_are_kept_by_each_daemon_that_becomes_the_reader() {
    let site = Site::start();
    let other = GatewayConfig { name: String::from("front-2"), ..GatewayConfig::default() };
    let other = fakes::GatewayProcess::start(site.store.address, &other).unwrap();
    other.wait_for_log(&["peer_followed"]).unwrap();
    site.store.set_mode(StoreMode::Unavailable);
    // A watch that is waiting still returns a change.
    site.gateway.wait_for_log(&["store_lost", "endpoints"]).unwrap();
    site.store.delete("servers", "i-2");
    let refused = || site.send_request("/safe/", "r").message.status() == 503;
    site.gateway.wait_for(refused, "keys are no longer valid").unwrap();
    let returned = Instant::now();
    site.store.set_mode(StoreMode::Up);
    let both = [&site.gateway, &other];
    loop {
        let has_left = both.iter().any(|g| !g.log_with(&["endpoint_left", "i-2"]).is_empty());
        let elapsed = returned.elapsed();
        if elapsed >= REREGISTRATION_TIME {
            break;
        }
        assert!(!has_left, "removed within {elapsed:?}");
        sleep(Duration::from_millis(20));
    }
    for gateway in both {
        gateway.wait_for_log(&["endpoint_left", "i-2"]).unwrap();
    }
}

/// The length of the store outage for one kind of object, from the log.
fn outage_ms(site: &Site, kind: &str) -> i64 {
    let line = &site.gateway.log_with(&["store_regained", kind])[0];
    let value: serde_json::Value = serde_json::from_str(line).unwrap();
    value["after_ms"].as_i64().unwrap()
}

#[test]
fn reads_the_registry_promptly_after_a_store_outage() {
    let site = Site::start();
    site.store.set_mode(StoreMode::Unavailable);
    for kind in ["endpoints", "configuration"] {
        site.gateway.wait_for_log(&["store_lost", kind]).unwrap();
    }
    site.store.set_mode(StoreMode::Up);
    for kind in ["endpoints", "configuration"] {
        site.gateway.wait_for_log(&["store_regained", kind]).unwrap();
    }
    // The maximum retry delay is under a second, whereas a watch waits for five.
    assert!(outage_ms(&site, "endpoints") < outage_ms(&site, "configuration") + 2_000);
}

#[test]
fn logs_only_the_number_of_many_endpoints_that_join_at_a_time() {
    fakes::build_programs().unwrap();
    let store = PlatformStore::start().unwrap();
    store.put("config", "main", configuration(1, &[KEY]));
    let endpoint = PlatformEndpoint::start("i-1", 1, Duration::ZERO).unwrap();
    for number in 0..150 {
        let id = format!("i-many-{number:03}");
        store.put("servers", &id, registration(&endpoint, "ready", 1));
    }
    let gateway = GatewayProcess::start(store.address, &GatewayConfig::default()).unwrap();
    gateway.wait_for_log(&["registry_changed", "\"joined\":150"]).unwrap();
    assert!(gateway.log_with(&["endpoint_joined"]).is_empty());
}
