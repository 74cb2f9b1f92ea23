//! How many requests an endpoint gets that states a limit.

use crate::support::{KEY, Site, configuration};
use fakes::{Client, GatewayConfig, GatewayProcess, PlatformEndpoint};
use rstest::rstest;
use std::net::SocketAddr;
use std::thread::{scope, sleep};
use std::time::{Duration, Instant};

/// The requests a second that the endpoint states.
const LIMIT_PER_S: f64 = 1.0;
/// The time that daemons have to act on a stated limit (`contact_ms`).
const CONTACT_TIME: Duration = Duration::from_secs(4);
/// The length of the windows in which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// What the platform allows in a window: one and a half times the limit, and five more.
const ALLOWED: usize = (1.5 * LIMIT_PER_S * 4.0) as usize + 5;
/// The time for which requests are sent.
const SENDING_TIME: Duration = Duration::from_secs(10);
const REQUEST_INTERVAL: Duration = Duration::from_millis(50);

/// A site with a number of gateways in one data centre.
fn start(gateways: usize) -> (Site, Vec<GatewayProcess>) {
    let site = Site::start();
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

/// Sends requests to each gateway, one after the other, and returns the number of those served.
fn send_requests(gateways: &[SocketAddr], target: &str, time: Duration) -> usize {
    let send = |number: usize, gateway: SocketAddr| {
        let started = Instant::now();
        let mut served = 0;
        let mut sent = 0;
        while started.elapsed() < time {
            sent += 1;
            let mut client = Client::connect(gateway).unwrap();
            client.send_request(target, &format!("g{number}-{sent}"), KEY, "").unwrap();
            let status = client.read_response().map(|response| response.message.status());
            served += usize::from(status.is_ok_and(|status| status == 200));
            sleep(REQUEST_INTERVAL);
        }
        served
    };
    scope(|scope| {
        let senders: Vec<_> = gateways
            .iter()
            .enumerate()
            .map(|(number, gateway)| scope.spawn(move || send(number, *gateway)))
            .collect();
        senders.into_iter().map(|sender| sender.join().unwrap()).sum()
    })
}

/// The most requests that an endpoint got in a window later than the contact time after its first.
fn most_in_window(endpoint: &PlatformEndpoint) -> usize {
    let arrivals: Vec<Instant> = endpoint.received_requests().iter().map(|r| r.arrived).collect();
    let Some(first) = arrivals.first() else { return 0 };
    let late: Vec<Instant> =
        arrivals.iter().copied().filter(|at| *at >= *first + CONTACT_TIME).collect();
    let in_window =
        |start: Instant| late.iter().filter(|at| **at >= start && **at < start + WINDOW).count();
    late.iter().map(|start| in_window(*start)).max().unwrap_or(0)
}

#[rstest]
fn endpoint_that_states_a_limit_gets_no_more_requests_than_allowed(
    #[values(1, 3)] gateways: usize,
) {
    let (site, others) = start(gateways);
    site.runners[0].set_stated_limit(Some(&LIMIT_PER_S.to_string()));
    let addresses: Vec<SocketAddr> =
        [&site.gateway].into_iter().chain(&others).map(|gateway| gateway.address).collect();
    let served = send_requests(&addresses, "/safe/", SENDING_TIME);
    let most = most_in_window(&site.runners[0]);
    assert!(most <= ALLOWED, "{most} requests in a window, {ALLOWED} allowed");
    assert!(most >= 2, "the endpoint is abandoned, though it still takes some requests");
    let sent = site.runners.iter().map(|runner| runner.received_requests().len()).sum::<usize>();
    assert!(served * 100 >= sent * 99, "{served} of {sent} requests are served");
}

#[test]
fn requests_beyond_the_limits_of_all_endpoints_are_refused_with_a_time_to_retry() {
    let site = Site::start();
    site.runners.iter().for_each(|runner| runner.set_stated_limit(Some("0.1")));
    send_requests(&[site.gateway.address], "/safe/", Duration::from_secs(1));
    let response = site.send_request("/safe/", "late");
    assert_eq!(response.message.status(), 503);
    let retry_after: f64 = response.message.header("retry-after").parse().unwrap();
    // The first request is allowed ten seconds after the limit was stated.
    assert!((5.0..11.0).contains(&retry_after), "{retry_after} s");
}

#[rstest]
#[case("nonsense")]
#[case("-1")]
#[case("NaN")]
#[case("1e400")]
fn unreadable_limit_is_ignored(#[case] limit: &str) {
    let site = Site::start();
    site.runners.iter().for_each(|runner| runner.set_stated_limit(Some(limit)));
    for number in 0..20 {
        let response = site.send_request("/safe/", &format!("r{number}"));
        assert_eq!(response.message.status(), 200, "{number}");
    }
}

#[test]
fn limit_ends_with_the_first_response_that_does_not_state_it() {
    let site = Site::start();
    site.store.put("config", "main", configuration(2, &[KEY]));
    site.runners[0].set_stated_limit(Some("2"));
    send_requests(&[site.gateway.address], "/safe/", Duration::from_secs(2));
    site.runners[0].set_stated_limit(None);
    // With another endpoint, a single slow response would keep requests away for seconds.
    site.store.delete("servers", "i-2");
    site.gateway.wait_for_log(&["endpoint_left", "i-2"]).unwrap();
    send_requests(&[site.gateway.address], "/safe/", Duration::from_secs(2));
    let before = site.runners[0].received_requests().len();
    let served = send_requests(&[site.gateway.address], "/safe/", Duration::from_secs(1));
    let requests = site.runners[0].received_requests().len() - before;
    let log = site.gateway.log().join("\n");
    assert!(requests >= 4, "{requests} of about 20 requests in a second; log:\n{log}");
    assert_eq!(served, requests, "requests served; log:\n{log}");
}
