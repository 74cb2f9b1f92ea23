//! What requests get that a gateway receives around its planned stop.

use crate::support::{KEY, Site, configuration};
use fakes::{Client, ClientResponse, GatewayConfig, Room};
use rstest::rstest;
use serde_json::json;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::thread::{scope, sleep};
use std::time::{Duration, Instant};

/// The time from the stop signal to the kill (`grace_s`).
const GRACE_TIME: Duration = Duration::from_secs(8);
const REQUEST_INTERVAL: Duration = Duration::from_millis(100);

/// Starts a site whose endpoints work for a while on each request, with a time limit for all routes.
fn site(work: Duration, time_limit: Duration) -> Site {
    let site = Site::with(&GatewayConfig::default(), 20, Duration::from_millis(50));
    for endpoint in &site.runners {
        let room = Room { slots: 1_000, work, max_rejections: None, restart_after: Duration::ZERO };
        endpoint.set_room(Some(room));
    }
    let mut limited = configuration(2, &[KEY]);
    for route in limited["routes"].as_array_mut().unwrap() {
        route["timeout_ms"] = json!(time_limit.as_millis() as u64);
    }
    site.store.put("config", "main", limited);
    site.gateway.wait_for_log(&["configuration_in_force", "\"version\":2"]).unwrap();
    site
}

/// Sends a request on a new connection; `None` if the connection is refused or ends without any
/// response.
fn send(gateway: SocketAddr, target: &str, id: &str) -> Option<ClientResponse> {
    let mut client = Client::connect(gateway).ok()?;
    client.send_request(target, id, KEY, "body").ok()?;
    client.read_response().ok()
}

/// Stops the gateway and sends it requests until it has exited. Returns the responses by the ids of
/// their requests.
fn send_until_exit(site: &mut Site, target: &str) -> Vec<(String, Option<ClientResponse>)> {
    let gateway = site.gateway.address;
    site.gateway.signal("TERM").unwrap();
    let started = Instant::now();
    scope(|scope| {
        let mut sent = Vec::new();
        while started.elapsed() < GRACE_TIME {
            let id = format!("r{}", sent.len());
            let request = id.clone();
            sent.push((id, scope.spawn(move || send(gateway, target, &request))));
            sleep(REQUEST_INTERVAL);
        }
        sent.into_iter().map(|(id, response)| (id, response.join().unwrap())).collect()
    })
}

/// The ids of the requests that endpoints ran.
fn ran(site: &Site) -> BTreeSet<String> {
    let received = site.runners.iter().flat_map(|endpoint| endpoint.received_requests());
    let ran = received.filter(|request| request.ran);
    ran.map(|request| request.message.header("x-chervilspur-attempt-id").to_owned()).collect()
}

#[rstest]
fn request_that_was_passed_on_is_not_cut_without_an_answer(
    #[values("/once/", "/safe/", "/stream/")] target: &str,
    #[values((500, 4_000), (2_500, 4_000), (3_500, 4_000), (6_000, 12_000))] times_ms: (u64, u64),
) {
    let (work, time_limit) = times_ms;
    let mut site = site(Duration::from_millis(work), Duration::from_millis(time_limit));
    let responses = send_until_exit(&mut site, target);
    assert!(site.gateway.wait().unwrap());
    let ran = ran(&site);
    let unanswered: Vec<&str> = responses
        .iter()
        .filter(|(id, response)| response.is_none() && ran.contains(id))
        .map(|(id, _)| id.as_str())
        .collect();
    assert!(
        unanswered.is_empty(),
        "{} of {} unanswered: {unanswered:?}",
        unanswered.len(),
        ran.len()
    );
    for (id, response) in &responses {
        let status = response.as_ref().map(|response| response.message.status());
        assert!(status != Some(503) || !ran.contains(id), "{id} ran and was answered with 503");
    }
    assert!(!ran.is_empty());
}

/// A stream that lasts longer than the grace time. The client of HTTP/1.0 has no other sign of its end
/// than that of the connection.
#[test]
fn stream_that_the_exit_cuts_does_not_look_complete_to_a_client_of_http_1_0() {
    let mut site = Site::with(&GatewayConfig::default(), 10_000, Duration::from_millis(20));
    let mut long_streams = configuration(2, &[KEY]);
    long_streams["routes"][3]["timeout_ms"] = json!(30_000);
    site.store.put("config", "main", long_streams);
    site.gateway.wait_for_log(&["configuration_in_force", "\"version\":2"]).unwrap();
    let mut client = site.client();
    let head = format!(
        "POST /stream/ HTTP/1.0\r\nHost: model.example\r\nX-Chervilspur-Attempt-Id: r1\r\n\
         X-Chervilspur-Deadline-Remaining: 30000\r\nApi-Key: {KEY}\r\nContent-Length: 0\r\n\r\n"
    );
    client.send(head.as_bytes()).unwrap();
    site.gateway.signal("TERM").unwrap();
    let (received, ended) = client.read_until_closed();
    assert!(received > 0);
    assert!(ended.is_err(), "the connection ended like a complete stream");
    assert!(site.gateway.wait().unwrap());
}

#[test]
fn second_stop_signal_does_not_end_requests_early() {
    let mut site = site(Duration::from_millis(1_500), Duration::from_millis(4_000));
    let gateway = site.gateway.address;
    let response = scope(|scope| {
        let sent = scope.spawn(move || send(gateway, "/once/", "r1"));
        sleep(Duration::from_millis(300));
        site.gateway.signal("TERM").unwrap();
        sleep(Duration::from_millis(300));
        site.gateway.signal("TERM").unwrap();
        sent.join().unwrap()
    });
    assert_eq!(response.map(|response| response.message.status()), Some(200));
    assert!(site.gateway.wait().unwrap());
}
