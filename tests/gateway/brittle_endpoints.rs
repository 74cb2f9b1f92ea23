//! How often endpoints fall over that reject requests while they are brittle.

use crate::support::{KEY, Site, registration};
use fakes::{Client, GatewayConfig, GatewayProcess, Room};
use rstest::rstest;
use std::net::SocketAddr;
use std::thread::{scope, sleep};
use std::time::{Duration, Instant};

/// The rejections in a second that an endpoint bears.
const MAX_REJECTIONS: usize = 4;
const SLOTS: usize = 6;
const WORK: Duration = Duration::from_millis(60);
/// The time that daemons have to act on the statement (`contact_ms`).
const CONTACT_TIME: Duration = Duration::from_secs(4);
/// The time for which the endpoints have little room.
const BRITTLE_TIME: Duration = Duration::from_secs(8);
/// The falls that the platform allows in one such time: two, and one in ten endpoints.
const ALLOWED_FALLS: usize = 2;
/// Clients of all gateways together: several times as many as the endpoints have slots.
const CLIENTS: usize = 48;
/// The pause of a client after a response.
const PAUSE: Duration = Duration::from_millis(20);

/// A site with a number of gateways, whose endpoints register with few slots.
fn start(gateways: usize) -> (Site, Vec<GatewayProcess>) {
    let site = Site::start();
    for runner in &site.runners {
        let mut entry = registration(runner, "ready", 2);
        entry["slots"] = SLOTS.into();
        site.store.put("servers", &runner.id, entry);
    }
    let start = |number: usize| {
        let cfg = GatewayConfig { name: format!("front-{number}"), ..GatewayConfig::default() };
        GatewayProcess::start(site.store.address, &cfg).unwrap()
    };
    let others: Vec<GatewayProcess> = (2..=gateways).map(start).collect();
    for gateway in others.iter().chain([&site.gateway]) {
        let count = format!("\"count\":{gateways}}}");
        gateway.wait_for_log(&["daemons_counted", &count]).unwrap();
    }
    (site, others)
}

/// Sends requests of many clients to all gateways until `end`; returns how many were served.
fn send_requests(gateways: &[SocketAddr], end: Instant) -> usize {
    let send = |client: usize| {
        let gateway = gateways[client % gateways.len()];
        let (mut served, mut sent) = (0, 0);
        while Instant::now() < end {
            sent += 1;
            let mut connection = Client::connect(gateway).unwrap();
            let id = format!("c{client}-{sent}-{end:?}");
            connection.send_request("/safe/", &id, KEY, "").unwrap();
            let status = connection.read_response().map(|response| response.message.status());
            served += usize::from(status.is_ok_and(|status| status == 200));
            sleep(PAUSE);
        }
        served
    };
    scope(|scope| {
        let clients: Vec<_> =
            (0..CLIENTS).map(|client| scope.spawn(move || send(client))).collect();
        clients.into_iter().map(|client| client.join().unwrap()).sum()
    })
}

#[rstest]
fn brittle_endpoints_do_not_fall_over_from_rejected_requests(#[values(1, 3)] gateways: usize) {
    let (site, others) = start(gateways);
    let addresses: Vec<SocketAddr> =
        [&site.gateway].into_iter().chain(&others).map(|gateway| gateway.address).collect();
    let room = Room {
        slots: SLOTS * 8,
        work: WORK,
        max_rejections: Some(MAX_REJECTIONS),
        restart_after: Duration::from_secs(1),
    };
    site.runners.iter().for_each(|runner| runner.set_room(Some(room)));
    send_requests(&addresses, Instant::now() + CONTACT_TIME);
    site.runners.iter().for_each(|runner| runner.set_room(Some(Room { slots: SLOTS, ..room })));
    let served = send_requests(&addresses, Instant::now() + BRITTLE_TIME);
    let falls: usize = site.runners.iter().map(|runner| runner.crashes().len()).sum();
    assert!(falls <= ALLOWED_FALLS, "{falls} falls, {ALLOWED_FALLS} allowed; {served} served");
    let slots = SLOTS * site.runners.len();
    let capacity = slots * (BRITTLE_TIME.as_millis() / WORK.as_millis()) as usize;
    assert!(served * 2 >= capacity, "{served} of {capacity} possible requests are served");
}

#[test]
fn slots_are_used_again_when_endpoints_are_no_longer_brittle() {
    let (site, _) = start(1);
    let room = Room {
        slots: SLOTS,
        work: WORK,
        max_rejections: Some(0),
        restart_after: Duration::from_secs(1),
    };
    site.runners.iter().for_each(|runner| runner.set_room(Some(room)));
    send_requests(&[site.gateway.address], Instant::now() + Duration::from_secs(2));
    let room = Room { slots: SLOTS * 8, max_rejections: None, ..room };
    site.runners.iter().for_each(|runner| runner.set_room(Some(room)));
    // A fallen endpoint is back, and used again.
    send_requests(&[site.gateway.address], Instant::now() + Duration::from_secs(4));
    let second = Duration::from_secs(1);
    let served = send_requests(&[site.gateway.address], Instant::now() + second);
    let offered = CLIENTS * (second.as_millis() / (WORK + PAUSE).as_millis()) as usize;
    assert!(served * 4 >= offered * 3, "{served} of {offered} requests are served");
}
