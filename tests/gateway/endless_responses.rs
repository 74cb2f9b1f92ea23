//! Responses of faulty endpoints with bytes that do not end.

use crate::support::{KEY, Site, configuration, text};
use fakes::{Client, EndlessEndpoint, EndlessPart, GatewayConfig, GatewayProcess, PlatformStore};
use rstest::rstest;
use serde_json::json;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// The memory limit of the gateway (`limits.memory_mb`), in bytes.
const MEMORY_LIMIT: u64 = 110 << 20;
/// Streams that are under way at a time, which together may have less than the limit.
const STREAMS: usize = 8;
/// Requests that are under way at a time, whose responses together may have many times the limit.
const REQUESTS: usize = 48;
/// Time for which a store or another daemon sends without end.
const ENDLESS_TIME: Duration = Duration::from_secs(3);

fn terms() -> GatewayConfig {
    GatewayConfig { memory_mb: MEMORY_LIMIT >> 20, ..GatewayConfig::default() }
}

/// A site with one more endpoint, whose responses do not end. The sound ones leave unless `is_mixed`.
fn site(part: EndlessPart, is_mixed: bool) -> (Site, EndlessEndpoint) {
    let site = Site::with(&terms(), 5, Duration::from_millis(5));
    let endpoint = EndlessEndpoint::start("i-3", part).unwrap();
    let entry = json!({
        "service": "pool", "address": endpoint.address.to_string(), "zone": "a", "version": "v1",
        "slots": 64, "state": "ready", "cold_remaining_ms": 0, "sequence": 1, "born": 1,
    });
    site.store.put("servers", "i-3", entry);
    site.gateway.wait_for_log(&["endpoint_joined", "i-3"]).unwrap();
    for id in ["i-1", "i-2"].into_iter().filter(|_| !is_mixed) {
        site.store.delete("servers", id);
        site.gateway.wait_for_log(&["endpoint_left", id]).unwrap();
    }
    (site, endpoint)
}

/// Sends requests at the same time. Returns their statuses, 0 for a connection that ended without one,
/// whether each response is complete, and its text.
fn send_together(site: &Site, target: &str, requests: usize) -> Vec<(u16, bool, String)> {
    let address = site.gateway.address;
    let send = |number: usize| -> JoinHandle<(u16, bool, String)> {
        let target = target.to_owned();
        thread::spawn(move || {
            let mut client = Client::connect(address).unwrap();
            client.send_request(&target, &format!("r{number}"), KEY, "body").unwrap();
            let response = client.read_response();
            response.map_or((0, false, String::new()), |response| {
                (response.message.status(), response.is_complete, text(&response))
            })
        })
    };
    let clients: Vec<_> = (0..requests).map(send).collect();
    clients.into_iter().map(|client| client.join().unwrap()).collect()
}

fn assert_within_memory(gateway: &GatewayProcess) {
    let peak = gateway.peak_memory().unwrap();
    assert!(peak < MEMORY_LIMIT, "{peak} bytes of memory");
}

/// Guards against an incomplete event of any length that is kept until the process has no memory left.
#[rstest]
fn stream_with_an_event_that_does_not_end_is_cut(
    #[values(EndlessPart::Event, EndlessPart::UnframedEvent)] part: EndlessPart,
    #[values("/stream/", "/fixed/")] target: &str,
) {
    let (site, endpoint) = site(part, false);
    for (status, is_complete, text) in send_together(&site, target, STREAMS) {
        assert_eq!(status, 200);
        assert!(!is_complete, "the stream looks complete");
        assert_eq!(text, "id: 1\ndata: a\n\n");
    }
    assert_within_memory(&site.gateway);
    assert!(endpoint.closed_responses() > 0);
    // Not by their deadlines, which are 4 s after they arrive.
    let cut = || site.gateway.log_with(&["\"finished\"", "event exceeds"]).len();
    site.gateway.wait_for(|| cut() == STREAMS, "all streams are cut for their event").unwrap();
}

