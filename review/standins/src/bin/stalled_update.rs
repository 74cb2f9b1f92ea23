//! Several machines lose power as a large config is written, and the others have to learn of it.

use standins::client::{Client, ClientRequest};
use standins::gateway::Gateway;
use standins::now_ms;
use standins::record::Record;
use standins::runner::{Runner, Work};
use standins::site::{CONTACT_MS, Folder, HOST, KEY, config, entry, run_case, wait_until_served};
use standins::store::Store;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::Duration;

const GATEWAYS: usize = 20;
/// The machines that lose power.
const LOST: usize = 11;
/// From the loss of power to the write of the second version.
const WRITTEN_AFTER: Duration = Duration::from_millis(50);
/// The routes that the second version adds.
const ADDED_ROUTES: u64 = 350;
/// `configuration_ms` of the sites.
const CONFIGURATION_MS: u64 = 3_000;
const CLIENTS_EACH: usize = 3;
const REQUEST_INTERVAL: Duration = Duration::from_millis(20);
const WORK: Work = Work { first_ms: 10, events: 0, pause_ms: 0, spoiled: 0 };

/// A request, as its client saw it.
#[derive(Clone, Debug)]
struct Sent {
    id: String,
    at_ms: u64,
    gateway: String,
    status: u16,
}

fn request() -> ClientRequest<'static> {
    ClientRequest {
        method: "POST",
        target: "/book/visit",
        host: HOST,
        key: KEY,
        limit_ms: 2_000,
        body: "visit",
        ..ClientRequest::default()
    }
}

/// The second version: it moves the bookings to the service `app2` and adds routes.
fn second_config() -> String {
    let mut routes = String::new();
    let mut state: u64 = 88_172_645_463_325_252;
    let mut random = || {
        state ^= state << 13;
        state ^= state >> 7;
        state ^= state << 17;
        state
    };
    for _ in 0..ADDED_ROUTES {
        let (name, host, prefix) = (random(), random(), random());
        routes.push_str(&format!(
            "{{\"name\":\"r-{name:016x}\",\"host\":\"h{host:016x}.example\",\
             \"path_prefix\":\"/{prefix:016x}/\",\"kind\":\"unsafe\",\"timeout_ms\":2000,\
             \"objective_ms\":200,\"priority\":2,\"service\":\"app\",\"attempts\":2,\
             \"anonymous\":false}},"
        ));
    }
    let app2 = "{\"name\":\"app2\",\"health_path\":\"/health\",\"connection_limit\":100,\
                \"protocol\":\"h1\",\"transport_security\":false},";
    config(2)
        .replacen("\"service\":\"app\"", "\"service\":\"app2\"", 1)
        .replacen("\"routes\":[", &format!("\"routes\":[{routes}"), 1)
        .replacen("\"services\":[", &format!("\"services\":[{app2}"), 1)
}

fn start_client(
    name: String,
    gateway: String,
    address: SocketAddr,
    stop: Arc<AtomicBool>,
) -> JoinHandle<io::Result<Vec<Sent>>> {
    thread::spawn(move || {
        let mut sent = Vec::new();
        let mut client = Client::connect(address)?;
        while !stop.load(Ordering::SeqCst) {
            let id = format!("{name}-{:04}", sent.len());
            let at_ms = now_ms();
            let result = client.send(&ClientRequest { id: &id, ..request() });
            let answer = result.and_then(|()| client.read()).ok().flatten();
            let status = answer.as_ref().map_or(0, |answer| answer.status());
            sent.push(Sent { id, at_ms, gateway: gateway.clone(), status });
            if answer.is_none_or(|a| a.header("connection") == "close") {
                client = Client::connect(address)?;
            }
            thread::sleep(REQUEST_INTERVAL);
        }
        Ok(sent)
    })
}

/// The name of the machine that reads the store for the others, as its record there says.
fn reader(store: &Store) -> io::Result<String> {
    let record = store.specification("chervilspur-readers", "z1");
    let record = record.ok_or_else(|| io::Error::other("no machine reads the store"))?;
    let name = standins::json::text(&record, "name").map(str::to_owned);
    name.ok_or_else(|| io::Error::other(format!("a record without a name: {record}")))
}

fn sleep_until(at_ms: u64) {
    thread::sleep(Duration::from_millis(at_ms.saturating_sub(now_ms())));
}

