//! Case: the gateways that read the store freeze just before a runner leaves. Those that take over have to
//! stop sending requests to it within `drain_ms`.

use crate::client::Client;
use crate::config::{Route, config};
use crate::gateway::{AGENDA_CAMPO, Gateway, Settings};
use crate::json::{field, string};
use crate::record::Record;
use crate::runner::Runner;
use crate::store::Store;
use std::collections::BTreeSet;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// The zones of the gateways with their regions.
const ZONES: [(&str, &str); 7] =
    [("a", "r1"), ("a", "r1"), ("a", "r1"), ("a", "r1"), ("a", "r1"), ("b", "r2"), ("b", "r2")];
const ROUNDS: usize = 8;
/// How long machines stand still.
const FREEZE: Duration = Duration::from_millis(4_000);
/// `drain_ms` of the sheet.
const DRAIN_BOUND: Duration = Duration::from_millis(3_000);
/// How much longer the runner serves before it exits.
const LITTLE_LONGER: Duration = Duration::from_millis(100);
/// `contact_ms` of the sheet, and a margin.
const CONTACT: Duration = Duration::from_millis(4_500);
/// From the freeze to the removal of the runner's entry.
const DELAY: Duration = Duration::from_millis(50);
const WORK: Duration = Duration::from_millis(15);
const CLIENTS_PER_GATEWAY: usize = 3;
const ROUTE: Route<'static> = Route {
    name: "r-book",
    path_prefix: "/puxa403/",
    kind: "unsafe",
    service: "app",
    timeout_ms: 1_000,
    objective_ms: 200,
    attempts: 1,
};

/// The requests that got no success.
type Failed = Arc<Mutex<BTreeSet<String>>>;

/// Runs the case; true if the rule held.
pub fn run(with_trouble: bool, folder: &Path, record: &Record) -> io::Result<bool> {
    let store = Store::start()?;
    store.put("config", "main", &config(7, &[ROUTE], &["app"]));
    let _staying: Vec<Runner> = (0..3)
        .map(|number| Runner::start(&format!("i-{number}"), "app", "a", WORK, &store, record))
        .collect::<io::Result<_>>()?;
    let mut gateways = Vec::new();
    for (index, (zone, region)) in ZONES.into_iter().enumerate() {
        let number = index as u8 + 2;
        let settings = Settings {
            name: format!("front-{zone}-{}", index + 1),
            zone: zone.to_owned(),
            region: region.to_owned(),
            store: store.address,
            memory_mb: 110,
            bounds: AGENDA_CAMPO,
            further: String::from("zones.a=r1\nzones.b=r2\n"),
        };
        gateways.push(Gateway::start(number, settings, folder, record)?);
    }
    for gateway in &mut gateways {
        gateway.wait_until_ready()?;
    }
    let (mut late, mut lost) = (0, 0);
    for number in 1..=ROUNDS {
        let leaving =
            Runner::start(&format!("i-leaving-{number}"), "app", "a", WORK, &store, record)?;
        // Nobody has been frozen for so long, and the runner is known everywhere.
        thread::sleep(CONTACT);
        let (late_here, lost_here) = round(&gateways, &leaving, with_trouble, &store, record)?;
        late += late_here;
        lost += lost_here;
    }
    record.say(&format!(
        "{late} requests reached a runner later than drain_ms after its entry was removed, {lost} of them got \
         no success"
    ));
    Ok(late == 0)
}

/// The gateway that reads the store for a zone.
fn reader(store: &Store, zone: &str) -> io::Result<String> {
    let record = store.get("chervilspur-readers", zone);
    let name = record.as_deref().and_then(|text| string(field(text, "name")?));
    name.ok_or_else(|| io::Error::other("no gateway reads the store"))
}

/// Returns the number of requests that reached the runner too late, and of those of them without success.
fn round(
    gateways: &[Gateway],
    leaving: &Runner,
    with_trouble: bool,
    store: &Store,
    record: &Record,
) -> io::Result<(usize, usize)> {
    let readers = [reader(store, "a")?, reader(store, "b")?];
    let is_reader = |gateway: &&Gateway| readers.contains(&gateway.settings.name);
    let frozen: Vec<&Gateway> = gateways.iter().filter(is_reader).collect();
    let others = gateways.iter().filter(|g| !is_reader(g) && g.settings.zone == "a");
    let fronts: Vec<SocketAddr> = others.map(|gateway| gateway.front).collect();
    let stop = Arc::new(AtomicBool::new(false));
    let failed = Failed::default();
    let clients: Vec<_> = (0..fronts.len() * CLIENTS_PER_GATEWAY)
        .map(|number| {
            let front = fronts[number % fronts.len()];
            let (stop, failed, record) = (stop.clone(), failed.clone(), record.clone());
            let prefix = format!("{}-{number}", leaving.id);
            thread::spawn(move || ask_again(front, &prefix, &stop, &failed, &record))
        })
        .collect();
    thread::sleep(Duration::from_millis(300));
    if with_trouble {
        for gateway in &frozen {
            gateway.signal("STOP", record)?;
        }
    }
    let frozen_at = Instant::now();
    thread::sleep(DELAY);
    store.remove("servers", &leaving.id);
    let removed = Instant::now();
    record.line(&format!("runner {}: the store has removed its entry", leaving.id));
    thread::sleep(DRAIN_BOUND + LITTLE_LONGER);
    leaving.exit();
    thread::sleep(FREEZE.saturating_sub(frozen_at.elapsed()));
    if with_trouble {
        for gateway in &frozen {
            gateway.signal("CONT", record)?;
        }
    }
    stop.store(true, Ordering::Relaxed);
    for client in clients {
        // Its requests are in `failed` and in the record.
        let _ = client.join();
    }
    let runs = leaving.runs();
    let late: Vec<_> = runs.iter().filter(|run| run.began > removed + DRAIN_BOUND).collect();
    let failed = failed.lock().unwrap_or_else(PoisonError::into_inner);
    let lost = late.iter().filter(|run| failed.contains(&run.id)).count();
    let last =
        runs.iter().map(|run| run.began.saturating_duration_since(removed).as_millis()).max();
    record.say(&format!(
        "{}: {readers:?} freeze, the last of {} requests reached it {last:?} ms after the removal, {} too late, \
         {lost} of these without success",
        leaving.id,
        runs.len(),
        late.len()
    ));
    Ok((late.len(), lost))
}

/// Sends one request after the other on a kept channel.
fn ask_again(front: SocketAddr, prefix: &str, stop: &AtomicBool, failed: &Failed, record: &Record) {
    let mut client = None;
    let mut number = 0;
    while !stop.load(Ordering::Relaxed) {
        number += 1;
        let id = format!("{prefix}-{number}");
        let status = ask(&mut client, front, &id);
        if !matches!(status, Ok(200)) {
            record.line(&format!("{id}: {status:?}"));
            failed.lock().unwrap_or_else(PoisonError::into_inner).insert(id);
        }
        thread::sleep(Duration::from_millis(10));
    }
}

fn ask(client: &mut Option<Client>, front: SocketAddr, id: &str) -> io::Result<u16> {
    let mut open = match client.take() {
        Some(open) => open,
        None => Client::connect(front)?,
    };
    open.send_request("/puxa403/2f", id, 2_000)?;
    let answer = open.receive(Duration::from_millis(2_500))?;
    let answer = answer.ok_or(io::ErrorKind::UnexpectedEof)?;
    if !answer.header("connection").eq_ignore_ascii_case("close") {
        *client = Some(open);
    }
    Ok(answer.status())
}
