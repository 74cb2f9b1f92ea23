//! Measures the latency and the store calls that the execution record adds to a call.
//!
//! `cargo run --release --example execution` compares three kinds of calls, made one at a time:
//! direct to the service, through a daemon in a repeatable class, and through a daemon in a class
//! with an execution record. The store takes 2 ms for each call. The example also counts the store
//! calls.

use fakes::InstanceKind::{Daemon, Service};
use fakes::{Member, Site, build_programs, simple_lists};
use serde_json::{Value, json};
use std::error::Error;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use utils::{get_json, post_json, prepare_request, sha256_hex, unix_time_ms};

const LOCATION: &str = "valle-aburra/aburra-norte";
const ROUNDS: usize = 3;
const CALLS_PER_ROUND: usize = 100;

/// Execution times of a call at the service.
const SERVICE_TIMES_MS: [&str; 2] = ["0", "20"];

const STORE_LATENCY_MS: u64 = 2;
const TIMEOUT: Duration = Duration::from_secs(10);

/// Load of all daemons together at the design size.
const DESIGN_REQUESTS_PER_SECOND: f64 = 3_500.0;

/// One write of the execution record before the response to the caller and one after it.
const WRITES_PER_BOOKING: f64 = 2.0;

fn main() -> Result<(), Box<dyn Error>> {
    build_programs()?;
    for service_ms in SERVICE_TIMES_MS {
        measure(service_ms)?;
    }
    for percent in [1.0, 2.0, 5.0, 10.0] {
        let writes = DESIGN_REQUESTS_PER_SECOND * percent / 100.0 * WRITES_PER_BOOKING;
        println!(
            "share {percent} in 100 of {DESIGN_REQUESTS_PER_SECOND} requests/s: {writes:.0} writes/s"
        );
    }
    Ok(())
}

fn measure(service_ms: &str) -> Result<(), Box<dyn Error>> {
    let members = [
        Member::new("daemon-1", Daemon, LOCATION, &["--log-level", "error"]),
        Member::new("booking-1", Service, LOCATION, &["--call-ms", service_ms]),
    ];
    let site = Site::start(&lists(), &members)?;
    let faults = format!("http://{}/faults", site.store.address);
    let _: Value = post_json(&faults, &json!({"slow_ms": STORE_LATENCY_MS}), TIMEOUT)?;
    let calls_before = execution_record_calls(&site)?;
    for round in 0..ROUNDS {
        let direct = median_ms(|_| call(site.address("booking-1"), "/call", "", "k"))?;
        let daemon = site.address("daemon-1");
        let repeatable = median_ms(|_| call(daemon, "/v1/call", "lookup", "k"))?;
        let key = |i| format!("{}-measure-{round}-{i}", unix_time_ms());
        let booking = median_ms(|i| call(daemon, "/v1/call", "booking", &key(i)))?;
        println!(
            "service {service_ms} ms, round {round}: direct {direct:.2} ms, over the daemon \
             {repeatable:.2} ms, booking {booking:.2} ms; the record adds {:.2} ms, {:.2} of a \
             direct call",
            booking - repeatable,
            (booking - repeatable) / direct
        );
    }
    let calls = execution_record_calls(&site)? - calls_before;
    println!(
        "store calls for each booking: {:.3}",
        calls as f64 / (ROUNDS * CALLS_PER_ROUND) as f64
    );
    Ok(())
}

/// The lists of [`simple_lists`] with a repeatable class `lookup` of the same service added.
fn lists() -> Value {
    let mut lists = simple_lists(&sha256_hex("key-1"));
    let grants = &mut lists["grants"];
    let mut lookup = grants["classes"]["booking"].clone();
    lookup["repeatable"] = json!(true);
    grants["classes"]["lookup"] = lookup;
    let grant = grants["plans"]["gold"]["classes"]["booking"].clone();
    grants["plans"]["gold"]["classes"]["lookup"] = grant;
    lists
}

/// Number of store calls for execution records since the start of the store.
fn execution_record_calls(site: &Site) -> Result<u64, Box<dyn Error>> {
    let calls: Value = get_json(&format!("http://{}/calls", site.store.address), TIMEOUT)?;
    let kinds = calls.as_object().into_iter().flatten().flat_map(|(_, kinds)| kinds.as_object());
    let records = kinds.flatten().filter(|(kind, _)| kind.starts_with("runs-"));
    Ok(records.filter_map(|(_, count)| count.as_u64()).sum())
}

/// Median time in milliseconds of `CALLS_PER_ROUND` calls of `f`, which gets the index of the call.
fn median_ms<F: Fn(usize) -> Result<(), Box<dyn Error>>>(f: F) -> Result<f64, Box<dyn Error>> {
    let mut times = Vec::new();
    for i in 0..CALLS_PER_ROUND {
        let start = Instant::now();
        f(i)?;
        times.push(start.elapsed());
    }
    times.sort();
    Ok(times[CALLS_PER_ROUND / 2].as_secs_f64() * 1_000.0)
}

fn call(address: SocketAddr, path: &str, class: &str, key: &str) -> Result<(), Box<dyn Error>> {
    let res = prepare_request(attohttpc::post(format!("http://{address}{path}")), TIMEOUT)
        .header("authorization", "Bearer key-1")
        .header("x-request-class", class)
        .header("idempotency-key", key)
        .header("idempotency-attempt", "1")
        .text("{}")
        .send()?;
    let status = res.status();
    let text = res.text()?;
    if status != 200 {
        return Err(format!("POST {path} failed with status {status}: {text}").into());
    }
    Ok(())
}
