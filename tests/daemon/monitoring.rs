//! Spans, metrics and the status that operators read.

use crate::support::{
    EventReader, KEY, LOCATION, StreamItem, WAIT_TIMEOUT, caller, daemon, signal,
    skip_to_long_completion, start_members, status, wait_until,
};
use fakes::InstanceKind::Engine;
use fakes::{Caller, Member, Site};
use serde_json::{Value, json};
use std::collections::BTreeSet;
use std::net::{SocketAddr, UdpSocket};
use std::sync::mpsc::{Receiver, channel};
use std::thread;
use utils::listen;

const TRACE_ID: &str = "4bf92f3577b34da6a3ce929d0e0e4736";
const CALLER_SPAN_ID: &str = "00f067aa0ba902b7";

/// A port without a listener.
const UNREACHABLE_COLLECTOR: &str = "127.0.0.1:1";

/// Starts an OTLP collector that sends the body of each export to the receiver.
fn start_collector() -> (SocketAddr, Receiver<Vec<u8>>) {
    let server = listen("127.0.0.1:0".parse().unwrap(), None).unwrap();
    let address = server.server_addr().to_ip().unwrap();
    let (tx, rx) = channel();
    thread::spawn(move || {
        for mut req in server.incoming_requests() {
            let mut body = Vec::new();
            req.as_reader().read_to_end(&mut body).unwrap();
            assert_eq!(req.url(), "/v1/traces");
            utils::respond_json(req, 200, &json!({})).unwrap();
            if tx.send(body).is_err() {
                return;
            }
        }
    });
    (address, rx)
}

fn decode_hex(hex: &str) -> Vec<u8> {
    let byte = |i: usize| u8::from_str_radix(&hex[2 * i..2 * i + 2], 16).unwrap();
    (0..hex.len() / 2).map(byte).collect()
}

fn contains(body: &[u8], part: &[u8]) -> bool {
    body.windows(part.len()).any(|window| window == part)
}

fn spans(site: &Site, daemon: &str, id: &str) -> Vec<Value> {
    let explained = site.get(daemon, &format!("/admin/explain/{id}"));
    explained.map_or(Vec::new(), |e| e["spans"].as_array().unwrap().clone())
}

#[test]
fn trace_of_a_handed_off_request_spans_both_daemons_and_the_engine() {
    let (collector, exports) = start_collector();
    let collector = collector.to_string();
    let args = ["--spans", &collector];
    let site = start_members(&[
        daemon("daemon-1", LOCATION, &args),
        daemon("daemon-2", LOCATION, &args),
        Member::new("engine-1", Engine, LOCATION, &["--token-ms", "2", "--slots", "1"]),
    ]);
    skip_to_long_completion(&site, "daemon-1", 1_024);
    let address = site.address("daemon-1");
    let mut first = EventReader::open(address);
    first.read_tokens(1);
    let traceparent = format!("00-{TRACE_ID}-{CALLER_SPAN_ID}-01");
    // The second request waits behind the first; daemon-1 hands it off when it stops.
    let mut second = EventReader::open_with(address, &[("traceparent", &traceparent)]);
    signal(&site, "daemon-1", "-TERM");
    assert_eq!(first.read_to_end().2, StreamItem::Done);
    let (id, end) = (second.id.clone(), second.read_to_end().2);
    assert_eq!(end, StreamItem::Done);
    let spans = spans(&site, "daemon-2", &id);
    let engine_span = site.get("engine-1", "/counts").unwrap()[&id]["traceparent"].clone();
    let attempt = spans.iter().find(|span| span["name"] == "attempt").unwrap();
    let text = |span: &Value, name: &str| span[name].as_str().unwrap().to_string();
    assert_eq!(engine_span, format!("00-{TRACE_ID}-{}-01", text(attempt, "span")));
    let request = spans.iter().find(|span| span["name"] == "request").unwrap();
    assert_eq!(attempt["parent"], request["span"]);
    let handoff_span = decode_hex(&text(request, "parent"));
    let parts = [
        decode_hex(TRACE_ID),
        decode_hex(CALLER_SPAN_ID),
        handoff_span,
        decode_hex(&text(request, "span")),
        decode_hex(&text(attempt, "span")),
    ];
    let mut seen = BTreeSet::new();
    while seen.len() < parts.len() {
        let body = exports
            .recv_timeout(WAIT_TIMEOUT)
            .expect("the collector received no export before the timeout");
        seen.extend((0..parts.len()).filter(|i| contains(&body, &parts[*i])));
    }
}

