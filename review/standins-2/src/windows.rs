//! Case: the store comes back from an older copy while all gateways are killed. No window of usage may be
//! reported with two different counts.

use crate::client::Client;
use crate::config::{Route, config};
use crate::gateway::{BARAJA_ANDINA, Gateway, Settings};
use crate::json::field;
use crate::platform::{Duties, start_duties};
use crate::record::Record;
use crate::runner::Runner;
use crate::store::{Copy, Store};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

const GATEWAYS: u8 = 3;
const ROUNDS: usize = 2;
/// The age of the copy from which the store comes back.
const COPY_AGE: Duration = Duration::from_millis(3_000);
const COPY_INTERVAL: Duration = Duration::from_millis(100);
/// How long the store is away.
const AWAY: Duration = Duration::from_millis(500);
/// From a report of usage to the drill.
const DELAY: Duration = Duration::from_millis(1_000);
/// In which the new processes report the windows since.
const WATCHED: Duration = Duration::from_secs(25);
/// Reports to wait for before a drill.
const REPORTS_BEFORE: usize = 2;
const ROUTE: Route<'static> = Route {
    name: "r-pay",
    path_prefix: "/puxa403/",
    kind: "unsafe",
    service: "app",
    timeout_ms: 2_000,
    objective_ms: 200,
    attempts: 1,
};

/// Runs the case; true if the rule held.
pub fn run(with_trouble: bool, folder: &Path, record: &Record) -> io::Result<bool> {
    let store = Store::start()?;
    store.put("config", "main", &config(7, &[ROUTE], &["app"]));
    let _runners: Vec<Runner> = (0..3)
        .map(|number| {
            let work = Duration::from_millis(15);
            Runner::start(&format!("i-{number}"), "app", "a", work, &store, record)
        })
        .collect::<io::Result<_>>()?;
    let duties = start_duties(record)?;
    let mut gateways = Vec::new();
    for number in 1..=GATEWAYS {
        let settings = Settings {
            name: format!("front-a-{number}"),
            zone: String::from("a"),
            region: String::from("r"),
            store: store.address,
            memory_mb: 110,
            bounds: BARAJA_ANDINA,
            further: format!(
                "cloud.address={}\ncloud.duties=usage_reporting\ncloud.duty_per_s=50\n",
                duties.address
            ),
        };
        gateways.push(Gateway::start(number + 1, settings, folder, record)?);
    }
    for gateway in &mut gateways {
        gateway.wait_until_ready()?;
    }
    let stop = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = gateways
        .iter()
        .map(|gateway| {
            let (front, stop) = (gateway.front, stop.clone());
            thread::spawn(move || ask_again(front, &stop))
        })
        .collect();
    for _ in 0..ROUNDS {
        let known = duties.calls().len();
        let copy = wait_for_reports(&store, &duties, known + REPORTS_BEFORE, record)?;
        if with_trouble {
            drill(&store, copy, &mut gateways, record)?;
        }
        thread::sleep(WATCHED);
    }
    stop.store(true, Ordering::Relaxed);
    for client in clients {
        // It only makes load.
        let _ = client.join();
    }
    Ok(has_one_report_for_each_window(&duties, record))
}

/// Waits for a number of reports and a moment more. Returns the copy of the store of some seconds before.
fn wait_for_reports(
    store: &Store,
    duties: &Duties,
    count: usize,
    record: &Record,
) -> io::Result<Copy> {
    let end = Instant::now() + Duration::from_secs(30);
    let mut copies: VecDeque<(Instant, Copy)> = VecDeque::new();
    let mut reported = None;
    loop {
        copies.push_back((Instant::now(), store.copy()));
        if reported.is_none() && duties.calls().len() >= count {
            reported = Some(Instant::now());
        }
        while copies.get(1).is_some_and(|(at, _)| at.elapsed() >= COPY_AGE) {
            copies.pop_front();
        }
        if reported.is_some_and(|at: Instant| at.elapsed() >= DELAY)
            && let Some((at, copy)) = copies.pop_front()
        {
            record.line(&format!("the copy is {} ms old", at.elapsed().as_millis()));
            return Ok(copy);
        }
        if Instant::now() > end {
            return Err(io::Error::other("no usage was reported"));
        }
        thread::sleep(COPY_INTERVAL);
    }
}

/// The store is away for a moment, in which all gateways are killed, and comes back from a copy.
fn drill(store: &Store, copy: Copy, gateways: &mut [Gateway], record: &Record) -> io::Result<()> {
    store.go_away();
    record.line("the store goes away");
    for gateway in gateways.iter_mut() {
        gateway.kill();
    }
    record.line("all gateways are killed");
    thread::sleep(AWAY);
    store.come_back(copy);
    record.line("the store comes back from a copy");
    if store.get("config", "main").is_none() || store.get("servers", "i-2").is_none() {
        return Err(io::Error::other("the copy lacks what the operator and the runners wrote"));
    }
    for gateway in gateways {
        gateway.spawn(false, record)?;
    }
    Ok(())
}

/// Whether each window was reported with the same counts only.
fn has_one_report_for_each_window(duties: &Duties, record: &Record) -> bool {
    let mut windows: BTreeMap<String, BTreeSet<String>> = BTreeMap::new();
    let mut reports = 0;
    for call in duties.calls().iter().filter(|call| call.path == "/usage") {
        reports += 1;
        let window = field(&call.body, "window_number").unwrap_or("?").to_owned();
        let counts = field(&call.body, "counts").unwrap_or("?").to_owned();
        windows.entry(window).or_default().insert(counts);
    }
    let several: Vec<_> = windows.iter().filter(|(_, counts)| counts.len() > 1).collect();
    for (window, counts) in &several {
        record.say(&format!("window {window} was reported with different counts: {counts:?}"));
    }
    record.say(&format!(
        "{reports} reports of {} windows, {} with different counts",
        windows.len(),
        several.len()
    ));
    several.is_empty()
}

/// Sends one request after the other.
fn ask_again(front: SocketAddr, stop: &AtomicBool) {
    let mut number = 0;
    while !stop.load(Ordering::Relaxed) {
        number += 1;
        let ask = || -> io::Result<()> {
            let mut client = Client::connect(front)?;
            client.send_request("/puxa403/2f", &format!("{front}-{number}"), 2_000)?;
            client.receive(Duration::from_millis(2_500)).map(|_| ())
        };
        // While its gateway is down, it gets no answer.
        let _ = ask();
        thread::sleep(Duration::from_millis(20));
    }
}
