//! Runners hand out wrong bytes: streams that are no events, and do not end.

use standins::client::{Client, ClientRequest};
use standins::gateway::Gateway;
use standins::http::{read_chunk, read_head};
use standins::now_ms;
use standins::record::Record;
use standins::runner::{Runner, Work};
use standins::site::{CONTACT_MS, Folder, HOST, KEY, config, entry, run_case, wait_until_served};
use standins::store::Store;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::Duration;

const GATEWAYS: usize = 3;
const RUNNERS: usize = 4;
/// The runners that are faulty: a share of 0.5.
const FAULTY: usize = 2;
/// A share of 0.05 of their answers is spoiled.
const WORK: Work = Work { first_ms: 60, events: 10, pause_ms: 40, spoiled: 20 };
const CLIENTS: usize = 18;
/// How long runners are faulty, and sound between.
const FAULTY_TIME: Duration = Duration::from_millis(5_500);
const SOUND_TIME: Duration = Duration::from_millis(2_500);
const ROUNDS: usize = 4;
/// `limits.memory_mb` of the site.
const MEMORY_LIMIT: u64 = 110 << 20;
/// From the end of a process to its restart.
const RESTART_AFTER: Duration = Duration::from_millis(500);
const MEMORY_INTERVAL: Duration = Duration::from_millis(10);
/// How often a process has to end on how many machines to break the rule.
const ENDS: usize = 3;
const MACHINES: usize = 2;

#[derive(Debug, Default)]
struct Counts {
    streams: AtomicU64,
    complete: AtomicU64,
    /// Streams that broke off after the first event.
    cut: AtomicU64,
}

fn request(id: &str) -> ClientRequest<'_> {
    ClientRequest {
        method: "POST",
        target: "/stream/chat",
        host: HOST,
        key: KEY,
        id,
        limit_ms: 12_000,
        more: "X-Chervilspur-Model: m\r\nX-Chervilspur-Token-Counts: 715,50\r\n\
               X-Chervilspur-Prompt-Prefix: 5c1e07a2:172,91bd3f06:543\r\n",
        body: "chat",
    }
}

/// Sends a stream request and reads it to its end. Returns the number of events and whether the stream
/// is complete.
fn read_stream(address: SocketAddr, id: &str) -> (usize, bool) {
    let mut events = 0;
    let mut read = || -> io::Result<()> {
        let mut client = Client::connect(address)?;
        client.send(&request(id))?;
        // Clients leave a stream after a gap of four times the objective.
        client.writer.set_read_timeout(Some(Duration::from_secs(6)))?;
        let head = read_head(&mut client.reader)?.unwrap_or_default();
        if head.status() != 200 {
            return Err(io::Error::other("refused"));
        }
        while let Some(chunk) = read_chunk(&mut client.reader)? {
            events += String::from_utf8_lossy(&chunk).matches("\n\n").count();
        }
        Ok(())
    };
    let is_complete = read().is_ok();
    (events, is_complete)
}

/// Kills a process that exceeds its memory and starts it again, as the platform does.
fn watch_memory(mut gateway: Gateway, stop: &AtomicBool, record: &Record) -> io::Result<usize> {
    let mut ends = 0;
    while !stop.load(Ordering::SeqCst) {
        let memory = gateway.memory();
        if memory > MEMORY_LIMIT {
            gateway.kill()?;
            ends += 1;
            let name = gateway.name.clone();
            record.add(now_ms(), format!("{name} has {memory} bytes and is killed"));
            thread::sleep(RESTART_AFTER);
            gateway.start_again()?;
            record.add(now_ms(), format!("{name} starts again"));
        }
        thread::sleep(MEMORY_INTERVAL);
    }
    Ok(ends)
}

