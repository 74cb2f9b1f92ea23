use crate::support::{KEY, Site, text};
use fakes::Behaviour;
use rstest::rstest;

fn set(site: &Site, behaviour: Behaviour) {
    site.runners.iter().for_each(|runner| runner.set_behaviour(behaviour));
}

#[test]
fn forwards_a_request_and_its_response() {
    let site = Site::start();
    let response = site.send_request("/safe/a?b=c", "r1");
    assert_eq!(response.message.status(), 200);
    assert!(text(&response).ends_with("to r1"), "{}", text(&response));
    assert!(response.message.header("x-chervilspur-server-seal").starts_with("i-"));
    let received_requests: Vec<_> =
        site.runners.iter().flat_map(|r| r.received_requests()).collect();
    let sent = &received_requests[0].message;
    assert_eq!(sent.start, "POST /safe/a?b=c HTTP/1.1");
    assert_eq!(sent.body, b"body");
    assert_eq!(sent.header("x-chervilspur-tenant"), "north");
    assert_eq!(sent.header("api-key"), "");
    let left: u64 = sent.header("x-chervilspur-deadline-remaining").parse().unwrap();
    assert!(left <= 4_000, "{left}");
}

#[test]
fn drops_client_headers_that_only_the_gateway_may_set() {
    let site = Site::start();
    let mut client = site.client();
    let client_headers = "X-Chervilspur-Tenant: south\r\nX-Chervilspur-Hold: h\r\nKv-From: x\r\n\
               X-Chervilspur-Expected-Instance: i-9\r\nConnection: X-Once\r\nX-Once: 1\r\n\
               X-Kept: 2\r\n";
    client.send_request_with("/safe/", "r1", KEY, "", client_headers).unwrap();
    assert_eq!(client.read_response().unwrap().message.status(), 200);
    let received_requests: Vec<_> =
        site.runners.iter().flat_map(|r| r.received_requests()).collect();
    let sent = &received_requests[0].message;
    assert_eq!(sent.header("x-chervilspur-tenant"), "north");
    assert_eq!(sent.header("x-kept"), "2");
    for name in ["x-chervilspur-hold", "kv-from", "x-once"] {
        assert_eq!(sent.header(name), "", "{name}");
    }
}

#[rstest]
#[case(Behaviour::Fail, 500)]
#[case(Behaviour::Close, 502)]
#[case(Behaviour::Truncate, 502)]
#[case(Behaviour::WrongRequest, 502)]
#[case(Behaviour::Unsigned, 502)]
#[case(Behaviour::AmbiguousStatus(503), 502)]
#[case(Behaviour::AmbiguousStatus(429), 502)]
#[case(Behaviour::AmbiguousStatus(408), 502)]
#[case(Behaviour::Hang, 504)]
fn request_that_must_not_be_repeated_runs_once(#[case] behaviour: Behaviour, #[case] status: u16) {
    let site = Site::start();
    set(&site, behaviour);
    assert_eq!(site.send_request("/once/", "r1").message.status(), status);
    assert_eq!(site.runs("r1"), 1);
}

#[rstest]
#[case(Behaviour::Fail)]
#[case(Behaviour::Reject)]
#[case(Behaviour::Close)]
#[case(Behaviour::Truncate)]
#[case(Behaviour::WrongRequest)]
#[case(Behaviour::Unsigned)]
#[case(Behaviour::AmbiguousStatus(503))]
#[case(Behaviour::AmbiguousStatus(429))]
fn retries_a_safe_request_at_another_endpoint(#[case] behaviour: Behaviour) {
    let site = Site::start();
    site.runners[0].set_behaviour(behaviour);
    for number in 0..8 {
        let response = site.send_request("/safe/", &format!("r{number}"));
        assert_eq!(response.message.status(), 200);
        assert!(text(&response).starts_with("answer of i-2"));
    }
}

#[test]
fn request_that_no_endpoint_ran_is_refused_with_a_retry_after_time() {
    let site = Site::start();
    set(&site, Behaviour::Reject);
    for target in ["/once/", "/safe/"] {
        let response = site.send_request(target, "r1");
        assert_eq!(response.message.status(), 503);
        let seconds: f64 = response.message.header("retry-after").parse().unwrap();
        assert!(seconds > 0.0 && seconds < 5.0);
    }
    assert_eq!(site.runs("r1"), 0);
}

#[test]
fn surplus_response_is_not_forwarded_to_the_next_client() {
    let site = Site::start();
    set(&site, Behaviour::DuplicateResponse);
    for number in 0..10 {
        let id = format!("r{number}");
        let response = site.send_request("/safe/", &id);
        assert_eq!(response.message.status(), 200);
        assert!(text(&response).ends_with(&format!("to {id}")), "{}", text(&response));
    }
}

#[test]
fn reuses_connections_to_endpoints() {
    let site = Site::start();
    for number in 0..20 {
        assert_eq!(site.send_request("/safe/", &format!("r{number}")).message.status(), 200);
    }
    let connections: usize = site.runners.iter().map(|r| r.connections()).sum();
    assert!(connections <= 4, "{connections}");
}
