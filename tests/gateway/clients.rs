use crate::support::{KEY, Site};
use fakes::{Behaviour, GatewayConfig, GatewayProcess, PlatformStore};
use rstest::rstest;
use std::time::Duration;

#[rstest]
#[case("/safe/", "wrong", 401)]
#[case("/open/", "wrong", 200)]
#[case("/nowhere/", KEY, 404)]
#[case("/safe/", KEY, 200)]
fn request_is_authorized_by_the_configuration(
    #[case] target: &str,
    #[case] key: &str,
    #[case] status: u16,
) {
    let site = Site::start();
    let mut client = site.client();
    client.send_request(target, "r1", key, "").unwrap();
    assert_eq!(client.read_response().unwrap().message.status(), status);
}

#[test]
fn refuses_requests_before_the_first_configuration() {
    fakes::build_programs().unwrap();
    let store = PlatformStore::start().unwrap();
    let gateway = GatewayProcess::start(store.address, &GatewayConfig::default()).unwrap();
    let mut client = fakes::Client::connect(gateway.address).unwrap();
    client.send_request("/safe/", "r1", KEY, "").unwrap();
    let response = client.read_response().unwrap().message;
    assert_eq!(response.status(), 503);
    assert!(!response.header("retry-after").is_empty());
}

#[test]
fn serves_several_requests_on_one_connection() {
    let site = Site::start();
    let mut client = site.client();
    for number in 0..5 {
        client.send_request("/safe/", &format!("r{number}"), KEY, "body").unwrap();
        assert_eq!(client.read_response().unwrap().message.status(), 200);
    }
}

#[test]
fn accepts_a_chunked_request_body() {
    let site = Site::start();
    let mut client = site.client();
    let request = format!(
        "POST /safe/ HTTP/1.1\r\nHost: model.example\r\nX-Chervilspur-Attempt-Id: r1\r\n\
         Api-Key: {KEY}\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
    );
    client.send(request.as_bytes()).unwrap();
    assert_eq!(client.read_response().unwrap().message.status(), 200);
    let received_requests: Vec<_> =
        site.runners.iter().flat_map(|r| r.received_requests()).collect();
    assert_eq!(received_requests[0].message.body, b"abcde");
}

#[test]
fn refuses_an_oversized_request_body() {
    let site = Site::start();
    let mut client = site.client();
    client.send_request("/safe/", "r1", KEY, &"x".repeat(1_001)).unwrap();
    assert_eq!(client.read_response().unwrap().message.status(), 413);
}

#[test]
fn refuses_an_oversized_request_head() {
    let site = Site::start();
    let mut client = site.client();
    let long = format!("X-Long: {}\r\n", "x".repeat(20_000));
    client.send_request_with("/safe/", "r1", KEY, "", &long).unwrap();
    assert_eq!(client.read_response().unwrap().message.status(), 431);
}

#[test]
fn refuses_malformed_http() {
    let site = Site::start();
    let mut client = site.client();
    client.send(b"nonsense\r\n\r\n").unwrap();
    assert_eq!(client.read_response().unwrap().message.status(), 400);
}

#[test]
fn closes_an_idle_client_connection() {
    let site = Site::start();
    let mut client = site.client();
    client.send_request("/safe/", "r1", KEY, "").unwrap();
    assert_eq!(client.read_response().unwrap().message.status(), 200);
    assert!(client.is_closed());
}

#[test]
fn cancels_the_request_of_a_disconnected_client() {
    let site = Site::start();
    site.runners.iter().for_each(|runner| runner.set_behaviour(Behaviour::Hang));
    let mut client = site.client();
    client.send_request("/safe/", "r1", KEY, "").unwrap();
    let arrived = || site.runners.iter().any(|r| !r.received_requests().is_empty());
    site.gateway.wait_for(arrived, "an endpoint has received the request").unwrap();
    drop(client);
    let cancelled = || {
        let received_requests: Vec<_> =
            site.runners.iter().flat_map(|r| r.received_requests()).collect();
        received_requests.iter().all(|arrival| arrival.cancelled.is_some())
    };
    site.gateway.wait_for(cancelled, "the connection to the endpoint closes").unwrap();
    assert_eq!(site.runs("r1"), 1);
}

#[test]
fn cancels_the_stream_of_a_disconnected_client() {
    let terms = GatewayConfig::default();
    let site = Site::with(&terms, 1_000, Duration::from_millis(10));
    let mut client = site.client();
    client.send_request("/stream/", "r1", KEY, "").unwrap();
    assert!(!client.read_first_chunk().unwrap().is_empty());
    drop(client);
    let cancelled = || {
        let received_requests: Vec<_> =
            site.runners.iter().flat_map(|r| r.received_requests()).collect();
        received_requests.iter().all(|arrival| arrival.cancelled.is_some())
    };
    site.gateway.wait_for(cancelled, "the endpoint's stream is cancelled").unwrap();
}