/// Guards against many responses of which each is within its limit, and all together are not within that
/// of the process.
#[rstest]
fn responses_that_do_not_end_stay_within_the_memory_of_the_process(
    #[values(
        EndlessPart::Chunks,
        EndlessPart::UnframedBody,
        EndlessPart::LongBody,
        EndlessPart::HeadLine,
        EndlessPart::HeadLines,
        EndlessPart::InterimResponses,
        EndlessPart::ChunkExtension,
        EndlessPart::Trailer
    )]
    part: EndlessPart,
) {
    let (site, _endpoint) = site(part, false);
    for (status, _, _) in send_together(&site, "/safe/", REQUESTS) {
        assert!(status == 0 || status >= 500, "status {status}");
    }
    assert_within_memory(&site.gateway);
}

/// The same for events, whose streams have begun.
#[test]
fn events_that_do_not_end_stay_within_the_memory_of_the_process() {
    let (site, _endpoint) = site(EndlessPart::Event, false);
    for (_, is_complete, _) in send_together(&site, "/stream/", REQUESTS) {
        assert!(!is_complete, "the stream looks complete");
    }
    assert_within_memory(&site.gateway);
}

/// The bytes belong to no request.
#[test]
fn bytes_without_end_after_a_response_do_not_harm_it() {
    let (site, _endpoint) = site(EndlessPart::Excess, false);
    for (status, is_complete, text) in send_together(&site, "/safe/", REQUESTS) {
        assert_eq!((status, is_complete, &*text), (200, true, "ok"));
    }
    assert_within_memory(&site.gateway);
}

/// Guards against a store whose responses do not end.
#[rstest]
fn daemon_bears_a_store_that_sends_without_end(
    #[values(
        EndlessPart::Chunks,
        EndlessPart::UnframedBody,
        EndlessPart::LongBody,
        EndlessPart::HeadLine,
        EndlessPart::InterimResponses
    )]
    part: EndlessPart,
) {
    fakes::build_programs().unwrap();
    let store = EndlessEndpoint::start("store", part).unwrap();
    let mut gateway = GatewayProcess::start(store.address, &terms()).unwrap();
    thread::sleep(ENDLESS_TIME);
    assert_within_memory(&gateway);
    gateway.signal("TERM").unwrap();
    assert!(gateway.wait().unwrap(), "the process ended by itself");
}

/// Guards against another daemon whose responses do not end. This one becomes the reader in its place.
#[rstest]
fn daemon_bears_a_reader_that_sends_without_end(
    #[values(EndlessPart::Chunks, EndlessPart::UnframedBody, EndlessPart::LongBody)]
    part: EndlessPart,
) {
    fakes::build_programs().unwrap();
    let store = PlatformStore::start().unwrap();
    store.put("config", "main", configuration(1, &[KEY]));
    let reader = EndlessEndpoint::start("front-0", part).unwrap();
    let record = json!({ "name": "front-0", "address": reader.address.to_string() });
    store.put("chervilspur-readers", "a", record);
    let gateway = GatewayProcess::start(store.address, &terms()).unwrap();
    let started = Instant::now();
    gateway.wait_for_log(&["configuration_in_force"]).unwrap();
    thread::sleep(ENDLESS_TIME.saturating_sub(started.elapsed()));
    assert!(reader.closed_responses() > 0, "the daemon does not follow the reader");
    assert_within_memory(&gateway);
}

/// The client gets the rest of the stream from a sound endpoint, without a byte of the spoiled event.
#[test]
fn stream_with_an_event_that_does_not_end_is_resumed_at_another_endpoint() {
    let (site, endpoint) = site(EndlessPart::Event, true);
    for number in 0.. {
        let response = site.send_request("/stream/", &format!("r{number}"));
        assert!(response.is_complete, "stream {number} was cut");
        let events = text(&response).matches("\n\n").count();
        assert_eq!(events, 5, "{}", text(&response));
        if endpoint.closed_responses() > 0 {
            break;
        }
    }
}
