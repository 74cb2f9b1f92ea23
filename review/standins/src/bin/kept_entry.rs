//! Two machines of a zone freeze, and a runner leaves whose entry is removed.

use standins::client::{Client, ClientRequest};
use standins::gateway::Gateway;
use standins::now_ms;
use standins::record::Record;
use standins::runner::{Runner, Work};
use standins::site::{
    CONTACT_MS, DRAIN_MS, Folder, HOST, KEY, config, entry, run_case, wait_until_served,
};
use standins::store::Store;
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::Duration;

const GATEWAYS: usize = 20;
const CLIENTS: usize = 40;
const REQUEST_INTERVAL: Duration = Duration::from_millis(120);
const LIMIT_MS: u64 = 2_000;
const WORK: Work = Work { first_ms: 100, events: 0, pause_ms: 0, spoiled: 0 };
/// How long the machines are frozen.
const FREEZE_MS: u64 = 4_000;
/// From the freeze to the removal of the entry.
const LEAVES_AFTER_MS: u64 = 300;
/// How much longer than `drain_ms` the runner serves.
const SERVES_LONGER_MS: u64 = 500;

/// A request, as its client saw it.
#[derive(Clone, Debug)]
struct Sent {
    id: String,
    at_ms: u64,
    gateway: String,
    /// The status of the complete answer; 0 if there was none.
    status: u16,
    ended_ms: u64,
}

fn start_client(
    number: usize,
    gateway: &Gateway,
    stop: Arc<AtomicBool>,
) -> JoinHandle<io::Result<Vec<Sent>>> {
    let (address, gateway) = (gateway.address, gateway.name.clone());
    thread::spawn(move || {
        let mut sent = Vec::new();
        let mut client = Client::connect(address)?;
        thread::sleep(REQUEST_INTERVAL * number as u32 / CLIENTS as u32);
        while !stop.load(Ordering::SeqCst) {
            let id = format!("{number:02}-{:04}", sent.len());
            let body = format!("visit {id}");
            let at_ms = now_ms();
            let result = client.send(&ClientRequest { id: &id, body: &body, ..request() });
            let answer = result.and_then(|()| client.read()).ok().flatten();
            let status = answer.as_ref().map_or(0, |answer| answer.status());
            let is_kept = answer.is_some_and(|a| a.header("connection") != "close");
            sent.push(Sent { id, at_ms, gateway: gateway.clone(), status, ended_ms: now_ms() });
            if !is_kept {
                client = Client::connect(address)?;
            }
            thread::sleep(REQUEST_INTERVAL);
        }
        Ok(sent)
    })
}

fn request() -> ClientRequest<'static> {
    ClientRequest {
        method: "POST",
        target: "/book/visit",
        host: HOST,
        key: KEY,
        limit_ms: LIMIT_MS,
        ..ClientRequest::default()
    }
}

fn sleep_until(at_ms: u64) {
    thread::sleep(Duration::from_millis(at_ms.saturating_sub(now_ms())));
}

/// The name of the machine that reads the store for the others, as its record there says.
fn reader(store: &Store) -> io::Result<String> {
    let record = store.specification("chervilspur-readers", "z1");
    let record = record.ok_or_else(|| io::Error::other("no machine reads the store"))?;
    let name = standins::json::text(&record, "name").map(str::to_owned);
    name.ok_or_else(|| io::Error::other(format!("a record without a name: {record}")))
}

/// The machine that replaces the reader first, by the order that all machines compute.
fn first_standby<'a>(gateways: &'a [Gateway], reader: &str) -> &'a str {
    let others = gateways.iter().map(|gateway| &*gateway.name).filter(|name| *name != reader);
    others.min_by_key(|name| rank(name)).unwrap_or("")
}

fn rank(name: &str) -> u64 {
    let mut hash = 0xcbf2_9ce4_8422_2325 ^ 0x4ead;
    for byte in name.bytes() {
        hash = (hash ^ u64::from(byte)).wrapping_mul(0x100_0000_01b3);
    }
    hash ^= hash >> 32;
    hash = hash.wrapping_mul(0xd6e8_feb8_6659_fd93);
    hash ^ (hash >> 32)
}

