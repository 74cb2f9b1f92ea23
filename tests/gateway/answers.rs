use crate::support::{KEY, Site, text};
use fakes::Behaviour;
use rstest::rstest;

fn set(site: &Site, behaviour: Behaviour) {
    site.runners.iter().for_each(|runner| runner.set_behaviour(behaviour));
}

#[test]
fn can_carry_a_request_and_its_answer() {
    let site = Site::start();
    let answer = site.ask("/safe/a?b=c", "r1");
    assert_eq!(answer.message.status(), 200);
    assert!(text(&answer).ends_with("to r1"), "{}", text(&answer));
    assert!(answer.message.header("x-chervilspur-server-seal").starts_with("i-"));
    let arrivals: Vec<_> = site.runners.iter().flat_map(|r| r.received_requests()).collect();
    let sent = &arrivals[0].message;
    assert_eq!(sent.start, "POST /safe/a?b=c HTTP/1.1");
    assert_eq!(sent.body, b"body");
    assert_eq!(sent.header("x-chervilspur-tenant"), "north");
    assert_eq!(sent.header("api-key"), "");
    let left: u64 = sent.header("x-chervilspur-deadline-remaining").parse().unwrap();
    assert!(left <= 4_000, "{left}");
}

#[test]
fn drops_headers_that_only_the_system_may_set() {
    let site = Site::start();
    let mut client = site.client();
    let own = "X-Chervilspur-Tenant: south\r\nX-Chervilspur-Hold: h\r\nKv-From: x\r\n\
               X-Chervilspur-Expected-Instance: i-9\r\nConnection: X-Once\r\nX-Once: 1\r\n\
               X-Kept: 2\r\n";
    client.send_request_with("/safe/", "r1", KEY, "", own).unwrap();
    assert_eq!(client.read_response().unwrap().message.status(), 200);
    let arrivals: Vec<_> = site.runners.iter().flat_map(|r| r.received_requests()).collect();
    let sent = &arrivals[0].message;
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
fn runs_a_request_once_that_may_not_be_repeated(#[case] behaviour: Behaviour, #[case] status: u16) {
    let site = Site::start();
    set(&site, behaviour);
    assert_eq!(site.ask("/once/", "r1").message.status(), status);
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
fn repeats_a_safe_request_at_another_endpoint(#[case] behaviour: Behaviour) {
    let site = Site::start();
    site.runners[0].set_behaviour(behaviour);
    for number in 0..8 {
        let answer = site.ask("/safe/", &format!("r{number}"));
        assert_eq!(answer.message.status(), 200);
        assert!(text(&answer).starts_with("answer of i-2"));
    }
}

#[test]
fn refuses_with_a_time_to_come_back_what_no_endpoint_ran() {
    let site = Site::start();
    set(&site, Behaviour::Reject);
    for target in ["/once/", "/safe/"] {
        let answer = site.ask(target, "r1");
        assert_eq!(answer.message.status(), 503);
        let seconds: f64 = answer.message.header("retry-after").parse().unwrap();
        assert!(seconds > 0.0 && seconds < 5.0);
    }
    assert_eq!(site.runs("r1"), 0);
}

#[test]
fn passes_no_extra_answer_to_the_next_client() {
    let site = Site::start();
    set(&site, Behaviour::DuplicateResponse);
    for number in 0..10 {
        let id = format!("r{number}");
        let answer = site.ask("/safe/", &id);
        assert_eq!(answer.message.status(), 200);
        assert!(text(&answer).ends_with(&format!("to {id}")), "{}", text(&answer));
    }
}

#[test]
fn keeps_connections_to_endpoints() {
    let site = Site::start();
    for number in 0..20 {
        assert_eq!(site.ask("/safe/", &format!("r{number}")).message.status(), 200);
    }
    let connections: usize = site.runners.iter().map(|r| r.connections()).sum();
    assert!(connections <= 4, "{connections}");
}
