//! The store turns away 7 of 20 machines of a zone, the reader of the zone among them, as the
//! configuration changes.

use standins_3::case;
use standins_3::client::{request, wait_until_ready};
use standins_3::config::configuration_with;
use standins_3::gateway::Gateway;
use standins_3::lock;
use standins_3::record::Record;
use standins_3::runner::{Answers, Runner};
use standins_3::store::{Store, View};
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::process::ExitCode;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// The machines of the zone.
const MACHINES: usize = 20;
/// Those that the store turns away: a share of .35.
const REFUSED: [usize; 7] = [READER, 1, 10, 11, 12, 13, 14];
/// The machine that starts first, so that it reads the store for the others.
const READER: usize = 18;
/// `configuration_ms`.
const CONFIGURATION: Duration = Duration::from_millis(3_000);
/// The time for which machines are turned away.
const OUTAGE: Duration = Duration::from_secs(8);
/// The time between two requests of a client.
const PAUSE: Duration = Duration::from_millis(60);
/// The settings that differ from those of the site agenda-campo.
const SETTINGS: &str = "zone=squamish\nregion=coast\nzones.squamish=coast\nlimits.memory_mb=260\n";

/// A request of a client, with the machine that took it.
#[derive(Clone, Debug)]
struct Sent {
    id: String,
    machine: usize,
    at: Instant,
}

fn main() -> ExitCode {
    case::run(play)
}

fn start_machine(number: usize, store: &Store, scratch: &Path) -> io::Result<(Gateway, View)> {
    let view = store.start_view()?;
    let name = format!("front-squamish-{number}");
    let gateway = Gateway::start(&name, "squamish", view.address, scratch, SETTINGS)?;
    Ok((gateway, view))
}

fn send_requests(
    machine: usize,
    front: SocketAddr,
    sent: &Mutex<Vec<Sent>>,
    record: &Record,
    is_over: &AtomicBool,
) {
    let mut number = 0;
    while !is_over.load(Ordering::Relaxed) {
        number += 1;
        let id = format!("m{machine}-{number}");
        let at = Instant::now();
        lock(sent).push(Sent { id: id.clone(), machine, at });
        let answer = request(front, "/unsafe/1", &id, b"q", Duration::from_secs(2));
        let text = match answer {
            Ok(Some(answer)) => answer.start,
            Ok(None) => String::from("channel closed without an answer"),
            Err(e) => e.to_string(),
        };
        record.quiet(&format!("{id}: {text}"));
        thread::sleep(PAUSE);
    }
}

fn play(record: &Record, scratch: &Path, has_trouble: bool) -> io::Result<bool> {
    let store = Store::start()?;
    store.put("config", "main", &configuration_with(1, "pool"));
    let mut runners = Vec::new();
    for (service, id) in [("pool", "i-1"), ("pool", "i-2"), ("other", "j-1"), ("other", "j-2")] {
        let runner = Runner::start(id, Answers::default())?;
        runner.register(&store, service);
        runners.push((service, runner));
    }
    let is_over = Arc::new(AtomicBool::new(false));
    let mut threads = Vec::new();
    let mut machines = BTreeMap::new();
    machines.insert(READER, start_machine(READER, &store, scratch)?);
    if !wait_until_ready(machines[&READER].0.ready, Duration::from_secs(15)) {
        return Err(io::Error::other("the first machine is not ready"));
    }
    for number in (1..=MACHINES).filter(|number| *number != READER) {
        machines.insert(number, start_machine(number, &store, scratch)?);
    }
    for (gateway, _) in machines.values() {
        if !wait_until_ready(gateway.ready, Duration::from_secs(15)) {
            return Err(io::Error::other(format!("{} is not ready", gateway.name)));
        }
    }
    // All have been in touch for longer than contact_ms, and the reader knows its followers.
    thread::sleep(Duration::from_secs(6));
    let sent: Arc<Mutex<Vec<Sent>>> = Arc::default();
    for (number, (gateway, _)) in machines.iter().filter(|(number, _)| !REFUSED.contains(number)) {
        let (number, front, sent) = (*number, gateway.front, sent.clone());
        let (record, over) = (record.clone(), is_over.clone());
        threads.push(thread::spawn(move || send_requests(number, front, &sent, &record, &over)));
    }
    thread::sleep(Duration::from_secs(1));
    let readers: Vec<usize> = machines
        .iter()
        .filter(|(_, (_, view))| {
            view.last_config_watch().is_some_and(|at| at.elapsed() < Duration::from_secs(2))
        })
        .map(|(number, _)| *number)
        .collect();
    record.line(&format!("machines that read the store: {readers:?}"));
    if readers != [READER] {
        return Err(io::Error::other("another machine reads the store"));
    }
    // The watch of the reader has just begun.
    let before = machines[&READER].1.last_config_watch();
    while machines[&READER].1.last_config_watch() == before {
        thread::sleep(Duration::from_millis(5));
    }
    if has_trouble {
        for number in REFUSED {
            machines[&number].1.set_silent(true);
        }
        record.line(&format!("the store is silent to the machines {REFUSED:?}"));
    }
    store.put("config", "main", &configuration_with(2, "other"));
    let acknowledged = Instant::now();
    record.line("version 2 is acknowledged: the route leads to another service");
    thread::sleep(OUTAGE);
    for (_, view) in machines.values() {
        view.set_silent(false);
    }
    is_over.store(true, Ordering::Relaxed);
    for thread in threads {
        thread.join().map_err(|_| io::Error::other("a thread panicked"))?;
    }
    Ok(judge(record, &lock(&sent), &runners, acknowledged))
}

/// Whether no request that was sent later than `CONFIGURATION` was run by the old service.
fn judge(
    record: &Record,
    sent: &[Sent],
    runners: &[(&'static str, Runner)],
    acknowledged: Instant,
) -> bool {
    let runs_of = |wanted: &str| -> BTreeSet<String> {
        let of_service = runners.iter().filter(|(service, _)| *service == wanted);
        of_service.flat_map(|(_, runner)| runner.runs()).map(|run| run.id).collect()
    };
    let (old, new) = (runs_of("pool"), runs_of("other"));
    let delay = |one: &Sent| one.at.saturating_duration_since(acknowledged);
    let late: Vec<&Sent> =
        sent.iter().filter(|one| old.contains(&one.id) && delay(one) > CONFIGURATION).collect();
    for one in &late {
        record.quiet(&format!(
            "{} at machine {}: sent {} ms after the acknowledgement, run by the old service",
            one.id,
            one.machine,
            delay(one).as_millis()
        ));
    }
    let by_machine: BTreeSet<usize> = late.iter().map(|one| one.machine).collect();
    let last = sent.iter().filter(|one| old.contains(&one.id)).map(|one| delay(one).as_millis());
    record.line(&format!(
        "{} requests sent, {} run by the old service, {} by the new one; the last that the old one ran \
         was sent {} ms after the acknowledgement",
        sent.len(),
        old.len(),
        new.len(),
        last.max().unwrap_or(0)
    ));
    record.line(&format!(
        "sent later than {} ms and run by the old service: {}, taken by {} machines that the store \
         served all the time",
        CONFIGURATION.as_millis(),
        late.len(),
        by_machine.len()
    ));
    let is_kept = late.is_empty();
    record.line(if is_kept { "held" } else { "BROKEN: an old version was used too long" });
    is_kept
}