fn case(record_path: PathBuf, has_trouble: bool) -> io::Result<Vec<String>> {
    let record = Record::default();
    let started_ms = now_ms();
    let folder = Folder::create("stalled-update")?;
    let store = Store::start()?;
    store.put("config", "main", &config(1));
    let start = |id: &str| Runner::start(id, WORK);
    let old = ["a-1", "a-2", "a-3"].into_iter().map(start).collect::<io::Result<Vec<_>>>()?;
    let new = ["b-1", "b-2", "b-3"].into_iter().map(start).collect::<io::Result<Vec<_>>>()?;
    for (service, runners) in [("app", &old), ("app2", &new)] {
        for runner in runners {
            store.put("servers", &runner.id, &entry(runner, service, 64, "ready", 1));
        }
    }
    let gateways = (1..=GATEWAYS)
        .map(|number| Gateway::start(&format!("front-{number}"), store.address, &folder.0))
        .collect::<io::Result<Vec<Gateway>>>()?;
    wait_until_served(&gateways, &request())?;
    thread::sleep(Duration::from_millis(CONTACT_MS + 1_000));

    let reader = reader(&store)?;
    record.add(now_ms(), format!("{reader} reads the store"));
    let (lost, kept): (Vec<&Gateway>, Vec<&Gateway>) = {
        let followers = gateways.iter().filter(|gateway| gateway.name != reader);
        let lost: Vec<&Gateway> = followers.take(LOST).collect();
        let is_lost = |gateway: &Gateway| lost.iter().any(|l| l.name == gateway.name);
        let kept = gateways.iter().filter(|gateway| !is_lost(gateway)).collect();
        (lost, kept)
    };
    let stop = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..CLIENTS_EACH * kept.len())
        .map(|number| {
            let gateway = kept[number % kept.len()];
            let name = format!("{number:02}");
            start_client(name, gateway.name.clone(), gateway.address, stop.clone())
        })
        .collect();
    thread::sleep(Duration::from_secs(1));
    if has_trouble {
        for gateway in &lost {
            gateway.signal("STOP")?;
            record.add(now_ms(), format!("{} loses power", gateway.name));
        }
    }
    thread::sleep(WRITTEN_AFTER);
    store.put("config", "main", &second_config());
    let acked_ms = now_ms();
    record.add(acked_ms, "the store acknowledges version 2");
    sleep_until(acked_ms + CONFIGURATION_MS + 1_500);
    stop.store(true, Ordering::SeqCst);
    let mut requests = BTreeMap::new();
    for client in clients {
        let sent = client.join().map_err(|_| io::Error::other("a client failed"))??;
        requests.extend(sent.into_iter().map(|sent| (sent.id.clone(), sent)));
    }
    thread::sleep(Duration::from_millis(200));

    for sent in requests.values() {
        let Sent { id, at_ms, gateway, status } = sent;
        record.add(*at_ms, format!("client sends {id} to {gateway}, and gets status {status}"));
    }
    for runner in old.iter().chain(&new) {
        for event in runner.events() {
            record.add(event.at_ms, format!("{} {} {}", runner.id, event.what, event.request));
        }
    }
    record.write(&record_path, started_ms)?;
    let ran_at_old = old.iter().flat_map(Runner::events).filter(|event| event.what == "runs");
    let stale: Vec<Sent> = ran_at_old
        .filter_map(|event| requests.get(&event.request).cloned())
        .filter(|sent| sent.at_ms > acked_ms + CONFIGURATION_MS)
        .collect();
    println!("{} requests to machines that kept power", requests.len());
    if stale.is_empty() {
        return Ok(Vec::new());
    }
    let last = stale.iter().map(|sent| sent.at_ms - acked_ms).max().unwrap_or(0);
    let mut names: Vec<&str> = stale.iter().map(|sent| &*sent.gateway).collect();
    names.sort_unstable();
    names.dedup();
    Ok(vec![format!(
        "CONFIG: {} requests were sent later than {CONFIGURATION_MS} ms after the acknowledgement of \
         version 2 and run by the service that it takes them away from, the last {last} ms after \
         it; sent on by {names:?}",
        stale.len()
    )])
}

fn main() -> ExitCode {
    run_case(case)
}
