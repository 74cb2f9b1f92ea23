//! What daemons send each other while much changes, and after the daemon that they follow is lost. The
//! link of a reader carries the responses to all its followers.

use crate::region::Region;
use fakes::{Client, GatewayProcess};
use messages::feed::FeedRequest;
use serde_json::{Value, json};
use std::thread::sleep;
use std::time::{Duration, Instant};

/// Endpoints with load, as many as one response reports.
const LOADED_ENDPOINTS: usize = 1_000;
/// Time between changes of the registry.
const CHANGE_INTERVAL: Duration = Duration::from_millis(50);
/// Time over which the traffic is compared.
const PERIOD: Duration = Duration::from_secs(3);

/// Crash reports that all daemons know.
const NOTICES: usize = 400;
/// Age of a report that is no news, so that its rate is not limited, in milliseconds.
const NOTICE_AGE_MS: u64 = 6_000;
/// The time for which a daemon used to repeat its reports to a new reader, and that of a succession.
const SUCCESSION_TIME: Duration = Duration::from_secs(7);

/// Sends a report to a gateway in place of the reader of another data centre.
fn report(gateway: &GatewayProcess, loads: &[Value], notices: &[Value]) {
    let req: FeedRequest = serde_json::from_value(json!({
        "name": "elsewhere-1", "data_centre": "elsewhere", "whole_data_centre": true,
        "wait_ms": 0, "loads": loads, "notices": notices,
    }))
    .unwrap();
    let body = rmp_serde::to_vec_named(&req).unwrap();
    let head = format!("POST /feed HTTP/1.1\r\nHost: x\r\nContent-Length: {}\r\n\r\n", body.len());
    let mut client = Client::connect(gateway.peers).unwrap();
    client.send(&[head.into_bytes(), body].concat()).unwrap();
    assert_eq!(client.read_response().unwrap().message.status(), 200);
}

fn metrics(gateway: &GatewayProcess) -> String {
    let mut client = Client::connect(gateway.metrics).unwrap();
    client.send(b"GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n").unwrap();
    String::from_utf8(client.read_response().unwrap().message.body.clone()).unwrap()
}

/// The sum of the metrics whose names begin with `prefix`, of some gateways.
fn sum(gateways: &[GatewayProcess], prefix: &str) -> u64 {
    let values = |gateway: &GatewayProcess| -> u64 {
        let text = metrics(gateway);
        let lines = text.lines().filter(|line| line.starts_with(prefix));
        lines.filter_map(|line| line.rsplit(' ').next()?.parse::<u64>().ok()).sum()
    };
    gateways.iter().map(values).sum()
}

/// The bytes of responses and of requests between some gateways so far.
fn traffic(gateways: &[GatewayProcess]) -> [u64; 2] {
    ["chervilspur_feed_bytes_total", "chervilspur_feed_request_bytes_total"]
        .map(|name| sum(gateways, name))
}

/// The bytes that a reader sends in a period, in which it gets the loads of another data centre again
/// and again and `change` is called after each interval.
fn sent_in_period(reader: &[GatewayProcess], mut change: impl FnMut()) -> u64 {
    let loads: Vec<Value> = (0..LOADED_ENDPOINTS)
        .map(|n| json!([format!("i-{n:04}"), 1, 3, 2_000, 9_000, 1]))
        .collect();
    report(&reader[0], &loads, &[]);
    let ([before, _], started) = (traffic(reader), Instant::now());
    while started.elapsed() < PERIOD {
        sleep(CHANGE_INTERVAL);
        report(&reader[0], &loads, &[]);
        change();
    }
    traffic(reader)[0] - before
}

/// The loads are news whether something else changes or not.
#[test]
fn changes_in_quick_succession_do_not_repeat_the_loads_of_all_endpoints() {
    let region = Region::with_one_data_centre();
    let reader = &region.gateways[..1];
    let quiet = sent_in_period(reader, || {});
    let mut number = 0;
    let changing = sent_in_period(reader, || {
        number += 1;
        let entry = json!({
            "service": "pool", "address": format!("127.0.0.1:{}", 10_000 + number), "zone": "a",
            "version": "v1", "slots": 8, "state": "ready", "cold_remaining_ms": 0, "sequence": 1,
            "born": 1,
        });
        region.store.put("servers", &format!("i-{number}"), entry);
    });
    assert!(changing < 2 * quiet, "{changing} bytes with changes, {quiet} without");
}

fn crash(number: usize) -> Value {
    json!({
        "origin": 7, "sequence": number, "age_ms": NOTICE_AGE_MS,
        "crash": {
            "service": "pool", "endpoint": format!("i-{number}"), "parts": [number], "ran_ms": 100,
        },
    })
}

/// Each daemon knows all notices before the reader is lost.
#[test]
fn succession_costs_less_than_sending_what_all_know_to_one_of_them() {
    let region = Region::with_one_data_centre();
    let notices: Vec<Value> = (0..NOTICES).map(crash).collect();
    let size = serde_json::to_vec(&notices).unwrap().len() as u64;
    report(&region.gateways[0], &[], &notices);
    sleep(PERIOD);
    let (reader, survivors) = region.gateways.split_at(1);
    let before = traffic(reader);
    sleep(SUCCESSION_TIME);
    let usual = [0, 1].map(|n| traffic(reader)[n] - before[n]);
    let before = traffic(survivors);
    reader[0].signal("KILL").unwrap();
    sleep(SUCCESSION_TIME);
    let after = traffic(survivors);
    let claims = sum(survivors, "chervilspur_reader_claims_total{outcome=\"written\"}");
    assert_eq!(claims, 1, "successions after the loss of the reader");
    for (n, name) in ["responses", "requests"].into_iter().enumerate() {
        let bytes = after[n] - before[n];
        assert!(
            bytes < usual[n] + size,
            "{name}: {bytes} bytes, usually {}, all notices {size}",
            usual[n]
        );
    }
}

/// They differ from the new reader by one departure at most.
#[test]
fn followers_that_know_the_registry_get_no_complete_copy_from_a_new_reader() {
    let region = Region::with_one_data_centre();
    let entry = |number: usize, state: &str| {
        let (address, id) = (format!("127.0.0.1:{}", 10_000 + number), format!("i-{number}"));
        let entry = json!({
            "service": "pool", "address": address, "zone": "a", "version": "v1", "slots": 8,
            "state": state, "cold_remaining_ms": 0, "sequence": 1, "born": 1,
        });
        region.store.put("servers", &id, entry);
    };
    (0..50).for_each(|number| entry(number, "ready"));
    let (reader, survivors) = region.gateways.split_at(1);
    for gateway in &region.gateways {
        gateway.wait_for_log(&["endpoint_joined", "i-49"]).unwrap();
    }
    reader[0].signal("KILL").unwrap();
    entry(7, "draining");
    for gateway in survivors {
        gateway.wait_for_log(&["endpoint_left", "i-7"]).unwrap();
    }
    let copies = sum(survivors, "chervilspur_feed_bytes_total{content=\"registry\"}");
    assert_eq!(copies, 0, "bytes of complete copies");
}
