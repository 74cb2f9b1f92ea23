//! The store comes back from a copy some seconds old, and a gateway restarts before the operator has
//! written again.

use standins::client::{Client, ClientRequest};
use standins::gateway::Gateway;
use standins::now_ms;
use standins::record::Record;
use standins::runner::{Runner, Work};
use standins::site::{CONTACT_MS, Folder, HOST, KEY, config, entry, run_case, wait_until_served};
use standins::store::Store;
use std::collections::BTreeMap;
use std::io;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

/// The key that the second version takes away.
const REVOKED_KEY: &str = "anfqasnmgkcuyj8pjbvk";
/// `revocation_ms` of the sites.
const REVOCATION_MS: u64 = 5_000;
const REQUEST_INTERVAL: Duration = Duration::from_millis(50);
const WORK: Work = Work { first_ms: 10, events: 0, pause_ms: 0, spoiled: 0 };
/// From the copy to the acknowledgement of the second version.
const COPY_BEFORE_MS: u64 = 1_000;
/// From that acknowledgement to the drill.
const DRILL_AFTER_MS: u64 = 2_000;
/// How long the store is away.
const AWAY_MS: u64 = 500;
/// From the kill of the gateway to its restart.
const RESTART_AFTER_MS: u64 = 500;
/// From the return of the store to the moment at which the operator has written again.
const WRITTEN_AGAIN_MS: u64 = 5_000;

/// A request with the key that was taken away.
#[derive(Clone, Debug)]
struct Sent {
    id: String,
    at_ms: u64,
    gateway: String,
    status: u16,
}

fn request(key: &str) -> ClientRequest<'_> {
    ClientRequest {
        method: "POST",
        target: "/book/visit",
        host: HOST,
        key,
        limit_ms: 2_000,
        body: "visit",
        ..ClientRequest::default()
    }
}

fn sleep_until(at_ms: u64) {
    thread::sleep(Duration::from_millis(at_ms.saturating_sub(now_ms())));
}

fn case(record_path: PathBuf, has_trouble: bool) -> io::Result<Vec<String>> {
    let record = Record::default();
    let started_ms = now_ms();
    let folder = Folder::create("restored-store")?;
    let store = Store::start()?;
    let with_key = config(1).replace(
        &format!("\"api_keys\":[\"{KEY}\"]"),
        &format!("\"api_keys\":[\"{KEY}\",\"{REVOKED_KEY}\"]"),
    );
    let without_key = config(2);
    store.put("config", "main", &with_key);
    let start = |id: &str| Runner::start(id, WORK);
    let runners = ["i-1", "i-2", "i-3"].into_iter().map(start).collect::<io::Result<Vec<_>>>()?;
    for runner in &runners {
        store.put("servers", &runner.id, &entry(runner, "app", 64, "ready", 1));
    }
    // Two gateways in one region, and one in another.
    let places = [("z1", "r1"), ("z1", "r1"), ("z2", "r2")];
    let mut gateways = Vec::new();
    for (number, place) in places.into_iter().enumerate() {
        let name = format!("front-{}", number + 1);
        gateways.push(Gateway::start_in(place, &name, store.address, &folder.0)?);
    }
    wait_until_served(&gateways, &request(REVOKED_KEY))?;
    thread::sleep(Duration::from_millis(CONTACT_MS + 1_000));

    let stop = Arc::new(AtomicBool::new(false));
    let mut clients = Vec::new();
    for gateway in &gateways {
        let (name, address, stop) = (gateway.name.clone(), gateway.address, stop.clone());
        clients.push(thread::spawn(move || {
            let mut sent = Vec::new();
            while !stop.load(Ordering::SeqCst) {
                let id = format!("{name}-{:04}", sent.len());
                let at_ms = now_ms();
                let answer = || -> io::Result<u16> {
                    let mut client = Client::connect(address)?;
                    client.send(&ClientRequest { id: &id, ..request(REVOKED_KEY) })?;
                    Ok(client.read()?.map_or(0, |response| response.status()))
                };
                // 0 stands for no answer, as while the gateway is down.
                let status = answer().unwrap_or(0);
                sent.push(Sent { id, at_ms, gateway: name.clone(), status });
                thread::sleep(REQUEST_INTERVAL);
            }
            sent
        }));
    }
    let copy = store.copy();
    record.add(now_ms(), "the copy is taken");
    thread::sleep(Duration::from_millis(COPY_BEFORE_MS));
    store.put("config", "main", &without_key);
    let acked_ms = now_ms();
    record.add(acked_ms, "the store acknowledges version 2, which takes the key away");
    sleep_until(acked_ms + DRILL_AFTER_MS);
    if has_trouble {
        store.go_away();
        record.add(now_ms(), "the store goes away");
    }
    gateways[2].kill()?;
    record.add(now_ms(), "front-3 is killed");
    sleep_until(acked_ms + DRILL_AFTER_MS + AWAY_MS);
    let back_ms = now_ms();
    if has_trouble {
        store.come_back(copy);
        record.add(back_ms, "the store is back from the copy");
    }
    sleep_until(acked_ms + DRILL_AFTER_MS + RESTART_AFTER_MS);
    gateways[2].start_again()?;
    record.add(now_ms(), "front-3 starts again");
    sleep_until(back_ms + WRITTEN_AGAIN_MS);
    store.put("config", "main", &without_key);
    record.add(now_ms(), "the operator has written version 2 again");
    thread::sleep(Duration::from_secs(2));
    stop.store(true, Ordering::SeqCst);
    let mut requests = BTreeMap::new();
    for client in clients {
        let sent = client.join().map_err(|_| io::Error::other("a client failed"))?;
        requests.extend(sent.into_iter().map(|sent| (sent.id.clone(), sent)));
    }
    thread::sleep(Duration::from_millis(200));

    for Sent { id, at_ms, gateway, status } in requests.values() {
        record.add(*at_ms, format!("client sends {id} to {gateway}, and gets status {status}"));
    }
    for runner in &runners {
        for event in runner.events() {
            record.add(event.at_ms, format!("{} {} {}", runner.id, event.what, event.request));
        }
    }
    record.write(&record_path, started_ms)?;
    let runs = runners.iter().flat_map(Runner::events).filter(|event| event.what == "runs");
    let late: Vec<Sent> = runs
        .filter_map(|event| requests.get(&event.request).cloned())
        .filter(|sent| sent.at_ms > acked_ms + REVOCATION_MS)
        .collect();
    println!("{} requests with the key that was taken away", requests.len());
    if late.is_empty() {
        return Ok(Vec::new());
    }
    let after = late.iter().map(|sent| sent.at_ms - acked_ms);
    let (first, last) = (after.clone().min().unwrap_or(0), after.max().unwrap_or(0));
    let mut names: Vec<&str> = late.iter().map(|sent| &*sent.gateway).collect();
    names.sort_unstable();
    names.dedup();
    Ok(vec![format!(
        "CONFIG: {} requests ran whose key was taken away more than {REVOCATION_MS} ms before they \
         were sent, {first} to {last} ms after the acknowledgement; sent on by {names:?}",
        late.len()
    )])
}

fn main() -> ExitCode {
    run_case(case)
}
