//! Starts of a gateway while one of its addresses is in use.

use crate::support::Site;
use fakes::GatewayProcess;
use rstest::rstest;
use std::net::{SocketAddr, TcpListener};
use std::thread::sleep;
use std::time::Duration;

/// Longer than a process takes to start or to exit.
const OCCUPIED_TIME: Duration = Duration::from_secs(1);

fn address_for_clients(gateway: &GatewayProcess) -> SocketAddr {
    gateway.address
}

fn address_for_daemons(gateway: &GatewayProcess) -> SocketAddr {
    gateway.peers
}

fn address_of_readiness(gateway: &GatewayProcess) -> SocketAddr {
    gateway.ready
}

fn address_of_metrics(gateway: &GatewayProcess) -> SocketAddr {
    gateway.metrics
}

/// Kills a gateway and listens on one of its addresses in its place.
fn occupy(gateway: &GatewayProcess, address: SocketAddr) -> TcpListener {
    gateway.signal("KILL").unwrap();
    loop {
        if let Ok(listener) = TcpListener::bind(address) {
            return listener;
        }
    }
}

/// Guards against a process that ends by itself since its predecessor still has one of its addresses.
#[rstest]
fn process_that_starts_waits_for_an_address_that_is_in_use(
    #[values(address_for_clients, address_for_daemons, address_of_readiness, address_of_metrics)]
    address: fn(&GatewayProcess) -> SocketAddr,
) {
    let mut site = Site::start();
    let listener = occupy(&site.gateway, address(&site.gateway));
    site.gateway.restart("KILL").unwrap();
    sleep(OCCUPIED_TIME);
    assert!(!site.gateway.has_exited().unwrap(), "the process ended by itself");
    drop(listener);
    let has_started = || site.gateway.log_with(&["\"event\":\"started\""]).len() == 2;
    site.gateway.wait_for(has_started, "the process starts").unwrap();
    let served = || {
        let response = site.send_request("/safe/", "r1");
        response.message.status() == 200
    };
    site.gateway.wait_for(served, "requests are served").unwrap();
}

/// Guards against a process that does not start because it has to serve metrics at an address that it
/// needs for something else.
#[rstest]
fn process_whose_settings_use_the_address_of_its_metrics_serves_requests_without_them(
    #[values(address_for_clients, address_for_daemons, address_of_readiness)]
    address: fn(&GatewayProcess) -> SocketAddr,
) {
    let mut site = Site::start();
    site.gateway.metrics = address(&site.gateway);
    site.gateway.restart("KILL").unwrap();
    let has_started = || site.gateway.log_with(&["\"event\":\"started\""]).len() == 2;
    site.gateway.wait_for(has_started, "the process starts").unwrap();
    let port = site.gateway.metrics.port().to_string();
    assert_eq!(site.gateway.log_with(&["metrics_not_served", &port]).len(), 1);
    let served = || site.send_request("/safe/", "r1").message.status() == 200;
    site.gateway.wait_for(served, "requests are served").unwrap();
}

#[test]
fn process_that_waits_for_an_address_ends_when_it_is_stopped() {
    let mut site = Site::start();
    let listener = occupy(&site.gateway, site.gateway.peers);
    site.gateway.restart("KILL").unwrap();
    site.gateway.wait_for_log(&["address_in_use"]).unwrap();
    site.gateway.signal("TERM").unwrap();
    assert!(site.gateway.wait().unwrap(), "the exit status is not 0");
    drop(listener);
}
