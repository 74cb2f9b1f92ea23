//! A runner crashes in the middle of its streams, and their clients leave while these are resumed.

use standins::client::{Client, ClientRequest};
use standins::gateway::Gateway;
use standins::http::{read_chunk, read_head};
use standins::now_ms;
use standins::record::Record;
use standins::runner::{Event, Runner, Work};
use standins::site::{CONTACT_MS, Folder, HOST, KEY, config, entry, run_case, wait_until_served};
use standins::store::Store;
use std::collections::BTreeMap;
use std::io;
use std::net::Shutdown;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

const GATEWAYS: usize = 2;
const RUNNERS: usize = 4;
const STREAMS: usize = 32;
const LIMIT_MS: u64 = 12_000;
/// Every stream has its first event after 2 s, and lasts 5.6 s from then on.
const WORK: Work = Work { first_ms: 2_000, events: 56, pause_ms: 100 };
/// From the start of the streams to the crash.
const CRASH_AFTER_MS: u64 = 3_000;
/// From the crash to the moment at which the clients of the broken streams leave.
const LEAVE_AFTER_MS: u64 = 300;
/// The time after the close for which a runner may still be at work.
const STILL_AT_WORK_MS: u64 = 500;

/// A stream, as its client sees it.
#[derive(Debug, Default)]
struct Seen {
    events: usize,
    left_ms: Option<u64>,
}

fn request(id: &str) -> ClientRequest<'_> {
    ClientRequest {
        method: "POST",
        target: "/stream/chat",
        host: HOST,
        key: KEY,
        id,
        limit_ms: LIMIT_MS,
        more: "X-Chervilspur-Model: m\r\nX-Chervilspur-Token-Counts: 715,280\r\n\
               X-Chervilspur-Prompt-Prefix: 5c1e07a2:172,91bd3f06:543\r\n",
        body: "chat",
    }
}

/// Reads a stream until it ends.
fn read_stream(client: &mut Client, seen: &Mutex<Seen>) -> io::Result<()> {
    read_head(&mut client.reader)?;
    while let Some(chunk) = read_chunk(&mut client.reader)? {
        let events = String::from_utf8_lossy(&chunk).matches("\n\n").count();
        seen.lock().unwrap_or_else(PoisonError::into_inner).events += events;
    }
    Ok(())
}

fn sleep_until(at_ms: u64) {
    thread::sleep(Duration::from_millis(at_ms.saturating_sub(now_ms())));
}

/// Whether a runner is at work on a request at a moment, as its events say.
fn is_at_work(events: &[Event], id: &str, at_ms: u64) -> bool {
    let mut of_request = events.iter().filter(|event| event.request == id && event.at_ms <= at_ms);
    of_request.next_back().is_some_and(|event| event.what == "runs")
}

fn case(record_path: PathBuf, has_trouble: bool) -> io::Result<Vec<String>> {
    let record = Record::default();
    let started_ms = now_ms();
    let folder = Folder::create("left-streams")?;
    let store = Store::start()?;
    store.put("config", "main", &config(1));
    let mut runners = (1..=RUNNERS)
        .map(|number| Runner::start(&format!("m-{number}"), WORK))
        .collect::<io::Result<Vec<Runner>>>()?;
    let application = Runner::start("i-1", Work { first_ms: 20, events: 0, pause_ms: 0 })?;
    for runner in &runners {
        store.put("servers", &runner.id, &entry(runner, "model", 64, "ready", 1));
    }
    store.put("servers", "i-1", &entry(&application, "app", 6, "ready", 1));
    let gateways = (1..=GATEWAYS)
        .map(|number| Gateway::start(&format!("front-{number}"), store.address, &folder.0))
        .collect::<io::Result<Vec<Gateway>>>()?;
    let booking = ClientRequest { target: "/book/visit", more: "", ..request("") };
    wait_until_served(&gateways, &booking)?;
    thread::sleep(Duration::from_millis(CONTACT_MS + 1_000));

    let begun_ms = now_ms();
    let mut streams = BTreeMap::new();
    for number in 0..STREAMS {
        let id = format!("s-{number:02}");
        let mut client = Client::connect(gateways[number % GATEWAYS].address)?;
        client.send(&request(&id))?;
        record.add(now_ms(), format!("client sends {id}"));
        let channel = client.writer.try_clone()?;
        let seen: Arc<Mutex<Seen>> = Arc::default();
        let reads = seen.clone();
        // A stream that breaks off ends its thread.
        thread::spawn(move || read_stream(&mut client, &reads));
        streams.insert(id, (channel, seen));
        thread::sleep(Duration::from_millis(10));
    }
    sleep_until(begun_ms + CRASH_AFTER_MS);
    let broken: Vec<String> = runners[0].events().into_iter().map(|event| event.request).collect();
    if broken.len() < 4 {
        return Err(io::Error::other(format!("m-1 has only {} streams", broken.len())));
    }
    let crash_ms = now_ms();
    if has_trouble {
        runners[0].kill()?;
        record.add(crash_ms, "m-1 crashes");
    }
    sleep_until(crash_ms + LEAVE_AFTER_MS);
    for id in &broken {
        let (channel, seen) = &streams[id];
        channel.shutdown(Shutdown::Both)?;
        let mut seen = seen.lock().unwrap_or_else(PoisonError::into_inner);
        seen.left_ms = Some(now_ms());
        record.add(now_ms(), format!("client of {id} leaves after {} events", seen.events));
    }
    sleep_until(begun_ms + 9_500);
    for (id, (_, seen)) in &streams {
        let seen = seen.lock().unwrap_or_else(PoisonError::into_inner);
        record.add(now_ms(), format!("client of {id} has {} events", seen.events));
    }
    for runner in &runners {
        for event in runner.events() {
            record.add(event.at_ms, format!("{} {} {}", runner.id, event.what, event.request));
        }
    }
    record.write(&record_path, started_ms)?;

    let mut at_work = Vec::new();
    for id in &broken {
        let seen = streams[id].1.lock().unwrap_or_else(PoisonError::into_inner);
        let Some(left_ms) = seen.left_ms else { continue };
        for runner in runners.iter().filter(|runner| !has_trouble || runner.id != "m-1") {
            let events = runner.events();
            if is_at_work(&events, id, left_ms + STILL_AT_WORK_MS) {
                let ended = events.iter().rfind(|event| event.request == *id);
                let after_ms = ended.map_or(0, |event| event.at_ms.saturating_sub(left_ms));
                at_work.push(format!("{id} at {} until {after_ms} ms after the close", runner.id));
            }
        }
    }
    println!("{} streams, {} of their clients left", streams.len(), broken.len());
    if at_work.len() * 4 <= broken.len() {
        return Ok(Vec::new());
    }
    let first = format!(
        "GONE: runners were still at work {STILL_AT_WORK_MS} ms after the close on {} of {} streams",
        at_work.len(),
        broken.len()
    );
    Ok([first].into_iter().chain(at_work).collect())
}

fn main() -> ExitCode {
    run_case(case)
}
