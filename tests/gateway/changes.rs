use crate::support::{KEY, Site, configuration, registration};
use fakes::{GatewayConfig, StoreMode};
use rstest::rstest;
use serde_json::json;
use std::time::Duration;

#[test]
fn puts_a_new_configuration_in_force() {
    let site = Site::start();
    site.store.put("config", "main", configuration(2, &["another-key"]));
    site.gateway.wait_for_log(&["configuration_in_force", "\"version\":2"]).unwrap();
    assert_eq!(site.ask("/safe/", "r1").message.status(), 401);
}

#[test]
fn never_goes_back_to_an_older_configuration() {
    let site = Site::start();
    site.store.put("config", "main", configuration(5, &[KEY]));
    site.gateway.wait_for_log(&["configuration_in_force", "\"version\":5"]).unwrap();
    site.store.put("config", "main", configuration(4, &["another-key"]));
    site.gateway.wait_for_log(&["configuration_older", "\"version\":4"]).unwrap();
    assert_eq!(site.ask("/safe/", "r1").message.status(), 200);
}

#[test]
fn keeps_the_configuration_when_a_new_one_cannot_be_read() {
    let site = Site::start();
    site.store.put("config", "main", json!({ "version": 2, "routes": "none" }));
    site.gateway.wait_for_log(&["configuration_unreadable", "main"]).unwrap();
    assert_eq!(site.ask("/safe/", "r1").message.status(), 200);
}

#[test]
fn sends_nothing_to_a_draining_endpoint() {
    let site = Site::start();
    site.store.put("servers", "i-1", registration(&site.runners[0], "draining", 2));
    site.gateway.wait_for_log(&["endpoint_left", "i-1"]).unwrap();
    (0..10).for_each(|n| drop(site.ask("/safe/", &format!("r{n}"))));
    assert!(site.runners[0].received_requests().is_empty());
}

#[test]
fn sends_nothing_to_an_endpoint_whose_entry_is_gone() {
    let site = Site::start();
    site.store.delete("servers", "i-2");
    site.gateway.wait_for_log(&["endpoint_left", "i-2"]).unwrap();
    (0..10).for_each(|n| drop(site.ask("/safe/", &format!("r{n}"))));
    assert!(site.runners[1].received_requests().is_empty());
}

#[test]
fn uses_no_endpoint_of_a_malformed_entry_and_keeps_the_others() {
    let site = Site::start();
    site.store.put("servers", "i-3", json!({ "service": "pool", "address": 7 }));
    site.gateway.wait_for_log(&["endpoint_unreadable", "i-3"]).unwrap();
    assert_eq!(site.ask("/safe/", "r1").message.status(), 200);
}

#[test]
fn learns_of_changes_after_the_history_was_lost() {
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
fn trusts_no_key_without_proof_and_serves_again_afterwards(#[case] mode: StoreMode) {
    let terms = GatewayConfig { revocation_ms: 2_600, ..GatewayConfig::default() };
    let site = Site::with(&terms, 1, Duration::ZERO);
    site.store.set_mode(mode);
    let refused = || site.ask("/safe/", "r").message.status() == 503;
    site.gateway.wait_for(refused, "requests with a key are refused").unwrap();
    let mut open = site.client();
    open.send_request("/open/", "r2", "", "").unwrap();
    assert_eq!(open.read_response().unwrap().message.status(), 200);
    site.store.set_mode(StoreMode::Up);
    let served = || site.ask("/safe/", "r").message.status() == 200;
    site.gateway.wait_for(served, "requests with a key are served again").unwrap();
    site.gateway.wait_for_log(&["store_lost"]).unwrap();
    site.gateway.wait_for_log(&["store_regained"]).unwrap();
}

#[test]
fn shares_one_reader_of_the_store_in_a_data_centre() {
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

/// Returns how long the store was away for a kind, as the log says.
fn away_ms(site: &Site, kind: &str) -> i64 {
    let line = &site.gateway.log_with(&["store_regained", kind])[0];
    let value: serde_json::Value = serde_json::from_str(line).unwrap();
    value["after_ms"].as_i64().unwrap()
}

#[test]
fn learns_of_the_registry_at_once_when_the_store_is_back() {
    let site = Site::start();
    site.store.set_mode(StoreMode::Unavailable);
    for kind in ["endpoints", "configuration"] {
        site.gateway.wait_for_log(&["store_lost", kind]).unwrap();
    }
    site.store.set_mode(StoreMode::Up);
    for kind in ["endpoints", "configuration"] {
        site.gateway.wait_for_log(&["store_regained", kind]).unwrap();
    }
    // The longest pause between two calls is under a second; a watch waits for five.
    assert!(away_ms(&site, "endpoints") < away_ms(&site, "configuration") + 2_000);
}
