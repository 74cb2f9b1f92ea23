//! Measures what the execution record adds to a booking.
//!
//! `cargo run --release --example execution` compares, one call at a time, a direct call of the
//! service, the same over a daemon for a class that may be repeated, and a booking with its record,
//! while the store takes 2 ms for each call. It also counts the calls to the store.

use fakes::InstanceKind::{Daemon, Service};
use fakes::{Member, Site, build_programs, simple_lists};
use serde_json::{Value, json};
use std::error::Error;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use utils::{get_json, post_json, prepare_request, sha256_hex, unix_time_ms};

const PLACE: &str = "valle-aburra/aburra-norte";
const ROUNDS: usize = 3;
const CALLS: usize = 100;

/// The times that a call takes at the service, in milliseconds.
const SERVICE_MS: [&str; 2] = ["0", "20"];

const STORE_MS: u64 = 2;
const TIMEOUT: Duration = Duration::from_secs(10);

/// The requests a second at full size, over all daemons.
const FULL_SIZE: f64 = 3_500.0;

/// Writes before a caller's answer, and after it.
const WRITES_PER_BOOKING: f64 = 2.0;

fn main() -> Result<(), Box<dyn Error>> {
    build_programs()?;
    for service_ms in SERVICE_MS {
        measure(service_ms)?;
    }
    for percent in [1.0, 2.0, 5.0, 10.0] {
        let writes = FULL_SIZE * percent / 100.0 * WRITES_PER_BOOKING;
        println!("share {percent} in 100 of {FULL_SIZE} requests/s: {writes:.0} writes/s");
    }
    Ok(())
}

fn measure(service_ms: &str) -> Result<(), Box<dyn Error>> {
    let members = [
        Member::new("daemon-1", Daemon, PLACE, &["--log-level", "error"]),
        Member::new("booking-1", Service, PLACE, &["--call-ms", service_ms]),
    ];
    let site = Site::start(&lists(), &members)?;
    let faults = format!("http://{}/faults", site.store.address);
    let _: Value = post_json(&faults, &json!({"slow_ms": STORE_MS}), TIMEOUT)?;
    let before = run_calls(&site)?;
    for round in 0..ROUNDS {
        let direct = median(|_| call(site.address("booking-1"), "/call", "", "k"))?;
        let daemon = site.address("daemon-1");
        let repeatable = median(|_| call(daemon, "/v1/call", "lookup", "k"))?;
        let key = |i| format!("{}-measure-{round}-{i}", unix_time_ms());
        let booking = median(|i| call(daemon, "/v1/call", "booking", &key(i)))?;
        println!(
            "service {service_ms} ms, round {round}: direct {direct:.2} ms, over the daemon \
             {repeatable:.2} ms, booking {booking:.2} ms; the record adds {:.2} ms, {:.2} of a \
             direct call",
            booking - repeatable,
            (booking - repeatable) / direct
        );
    }
    let calls = run_calls(&site)? - before;
    println!("store calls for each booking: {:.3}", calls as f64 / (ROUNDS * CALLS) as f64);
    Ok(())
}

/// Returns lists in which the service has a class whose calls may be repeated, too.
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

/// Returns how many calls the store has had for execution records.
fn run_calls(site: &Site) -> Result<u64, Box<dyn Error>> {
    let calls: Value = get_json(&format!("http://{}/calls", site.store.address), TIMEOUT)?;
    let kinds = calls.as_object().into_iter().flatten().flat_map(|(_, kinds)| kinds.as_object());
    let records = kinds.flatten().filter(|(kind, _)| kind.starts_with("runs-"));
    Ok(records.filter_map(|(_, count)| count.as_u64()).sum())
}

/// Returns the median time of a call in milliseconds.
fn median<F: Fn(usize) -> Result<(), Box<dyn Error>>>(f: F) -> Result<f64, Box<dyn Error>> {
    let mut times = Vec::new();
    for i in 0..CALLS {
        let started = Instant::now();
        f(i)?;
        times.push(started.elapsed());
    }
    times.sort();
    Ok(times[CALLS / 2].as_secs_f64() * 1_000.0)
}

fn call(at: SocketAddr, path: &str, class: &str, key: &str) -> Result<(), Box<dyn Error>> {
    let res = prepare_request(attohttpc::post(format!("http://{at}{path}")), TIMEOUT)
        .header("authorization", "Bearer key-1")
        .header("x-request-class", class)
        .header("idempotency-key", key)
        .header("idempotency-attempt", "1")
        .text("{}")
        .send()?;
    let status = res.status();
    let text = res.text()?;
    if status != 200 {
        return Err(format!("{path}: status {status}: {text}").into());
    }
    Ok(())
}
