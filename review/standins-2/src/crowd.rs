//! Case: clients upload bodies of legal size: a crowd that stops just short of the ends, then a single client
//! that sends its body in small chunks.

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
/// Chunks of one byte that the single client sends at a time.
const CHUNKS_AT_A_TIME: usize = 10_000;
const USUAL_CLIENTS: usize = 8;
/// A tenth of the machines, two at least.
const MACHINES: u8 = 2;
/// How long the platform watches a process in each round.
const WATCHED: Duration = Duration::from_secs(8);
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

/// What uploads the bodies.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Form {
    /// `CROWD` clients, which stop just short of the ends.
    Crowd,
    /// One client, in chunks of one byte.
    SmallChunks,
}

/// What is uploaded, one after the other, to each gateway.
const ROUNDS: [Form; 3] = [Form::Crowd, Form::SmallChunks, Form::Crowd];

/// Runs the case; true if the rule held. It is broken if the process of each machine ends three times.
pub fn run(with_trouble: bool, folder: &Path, record: &Record) -> io::Result<bool> {
    let store = Store::start()?;
    store.put("config", "main", &config(7, &[ROUTE], &["app"]));
    let _runners: Vec<Runner> = (0..3)
        .map(|n| {
            let id = format!("i-{n}");
            Runner::start(&id, "app", "a", Duration::from_millis(15), &store, record)
        })
        .collect::<io::Result<_>>()?;
    let mut gateways = Vec::new();
    for number in 1..=MACHINES {
        let settings = Settings {
            name: format!("front-a-{number}"),
            zone: String::from("a"),
            region: String::from("r"),
            store: store.address,
            memory_mb: MEMORY_MB,
            bounds: AGENDA_CAMPO,
            further: String::new(),
        };
        gateways.push(Gateway::start(number + 1, settings, folder, record)?);
    }
    let mut ends = vec![0; gateways.len()];
    for form in ROUNDS {
        for (gateway, ends) in gateways.iter_mut().zip(&mut ends) {
            if gateway.has_ended()? {
                gateway.spawn(false, record)?;
            }
            gateway.wait_until_ready()?;
            *ends += u32::from(run_form(form, with_trouble, gateway, record)?);
        }
    }
    record.say(&format!("ends of processes by machine: {ends:?}"));
    Ok(ends.iter().any(|ends| *ends < ROUNDS.len() as u32))
}

/// Returns whether the process has ended.
fn run_form(
    form: Form,
    with_trouble: bool,
    gateway: &mut Gateway,
    record: &Record,
) -> io::Result<bool> {
    record.say(&format!(
        "{} {form:?}, memory before: {} kB",
        gateway.settings.name,
        gateway.memory()? >> 10
    ));
    let stop = Arc::new(AtomicBool::new(false));
    let counts = Arc::new(Counts::default());
    let usual: Vec<_> = (0..USUAL_CLIENTS)
        .map(|number| usual_client(number, gateway, &stop, &counts, record))
        .collect();
    thread::sleep(Duration::from_secs(1));
    let clients = if form == Form::Crowd { CROWD } else { 1 };
    let crowd: Vec<_> = (0..clients)
        .map(|number| {
            let (front, stop, record) = (gateway.front, stop.clone(), record.clone());
            thread::spawn(move || {
                let result = match form {
                    Form::Crowd => upload(front, number, with_trouble, &stop),
                    Form::SmallChunks => upload_chunks(front, with_trouble),
                };
                record.line(&format!("{form:?} {number}: {result:?}"));
            })
        })
        .collect();
    let ended = watch_memory(gateway, &stop, record)?;
    stop.store(true, Ordering::Relaxed);
    for client in usual.into_iter().chain(crowd) {
        // What became of its requests is in the record.
        let _ = client.join();
    }
    record.say(&format!(
        "usual clients: {} asked, {} answered with success, {} without an answer",
        counts.asked.load(Ordering::Relaxed),
        counts.answered.load(Ordering::Relaxed),
        counts.unanswered.load(Ordering::Relaxed)
    ));
    Ok(ended)
}

/// Plays the platform's part for a while: it kills a process that exceeds its memory. Returns whether the
/// process has ended.
fn watch_memory(gateway: &mut Gateway, stop: &AtomicBool, record: &Record) -> io::Result<bool> {
    let end = Instant::now() + WATCHED;
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
            stop.store(true, Ordering::Relaxed);
            gateway.kill();
            return Ok(true);
        }
        thread::sleep(Duration::from_millis(10));
    }
    record.say(&format!("the process lives, with {} kB at most", peak >> 10));
    Ok(false)
}

/// A client that sends a small request after the other on a kept channel.
fn usual_client(
    client_number: usize,
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
            let id = format!("usual-{client_number}-{number}");
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

/// Uploads a body of the largest legal size in chunks of one byte.
fn upload_chunks(front: std::net::SocketAddr, with_trouble: bool) -> io::Result<String> {
    let bytes = if with_trouble { BODY_BYTES } else { 600 };
    let mut client = Client::connect(front)?;
    client.send_head("/puxa403/2f", "chunks", 12_000, "Transfer-Encoding: chunked")?;
    let chunk = b"1\r\nx\r\n";
    let mut left = bytes;
    while left > 0 {
        let next = left.min(CHUNKS_AT_A_TIME);
        client.send(&chunk.repeat(next))?;
        left -= next;
    }
    client.send(b"0\r\n\r\n")?;
    let answer = client.receive(Duration::from_secs(12))?;
    Ok(format!("sent {bytes} bytes, answered {:?}", answer.map(|a| a.status())))
}