#[test]
fn daemon_sends_each_metric_to_a_statsd_collector() {
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    socket.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
    let address = socket.local_addr().unwrap().to_string();
    let site = start_members(&[
        daemon("daemon-1", LOCATION, &["--metrics", &address]),
        Member::new("engine-1", Engine, LOCATION, &["--token-ms", "1"]),
    ]);
    assert!(caller(&site, "daemon-1").chat("", "route", 20).is_complete(20));
    let (key, class) = ("key-3".to_string(), "made up".to_string());
    let refused = Caller { key, class, ..caller(&site, "daemon-1") }.chat("", "route", 20);
    assert_eq!(refused.verdict(), "not_run");
    let classes = status(&site, "daemon-1")["classes"].clone();
    assert!(classes["made up"].is_null(), "a refused request must not create a class");
    let mut missing: BTreeSet<&str> = [
        "chervilspur.requests:1|c|#class:plan",
        "chervilspur.whole:1|c|#class:plan",
        "chervilspur.attained:1|c|#class:plan",
        "chervilspur.tokens:",
        "chervilspur.wasted_tokens:0|c|#class:plan",
        "chervilspur.link_bytes:0|c|#class:plan",
        "chervilspur.first_token:",
        "chervilspur.refused:1|c|#class:unknown,reason:unknown_account",
    ]
    .into();
    let mut buf = [0u8; 2_048];
    // Metrics are buffered until a packet is full; further requests fill it.
    while !missing.is_empty() {
        assert!(caller(&site, "daemon-1").chat("", "route", 20).is_complete(20));
        let len = socket.recv(&mut buf).unwrap();
        let text = String::from_utf8_lossy(&buf[..len]).to_string();
        missing.retain(|metric| !text.contains(*metric));
    }
}

#[test]
fn status_reports_the_store_attainment_members_and_export_failures() {
    let mut site = start_members(&[
        daemon("daemon-1", LOCATION, &["--spans", UNREACHABLE_COLLECTOR]),
        daemon("daemon-2", LOCATION, &[]),
        Member::new("engine-1", Engine, LOCATION, &["--token-ms", "1"]),
    ]);
    assert!(caller(&site, "daemon-1").chat("", "route", 20).is_complete(20));
    let status_before = status(&site, "daemon-1");
    assert_eq!(status_before["members"][0]["state"], "live", "{status_before}");
    assert_eq!(status_before["classes"]["plan"]["attained"], 1, "{status_before}");
    wait_until(|| status(&site, "daemon-1")["store"]["reachable"] == true);
    // With two daemons in the data centre, both watch the store.
    wait_until(|| status(&site, "daemon-1")["store"]["answered_ms_ago"].is_u64());
    wait_until(|| status(&site, "daemon-2")["notes"] == json!([]));
    wait_until(|| {
        let notes = status(&site, "daemon-1")["notes"].clone();
        notes[0].as_str().is_some_and(|note| note.ends_with("spans were not exported"))
    });
    site.store.kill().unwrap();
    wait_until(|| {
        let notes = status(&site, "daemon-1")["notes"].clone();
        notes.as_array().unwrap().contains(&json!("the store does not answer"))
    });
    let id = caller(&site, "daemon-1").chat("", "route", 20).request;
    let events = EventReader::resume(site.address("daemon-2"), KEY, &id, "0");
    assert_eq!(events.status, 200, "resuming a stream must not need the store");
}
