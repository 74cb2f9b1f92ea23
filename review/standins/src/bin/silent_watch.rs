//! One channel between a machine and the store goes silent while a runner leaves.

use standins::client::{Client, ClientRequest};
use standins::gateway::Gateway;
use standins::now_ms;
use standins::path::Path;
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

const GATEWAYS: usize = 3;
const CLIENTS: usize = 36;
const REQUEST_INTERVAL: Duration = Duration::from_millis(120);
const LIMIT_MS: u64 = 2_000;
const WORK: Work = Work { first_ms: 100, events: 0, pause_ms: 0, spoiled: 0 };
/// How old the call that waits on the silenced channel is at most.
const MAX_CALL_AGE_MS: u64 = 1_000;
/// From the silence to the report of the runner that leaves.
const LEAVES_AFTER_MS: u64 = 200;
/// How much longer than `drain_ms` the runner serves.
const SERVES_LONGER_MS: u64 = 1_300;

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

/// Waits until a channel on which a watch of the registry waits can be silenced, and silences it.
fn silence(path: &Path) -> io::Result<String> {
    let limit = now_ms() + 15_000;
    while now_ms() < limit {
        if let Some(call) = path.silence("GET /objects/servers?watch=", MAX_CALL_AGE_MS) {
            return Ok(call);
        }
        thread::sleep(Duration::from_millis(20));
    }
    Err(io::Error::other("no machine watches the registry"))
}

fn case(record_path: PathBuf, has_trouble: bool) -> io::Result<Vec<String>> {
    let record = Record::default();
    let started_ms = now_ms();
    let folder = Folder::create("silent-watch")?;
    let store = Store::start()?;
    let path = Path::start(store.address)?;
    store.put("config", "main", &config(1));
    let ids = ["i-1", "i-2", "i-3"];
    let mut runners =
        ids.iter().map(|id| Runner::start(id, WORK)).collect::<io::Result<Vec<Runner>>>()?;
    for runner in &runners {
        store.put("servers", &runner.id, &entry(runner, "app", 64, "ready", 1));
    }
    let gateways = (1..=GATEWAYS)
        .map(|number| Gateway::start(&format!("front-{number}"), path.address, &folder.0))
        .collect::<io::Result<Vec<Gateway>>>()?;
    wait_until_served(&gateways, &request())?;
    // From here on, the machines have been undisturbed for long enough to be in touch.
    thread::sleep(Duration::from_millis(CONTACT_MS + 2_000));
    let stop = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| start_client(number, &gateways[number % GATEWAYS], stop.clone()))
        .collect();
    thread::sleep(Duration::from_secs(1));

    let silent_ms = if has_trouble {
        let call = silence(&path)?;
        let at = now_ms();
        record.add(at, format!("the channel with the call {call} goes silent"));
        at
    } else {
        now_ms()
    };
    sleep_until(silent_ms + LEAVES_AFTER_MS);
    store.put("servers", "i-1", &entry(&runners[0], "app", 64, "draining", 2));
    let acked_ms = now_ms();
    record.add(acked_ms, "the store acknowledges that i-1 is draining");
    sleep_until(acked_ms + DRAIN_MS + SERVES_LONGER_MS);
    runners[0].exit()?;
    let exited_ms = now_ms();
    store.delete("servers", "i-1");
    record.add(exited_ms, "i-1 exits; its entry is removed");
    thread::sleep(Duration::from_secs(3));
    stop.store(true, Ordering::SeqCst);
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
    // A silent channel counts as a reset: its machine is in touch again `contact_ms` later.
    let judged_from = (acked_ms + DRAIN_MS).max(silent_ms + CONTACT_MS);
    let reached = runners[0].events();
    let late: BTreeSet<&str> = reached
        .iter()
        .filter(|event| event.what == "runs")
        .filter_map(|event| requests.get(&event.request))
        .filter(|sent| sent.at_ms > judged_from)
        .map(|sent| &*sent.id)
        .collect();
    let lost: Vec<&str> = late.iter().copied().filter(|id| requests[*id].status != 200).collect();
    println!(
        "{} requests, {} answered with 200; i-1 reported draining and served {} ms more",
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
