//! Connections to the store that deliver nothing any more, without a reset, while new ones work.

use crate::region::Region;
use crate::support::{KEY, registration};
use fakes::{Client, PlatformEndpoint};
use rstest::rstest;
use std::thread::sleep;
use std::time::{Duration, Instant};

/// The time after which a gateway is in touch again once its connections are lost (`contact_ms`), longer
/// than that after which no request may be sent to an endpoint that drains (`drain_ms`).
const CONTACT_TIME: Duration = Duration::from_secs(4);
/// How long the endpoint serves after that.
const SERVED_LATE: Duration = Duration::from_millis(600);
/// Time in which a gateway that learned of a change watches for the next one.
const WATCHED_AFTER: Duration = Duration::from_millis(100);
const REQUEST_INTERVAL: Duration = Duration::from_millis(20);
const WATCH_OF_REGISTRY: &str = "GET /objects/servers?watch=";
const WATCH_OF_CONFIGURATION: &str = "GET /objects/config?watch=";
const ANY_REQUEST: &str = " HTTP/1.1";

fn start_endpoints(region: &Region) -> [PlatformEndpoint; 2] {
    ["i-1", "i-2"].map(|id| {
        let endpoint = PlatformEndpoint::start(id, 1, Duration::ZERO).unwrap();
        region.store.put("servers", id, registration(&endpoint, "ready", 1));
        endpoint
    })
}

/// Has the store reader begin a new watch of the registry, so that its loss shows last.
fn renew_watch(region: &Region, endpoint: &PlatformEndpoint) {
    region.store.put("servers", &endpoint.id, registration(endpoint, "ready", 2));
    sleep(WATCHED_AFTER);
}

/// The watch of the registry goes silent, or all connections of the reader to the store do.
#[rstest]
fn draining_endpoint_gets_no_requests_when_connections_to_the_store_go_silent(
    #[values(WATCH_OF_REGISTRY, ANY_REQUEST)] request: &str,
) {
    let region = Region::with_one_data_centre_of(3);
    let endpoints = start_endpoints(&region);
    for gateway in &region.gateways {
        gateway.wait_for_log(&["endpoint_joined", "i-2"]).unwrap();
    }
    renew_watch(&region, &endpoints[1]);
    assert!(region.paths[0].silence(request) > 0, "no connection went silent");
    let silent_at = Instant::now();
    region.store.put("servers", "i-1", registration(&endpoints[0], "draining", 2));
    sleep(CONTACT_TIME.saturating_sub(silent_at.elapsed()));
    let late_from = Instant::now();
    for number in 0.. {
        if late_from.elapsed() >= SERVED_LATE {
            break;
        }
        let gateway = &region.gateways[number % region.gateways.len()];
        let mut client = Client::connect(gateway.address).unwrap();
        client.send_request("/once/", &format!("r{number}"), KEY, "body").unwrap();
        assert_eq!(client.read_response().unwrap().message.status(), 200);
        sleep(REQUEST_INTERVAL);
    }
    let received = endpoints[0].received_requests();
    let late = received.iter().filter(|request| request.arrived >= late_from).count();
    assert_eq!(late, 0, "requests reached it more than {CONTACT_TIME:?} after the silence");
}

#[rstest]
fn store_reader_with_a_silent_connection_is_not_replaced(
    #[values(WATCH_OF_REGISTRY, WATCH_OF_CONFIGURATION, ANY_REQUEST)] request: &str,
) {
    let region = Region::with_one_data_centre();
    assert!(region.paths[0].silence(request) > 0, "no connection went silent");
    sleep(CONTACT_TIME);
    for follower in &region.gateways[1..] {
        assert_eq!(follower.log_with(&["claim_planned"]), Vec::<String>::new());
    }
}
