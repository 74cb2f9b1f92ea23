//! Responses of endpoints that end within their heads.

use crate::support::{KEY, Site};
use fakes::{HeadCut, HeadCutter};
use rstest::rstest;
use serde_json::json;

const LENGTH: &str = "Content-Length: 2\r\n";
const CHUNKS: &str = "Transfer-Encoding: chunked\r\n";
const CONNECTION: &str = "Connection: close\r\n";

/// A site whose only endpoint cuts the heads of its responses.
fn site(framing: &str) -> (Site, HeadCutter) {
    let site = Site::start();
    let endpoint = HeadCutter::start("i-3", framing).unwrap();
    let entry = json!({
        "service": "pool", "address": endpoint.address.to_string(), "zone": "a", "version": "v1",
        "slots": 8, "state": "ready", "cold_remaining_ms": 0, "sequence": 1, "born": 1,
    });
    site.store.put("servers", "i-3", entry);
    site.gateway.wait_for_log(&["endpoint_joined", "i-3"]).unwrap();
    for id in ["i-1", "i-2"] {
        site.store.delete("servers", id);
        site.gateway.wait_for_log(&["endpoint_left", id]).unwrap();
    }
    (site, endpoint)
}

/// Sends a request and returns the status; 0 if the connection ended without a response.
fn status(site: &Site, target: &str, id: &str) -> u16 {
    let mut client = site.client();
    client.send_request(target, id, KEY, "body").unwrap();
    client.read_response().map_or(0, |response| response.message.status())
}

/// The endpoint cuts each possible part of its head, so clients get no response of it.
#[rstest]
fn response_that_ends_within_its_head_is_not_passed_on(
    #[values(LENGTH, CHUNKS, CONNECTION)] framing: &str,
    #[values(false, true)] is_reset: bool,
    #[values("/safe/", "/once/", "/stream/")] target: &str,
) {
    let framing = match target {
        "/stream/" => format!("Content-Type: text/event-stream\r\n{framing}"),
        _ => framing.to_owned(),
    };
    let (site, endpoint) = site(&framing);
    let length = endpoint.head("r000").len();
    for bytes in 0..length {
        endpoint.set(HeadCut { bytes, is_reset, complete_before: 0 });
        let status = status(&site, target, &format!("r{bytes:03}"));
        assert!(status >= 500, "status {status} with {bytes} of {length} bytes of the head");
    }
    assert_eq!(endpoint.cuts(), length);
}

/// The connection has carried a complete response before.
#[rstest]
fn second_response_of_a_connection_that_ends_within_its_head_is_not_passed_on(
    #[values(false, true)] is_reset: bool,
    #[values("/safe/", "/once/")] target: &str,
) {
    let (site, endpoint) = site(LENGTH);
    let length = endpoint.head("r000").len();
    for bytes in 0..length {
        endpoint.set(HeadCut { bytes, is_reset, complete_before: 1 });
        assert_eq!(status(&site, target, &format!("a{bytes:03}")), 200);
        let status = status(&site, target, &format!("r{bytes:03}"));
        assert!(status >= 500, "status {status} with {bytes} of {length} bytes of the head");
    }
    assert_eq!(endpoint.cuts(), length);
}