fn case(record_path: PathBuf, has_trouble: bool) -> io::Result<Vec<String>> {
    let record = Record::default();
    let started_ms = now_ms();
    let folder = Folder::create("kept-entry")?;
    let store = Store::start()?;
    store.put("config", "main", &config(1));
    let ids = ["i-1", "i-2", "i-3"];
    let mut runners =
        ids.iter().map(|id| Runner::start(id, WORK)).collect::<io::Result<Vec<Runner>>>()?;
    for runner in &runners {
        store.put("servers", &runner.id, &entry(runner, "app", 64, "ready", 1));
    }
    let gateways = (1..=GATEWAYS)
        .map(|number| Gateway::start(&format!("front-{number}"), store.address, &folder.0))
        .collect::<io::Result<Vec<Gateway>>>()?;
    wait_until_served(&gateways, &request())?;
    // From here on, the machines have been undisturbed for long enough to be in touch.
    thread::sleep(Duration::from_millis(CONTACT_MS + 2_000));
    let stop = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| start_client(number, &gateways[number % GATEWAYS], stop.clone()))
        .collect();
    thread::sleep(Duration::from_secs(1));

    let reader = reader(&store)?;
    let frozen = [&*reader, first_standby(&gateways, &reader)];
    let frozen: Vec<&Gateway> =
        gateways.iter().filter(|gateway| frozen.contains(&&*gateway.name)).collect();
    let freeze_ms = now_ms();
    if has_trouble {
        for gateway in &frozen {
            gateway.signal("STOP")?;
            record.add(now_ms(), format!("{} freezes", gateway.name));
        }
    }
    sleep_until(freeze_ms + LEAVES_AFTER_MS);
    store.delete("servers", "i-1");
    let acked_ms = now_ms();
    record.add(acked_ms, "the entry of i-1 is removed");
    sleep_until(acked_ms + DRAIN_MS + SERVES_LONGER_MS);
    runners[0].exit()?;
    let exited_ms = now_ms();
    record.add(exited_ms, "i-1 exits");
    stop.store(true, Ordering::SeqCst);
    sleep_until(freeze_ms + FREEZE_MS);
    if has_trouble {
        for gateway in &frozen {
            gateway.signal("CONT")?;
            record.add(now_ms(), format!("{} wakes again", gateway.name));
        }
    }
    let mut requests = BTreeMap::new();
    for client in clients {
        let sent = client.join().map_err(|_| io::Error::other("a client failed"))??;
        requests.extend(sent.into_iter().map(|sent| (sent.id.clone(), sent)));
    }
    thread::sleep(Duration::from_millis(200));

    for sent in requests.values() {
        record.add(sent.at_ms, format!("client sends {} to {}", sent.id, sent.gateway));
        record.add(sent.ended_ms, format!("client gets status {} for {}", sent.status, sent.id));
    }
    for runner in &runners {
        for event in runner.events() {
            record.add(event.at_ms, format!("{} {} {}", runner.id, event.what, event.request));
        }
    }
    record.write(&record_path, started_ms)?;
    // The machines that did not freeze are in touch all the time.
    let judged_from = acked_ms + DRAIN_MS;
    let reached = runners[0].events();
    let late: BTreeSet<&str> = reached
        .iter()
        .filter(|event| event.what == "runs")
        .filter_map(|event| requests.get(&event.request))
        .filter(|sent| sent.at_ms > judged_from && !frozen.iter().any(|f| f.name == sent.gateway))
        .map(|sent| &*sent.id)
        .collect();
    let lost: Vec<&str> = late.iter().copied().filter(|id| requests[*id].status != 200).collect();
    println!(
        "{} requests, {} answered with 200; i-1 served {} ms after the removal of its entry",
        requests.len(),
        requests.values().filter(|sent| sent.status == 200).count(),
        exited_ms - acked_ms,
    );
    if late.is_empty() {
        return Ok(Vec::new());
    }
    let last = late.iter().map(|id| requests[*id].at_ms - acked_ms).max().unwrap_or(0);
    Ok(vec![
        format!(
            "DRAIN: {} requests reached i-1 that were sent later than {} ms after the \
             acknowledgement, by machines in touch, the last {last} ms after it",
            late.len(),
            judged_from - acked_ms
        ),
        format!("{} of them ran there and got no answer when i-1 exited: {lost:?}", lost.len()),
    ])
}

fn main() -> ExitCode {
    run_case(case)
}