fn case(record_path: PathBuf, has_trouble: bool) -> io::Result<Vec<String>> {
    let record = Arc::new(Record::default());
    let started_ms = now_ms();
    let folder = Folder::create("endless-event")?;
    let store = Store::start()?;
    store.put("config", "main", &config(1));
    let mut runners = (1..=RUNNERS)
        .map(|number| Runner::start(&format!("m-{number}"), WORK))
        .collect::<io::Result<Vec<Runner>>>()?;
    let application = Runner::start("i-1", Work { first_ms: 20, ..Work::default() })?;
    for runner in &runners {
        store.put("servers", &runner.id, &entry(runner, "model", 64, "ready", 1));
    }
    store.put("servers", "i-1", &entry(&application, "app", 64, "ready", 1));
    let gateways = (1..=GATEWAYS)
        .map(|number| Gateway::start(&format!("front-{number}"), store.address, &folder.0))
        .collect::<io::Result<Vec<Gateway>>>()?;
    let booking = ClientRequest { target: "/book/visit", more: "", ..request("") };
    wait_until_served(&gateways, &booking)?;
    thread::sleep(Duration::from_millis(CONTACT_MS));

    let addresses: Vec<SocketAddr> = gateways.iter().map(|gateway| gateway.address).collect();
    let names: Vec<String> = gateways.iter().map(|gateway| gateway.name.clone()).collect();
    let stop = Arc::new(AtomicBool::new(false));
    let stop_watch = Arc::new(AtomicBool::new(false));
    let watchers: Vec<_> = gateways
        .into_iter()
        .map(|gateway| {
            let (stop, record) = (stop_watch.clone(), record.clone());
            thread::spawn(move || watch_memory(gateway, &stop, &record))
        })
        .collect();
    let counts: Arc<Counts> = Arc::default();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (stop, counts, record) = (stop.clone(), counts.clone(), record.clone());
            let address = addresses[number % GATEWAYS];
            thread::spawn(move || {
                for stream in 0.. {
                    if stop.load(Ordering::SeqCst) {
                        return;
                    }
                    let id = format!("{number:02}-{stream:04}");
                    record.add(now_ms(), format!("client sends {id}"));
                    let (events, is_complete) = read_stream(address, &id);
                    record.add(now_ms(), format!("client has {events} events of {id}"));
                    counts.streams.fetch_add(1, Ordering::SeqCst);
                    counts.complete.fetch_add(u64::from(is_complete), Ordering::SeqCst);
                    let is_cut = !is_complete && events > 0;
                    counts.cut.fetch_add(u64::from(is_cut), Ordering::SeqCst);
                    thread::sleep(Duration::from_millis(100));
                }
            })
        })
        .collect();
    for _ in 0..ROUNDS {
        for (is_faulty, time) in [(has_trouble, FAULTY_TIME), (false, SOUND_TIME)] {
            for runner in &mut runners[..FAULTY] {
                runner.set_faulty(is_faulty)?;
            }
            thread::sleep(time);
        }
    }
    stop.store(true, Ordering::SeqCst);
    for client in clients {
        client.join().map_err(|_| io::Error::other("a client failed"))?;
    }
    stop_watch.store(true, Ordering::SeqCst);
    let mut ends = Vec::new();
    for watcher in watchers {
        ends.push(watcher.join().map_err(|_| io::Error::other("a watch failed"))??);
    }
    for runner in &runners {
        for event in runner.events() {
            record.add(event.at_ms, format!("{} {} {}", runner.id, event.what, event.request));
        }
    }
    record.write(&record_path, started_ms)?;
    let of = |count: &AtomicU64| count.load(Ordering::SeqCst);
    let spoiled = runners.iter().flat_map(Runner::events).filter(|e| e.what == "spoils").count();
    println!(
        "{} streams, {spoiled} runs spoiled, {} streams complete, {} cut after their first event",
        of(&counts.streams),
        of(&counts.complete),
        of(&counts.cut)
    );
    if ends.iter().filter(|ends| **ends >= ENDS).count() < MACHINES {
        return Ok(Vec::new());
    }
    let list: Vec<String> =
        names.iter().zip(&ends).map(|(name, ends)| format!("{name} {ends} times")).collect();
    Ok(vec![format!("Fault: processes exceeded their memory and ended: {}", list.join(", "))])
}

fn main() -> ExitCode {
    run_case(case)
}
