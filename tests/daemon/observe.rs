//! Spans, metrics and what operators are told.

use crate::support::{
    Events, KEY, Next, PATIENCE, PLACE, caller, daemon, signal, skip_to_long_answer, start, status,
    wait_until,
};
use fakes::InstanceKind::Engine;
use fakes::{Caller, Member, Site};
use serde_json::{Value, json};
use std::collections::BTreeSet;
use std::net::{SocketAddr, UdpSocket};
use std::sync::mpsc::{Receiver, channel};
use std::thread;
use utils::listen;

const TRACE: &str = "4bf92f3577b34da6a3ce929d0e0e4736";
const CALLER_SPAN: &str = "00f067aa0ba902b7";

/// An address at which nobody listens.
const NO_COLLECTOR: &str = "127.0.0.1:1";

/// Listens as a collector of spans; gives the body of each export.
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

fn bytes_of(hex: &str) -> Vec<u8> {
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
fn can_trace_a_request_over_two_daemons_to_the_engine() {
    let (collector, exports) = start_collector();
    let collector = collector.to_string();
    let args = ["--spans", &collector];
    let site = start(&[
        daemon("daemon-1", PLACE, &args),
        daemon("daemon-2", PLACE, &args),
        Member::new("engine-1", Engine, PLACE, &["--token-ms", "2", "--slots", "1"]),
    ]);
    skip_to_long_answer(&site, "daemon-1", 1_024);
    let address = site.address("daemon-1");
    let mut first = Events::open(address);
    first.take(1);
    let traceparent = format!("00-{TRACE}-{CALLER_SPAN}-01");
    // The second request waits behind the first; the stop hands it over.
    let mut second = Events::open_with(address, &[("traceparent", &traceparent)]);
    signal(&site, "daemon-1", "-TERM");
    assert_eq!(first.rest().2, Next::Done);
    let (id, end) = (second.id.clone(), second.rest().2);
    assert_eq!(end, Next::Done);
    let there = spans(&site, "daemon-2", &id);
    let engine_span = site.get("engine-1", "/counts").unwrap()[&id]["traceparent"].clone();
    let attempt = there.iter().find(|span| span["name"] == "attempt").unwrap();
    let text = |span: &Value, name: &str| span[name].as_str().unwrap().to_string();
    assert_eq!(engine_span, format!("00-{TRACE}-{}-01", text(attempt, "span")));
    let request = there.iter().find(|span| span["name"] == "request").unwrap();
    assert_eq!(attempt["parent"], request["span"]);
    let handed_over = bytes_of(&text(request, "parent"));
    let parts = [
        bytes_of(TRACE),
        bytes_of(CALLER_SPAN),
        handed_over,
        bytes_of(&text(request, "span")),
        bytes_of(&text(attempt, "span")),
    ];
    let mut seen = BTreeSet::new();
    while seen.len() < parts.len() {
        let body = exports.recv_timeout(PATIENCE).expect("a span is not exported");
        seen.extend((0..parts.len()).filter(|i| contains(&body, &parts[*i])));
    }
}

#[test]
fn can_send_each_measure_to_a_statsd_collector() {
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    socket.set_read_timeout(Some(PATIENCE)).unwrap();
    let address = socket.local_addr().unwrap().to_string();
    let site = start(&[
        daemon("daemon-1", PLACE, &["--metrics", &address]),
        Member::new("engine-1", Engine, PLACE, &["--token-ms", "1"]),
    ]);
    assert!(caller(&site, "daemon-1").chat("", "route", 20).is_complete(20));
    let (key, class) = ("key-3".to_string(), "made up".to_string());
    let refused = Caller { key, class, ..caller(&site, "daemon-1") }.chat("", "route", 20);
    assert_eq!(refused.verdict(), "not_run");
    let classes = status(&site, "daemon-1")["classes"].clone();
    assert!(classes["made up"].is_null(), "a stranger's word makes no class");
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
    // Metrics are buffered; further requests push them out.
    while !missing.is_empty() {
        assert!(caller(&site, "daemon-1").chat("", "route", 20).is_complete(20));
        let len = socket.recv(&mut buf).unwrap();
        let text = String::from_utf8_lossy(&buf[..len]).to_string();
        missing.retain(|metric| !text.contains(*metric));
    }
}

#[test]
fn can_tell_operators_of_store_admission_and_members() {
    let mut site = start(&[
        daemon("daemon-1", PLACE, &["--spans", NO_COLLECTOR]),
        daemon("daemon-2", PLACE, &[]),
        Member::new("engine-1", Engine, PLACE, &["--token-ms", "1"]),
    ]);
    assert!(caller(&site, "daemon-1").chat("", "route", 20).is_complete(20));
    let told = status(&site, "daemon-1");
    assert_eq!(told["members"][0]["state"], "live", "{told}");
    assert_eq!(told["classes"]["plan"]["attained"], 1, "{told}");
    wait_until(|| status(&site, "daemon-1")["store"]["reachable"] == true);
    // Of two daemons both watch the store.
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
    let events = Events::come_back(site.address("daemon-2"), KEY, &id, "0");
    assert_eq!(events.status, 200, "streams need no store");
}
