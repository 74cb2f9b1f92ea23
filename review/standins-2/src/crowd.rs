//! Case: a crowd of clients uploads bodies of legal size and stops just short of their ends.

use crate::client::Client;
use crate::config::{Route, config};
use crate::gateway::{AGENDA_CAMPO, Gateway, Settings};
use crate::record::Record;
use crate::runner::Runner;
use crate::store::Store;
use std::io;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// The memory of a machine of the sheet agenda-campo.
const MEMORY_MB: u64 = 110;
/// The size of each body: the limit of the config.
const BODY_BYTES: usize = 4_194_304;
/// What each client of the crowd keeps back.
const KEPT_BACK: usize = 1_024;
const CROWD: usize = 40;
const PIECE: usize = 64 << 10;
const ROUTE: Route<'static> = Route {
    name: "r-book",
    path_prefix: "/puxa403/",
    kind: "unsafe",
    service: "app",
    timeout_ms: 1_000,
    objective_ms: 200,
    attempts: 1,
};

#[derive(Debug, Default)]
struct Counts {
    asked: AtomicU64,
    answered: AtomicU64,
    unanswered: AtomicU64,
}

/// Runs the case; true if the rule held.
pub fn run(with_trouble: bool, folder: &Path, record: &Record) -> io::Result<bool> {
    let store = Store::start()?;
    store.put("config", "main", &config(7, &[ROUTE], &["app"]));
    let _runners: Vec<Runner> = (0..3)
        .map(|n| {
            let id = format!("i-{n}");
            Runner::start(&id, "app", "a", Duration::from_millis(15), &store, record)
        })
        .collect::<io::Result<_>>()?;
    let settings = Settings {
        name: String::from("front-a-1"),
        zone: String::from("a"),
        region: String::from("r"),
        store: store.address,
        memory_mb: MEMORY_MB,
        bounds: AGENDA_CAMPO,
        further: String::new(),
    };
    let mut gateway = Gateway::start(2, settings, folder, record)?;
    gateway.wait_until_ready()?;
    let stop = Arc::new(AtomicBool::new(false));
    let counts = Arc::new(Counts::default());
    let usual = usual_client(&gateway, &stop, &counts, record);
    thread::sleep(Duration::from_secs(2));
    record.say(&format!("memory before: {} kB", gateway.memory()? >> 10));
    let mut crowd = Vec::new();
    for number in 0..CROWD {
        let (front, stop, record) = (gateway.front, stop.clone(), record.clone());
        crowd.push(thread::spawn(move || {
            let result = upload(front, number, with_trouble, &stop);
            record.line(&format!("crowd {number}: {result:?}"));
        }));
    }
    let ended = watch_memory(&mut gateway, record)?;
    stop.store(true, Ordering::Relaxed);
    gateway.kill();
    for client in crowd {
        // What became of a client of the crowd is in the record.
        let _ = client.join();
    }
    let _ = usual.join();
    record.say(&format!(
        "usual client: {} asked, {} answered with success, {} without an answer",
        counts.asked.load(Ordering::Relaxed),
        counts.answered.load(Ordering::Relaxed),
        counts.unanswered.load(Ordering::Relaxed)
    ));
    Ok(!ended)
}

/// Plays the platform's part for ten seconds: it kills a process that exceeds its memory. Returns whether the
/// process has ended.
fn watch_memory(gateway: &mut Gateway, record: &Record) -> io::Result<bool> {
    let end = Instant::now() + Duration::from_secs(10);
    let mut peak = 0;
    while Instant::now() < end {
        if gateway.has_ended()? {
            record.say("the process has ended by itself");
            return Ok(true);
        }
        peak = gateway.memory()?.max(peak);
        if peak > MEMORY_MB << 20 {
            record.say(&format!(
                "the process has {} kB, its machine has {} kB: the platform kills it",
                peak >> 10,
                MEMORY_MB << 10
            ));
            gateway.kill();
            // So that the requests under way end.
            thread::sleep(Duration::from_millis(300));
            return Ok(true);
        }
        thread::sleep(Duration::from_millis(10));
    }
    record.say(&format!("the process lives, with {} kB at most", peak >> 10));
    Ok(false)
}

/// A client that sends a small request after the other on a kept channel.
fn usual_client(
    gateway: &Gateway,
    stop: &Arc<AtomicBool>,
    counts: &Arc<Counts>,
    record: &Record,
) -> thread::JoinHandle<()> {
    let (front, stop, counts, record) =
        (gateway.front, stop.clone(), counts.clone(), record.clone());
    thread::spawn(move || {
        let mut client = None;
        let mut number = 0;
        while !stop.load(Ordering::Relaxed) {
            number += 1;
            let id = format!("usual-{number}");
            counts.asked.fetch_add(1, Ordering::Relaxed);
            match ask(&mut client, front, &id) {
                Ok(status) => {
                    record.line(&format!("{id}: {status}"));
                    let is_success = u64::from((200..300).contains(&status));
                    counts.answered.fetch_add(is_success, Ordering::Relaxed);
                }
                Err(e) => {
                    record.line(&format!("{id}: no answer: {e}"));
                    counts.unanswered.fetch_add(1, Ordering::Relaxed);
                    client = None;
                }
            }
            thread::sleep(Duration::from_millis(5));
        }
    })
}

fn ask(client: &mut Option<Client>, front: std::net::SocketAddr, id: &str) -> io::Result<u16> {
    let mut open = match client.take() {
        Some(open) => open,
        None => Client::connect(front)?,
    };
    open.send_request("/puxa403/2f", id, 2_000)?;
    let answer = open.receive(Duration::from_secs(3))?.ok_or(io::ErrorKind::UnexpectedEof)?;
    if !answer.header("connection").eq_ignore_ascii_case("close") {
        *client = Some(open);
    }
    Ok(answer.status())
}

/// Uploads a body and, with trouble, stops just short of its end and stays.
fn upload(
    front: std::net::SocketAddr,
    number: usize,
    with_trouble: bool,
    stop: &AtomicBool,
) -> io::Result<String> {
    let bytes = if with_trouble { BODY_BYTES } else { 600 };
    let kept_back = if with_trouble { KEPT_BACK } else { 0 };
    let mut client = Client::connect(front)?;
    let id = format!("crowd-{number}");
    client.send_head("/puxa403/2f", &id, 2_000, &format!("Content-Length: {bytes}"))?;
    let piece = [b'u'; PIECE];
    let mut left = bytes - kept_back;
    while left > 0 {
        let next = left.min(PIECE);
        client.send(&piece[..next])?;
        left -= next;
    }
    if with_trouble {
        while !stop.load(Ordering::Relaxed) {
            thread::sleep(Duration::from_millis(50));
        }
        return Ok(format!("sent {} of {bytes} bytes and stayed", bytes - kept_back));
    }
    let answer = client.receive(Duration::from_secs(3))?;
    Ok(format!("sent {bytes} bytes, answered {:?}", answer.map(|a| a.status())))
}
