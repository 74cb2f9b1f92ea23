//! A crowd of clients stops half-way in a short head; ordinary clients come beside it.

use standins_3::client::{head, request, wait_until_ready};
use standins_3::config;
use standins_3::gateway::{Gateway, open_files_limit};
use standins_3::http::read_message;
use standins_3::lock;
use standins_3::record::Record;
use standins_3::runner::{Answers, Runner};
use standins_3::store::Store;
use std::collections::BTreeSet;
use std::env;
use std::fs;
use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// The clients of the crowd. A machine has 4,100 descriptors, and its process admits 3,200 clients.
const CROWD: usize = 3_300;
/// How long the crowd stays.
const STAY: Duration = Duration::from_secs(10);
/// Ordinary clients, each with a new channel for each request.
const CLIENTS: usize = 10;
/// The pause of an ordinary client between two requests.
const PAUSE: Duration = Duration::from_millis(200);
/// The rule's number of clients that try.
const MIN_CLIENTS: usize = 7;
/// `contact_ms`.
const CONTACT: Duration = Duration::from_millis(4_000);
/// Time limit of a client's connection attempt.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// The descriptors that this process and a gateway need.
const MIN_FILES: u64 = 4_100;

/// An attempt of an ordinary client.
#[derive(Clone, Copy, Debug)]
struct Try {
    client: usize,
    at: Instant,
    is_answered: bool,
}

/// A status check of the platform.
#[derive(Clone, Copy, Debug)]
struct Check {
    at: Instant,
    is_ready: bool,
}

fn main() -> ExitCode {
    let folder = PathBuf::from(env::args().nth(1).unwrap_or_default());
    let has_trouble = env::var("TROUBLE").map_or(true, |value| value != "0");
    if open_files_limit().is_none_or(|limit| limit < MIN_FILES) {
        eprintln!("the case needs a limit of {MIN_FILES} open files");
        return ExitCode::from(2);
    }
    let scratch = env::temp_dir().join(format!("review-3-{}", std::process::id()));
    let result = fs::create_dir_all(&scratch)
        .and_then(|()| Record::create(&folder))
        .and_then(|record| play(&record, &scratch, has_trouble));
    if let Err(e) = fs::remove_dir_all(&scratch) {
        eprintln!("{}: {e}", scratch.display());
    }
    match result {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(e) => {
            eprintln!("the case could not run: {e}");
            ExitCode::from(2)
        }
    }
}

fn play(record: &Record, scratch: &Path, has_trouble: bool) -> io::Result<bool> {
    let store = Store::start()?;
    store.put("config", "main", &config::configuration(1));
    let runner = Runner::start("i-1", Answers::default())?;
    store.put("servers", "i-1", &config::registration(runner.address, 1));
    let gateway = Gateway::start("front-1", "aburra-norte", store.address, scratch, "")?;
    if !wait_until_ready(gateway.ready, Duration::from_secs(15)) {
        return Err(io::Error::other("the gateway is not ready"));
    }
    let is_over = Arc::new(AtomicBool::new(false));
    let tries: Arc<Mutex<Vec<Try>>> = Arc::default();
    let checks: Arc<Mutex<Vec<Check>>> = Arc::default();
    let mut threads = Vec::new();
    for client in 0..CLIENTS {
        let (front, tries, is_over) = (gateway.front, tries.clone(), is_over.clone());
        let record = record.clone();
        threads.push(thread::spawn(move || try_often(client, front, &tries, &record, &is_over)));
    }
    let (ready, of_platform, over) = (gateway.ready, checks.clone(), is_over.clone());
    threads.push(thread::spawn(move || check_often(ready, &of_platform, &over)));
    thread::sleep(CONTACT + Duration::from_secs(1));
    let from = Instant::now();
    let crowd = send_crowd(&gateway, record, has_trouble)?;
    thread::sleep(STAY);
    let to = Instant::now();
    is_over.store(true, Ordering::Relaxed);
    drop(crowd);
    for thread in threads {
        thread.join().map_err(|_| io::Error::other("a thread panicked"))?;
    }
    let memory = gateway.status_kb("VmHWM").unwrap_or(0);
    record.line(&format!("{} requests ran, peak memory {memory} kB", runner.runs().len()));
    Ok(judge(record, &lock(&tries), &lock(&checks), from, to))
}

/// Sends a request on a new channel again and again.
fn try_often(
    client: usize,
    front: SocketAddr,
    tries: &Mutex<Vec<Try>>,
    record: &Record,
    is_over: &AtomicBool,
) {
    let mut number = 0;
    while !is_over.load(Ordering::Relaxed) {
        thread::sleep(PAUSE);
        number += 1;
        let at = Instant::now();
        let id = format!("c{client}-{number}");
        let answer = request(front, "/safe/1", &id, b"q", Duration::from_secs(2));
        let is_answered = matches!(&answer, Ok(Some(answer)) if answer.is_complete);
        let text = match answer {
            Ok(Some(answer)) => answer.start,
            Ok(None) => String::from("channel closed without an answer"),
            Err(e) => e.to_string(),
        };
        record.quiet(&format!("{id}: {text}"));
        lock(tries).push(Try { client, at, is_answered });
    }
}

/// Sends the status check each second, as the platform does, on a channel that it keeps.
fn check_often(ready: SocketAddr, checks: &Mutex<Vec<Check>>, is_over: &AtomicBool) {
    let mut channel: Option<BufReader<TcpStream>> = None;
    while !is_over.load(Ordering::Relaxed) {
        let at = Instant::now();
        let is_ready = check(ready, &mut channel).unwrap_or(false);
        if !is_ready {
            channel = None;
        }
        lock(checks).push(Check { at, is_ready });
        thread::sleep(Duration::from_secs(1));
    }
}

fn check(ready: SocketAddr, channel: &mut Option<BufReader<TcpStream>>) -> io::Result<bool> {
    let mut reader = match channel.take() {
        Some(reader) => reader,
        None => BufReader::new(TcpStream::connect_timeout(&ready, CONNECT_TIMEOUT)?),
    };
    reader.get_ref().set_read_timeout(Some(CONNECT_TIMEOUT))?;
    reader.get_mut().write_all(b"GET /readiness HTTP/1.1\r\nHost: ready\r\n\r\n")?;
    let answer = read_message(&mut reader, false)?;
    *channel = Some(reader);
    Ok(answer.is_some_and(|answer| answer.status() == 200))
}

/// Opens the channels of the crowd. Returns those that stay.
fn send_crowd(gateway: &Gateway, record: &Record, has_trouble: bool) -> io::Result<Vec<TcpStream>> {
    let what =
        if has_trouble { "send half of a short head and stay" } else { "send a request and leave" };
    record.line(&format!("{CROWD} clients {what}"));
    let mut open = Vec::new();
    for client in 0..CROWD {
        if client % 10 == 0 {
            thread::sleep(Duration::from_millis(2));
        }
        let connect = || TcpStream::connect_timeout(&gateway.front, CONNECT_TIMEOUT);
        let mut stream = connect().or_else(|_| connect())?;
        stream.set_write_timeout(Some(CONNECT_TIMEOUT))?;
        let head = head("/none/1", &format!("crowd-{client}"), 5_000, "Content-Length: 0\r\n");
        if has_trouble {
            // The channels beyond the limit are closed at once.
            let _ = stream.write_all(&head.as_bytes()[..head.len() / 2]);
            open.push(stream);
        } else {
            stream.write_all(head.as_bytes())?;
            stream.set_read_timeout(Some(Duration::from_secs(2)))?;
            read_message(&mut BufReader::new(stream), false)?;
        }
    }
    Ok(open)
}

/// Whether the rule held between two times: there was no span of `CONTACT` in which the machine said
/// that it was ready, seven clients tried, and none got an answer.
fn judge(record: &Record, tries: &[Try], checks: &[Check], from: Instant, to: Instant) -> bool {
    let mut answered: Vec<Instant> =
        tries.iter().filter(|t| t.is_answered && t.at >= from).map(|t| t.at).collect();
    answered.extend([from, to]);
    answered.sort();
    let gap = answered.windows(2).max_by_key(|pair| pair[1] - pair[0]);
    let Some(&[begin, end]) = gap.and_then(|pair| pair.first_chunk::<2>()) else { return true };
    let in_gap = |at: Instant| at > begin && at < end;
    let in_time: Vec<&Try> = tries.iter().filter(|t| in_gap(t.at)).collect();
    let clients: BTreeSet<usize> = in_time.iter().map(|t| t.client).collect();
    let asked: Vec<&Check> = checks.iter().filter(|c| in_gap(c.at)).collect();
    let ready = asked.iter().filter(|c| c.is_ready).count();
    let sent = tries.iter().filter(|t| t.at >= from && t.at <= to).count();
    let served = tries.iter().filter(|t| t.at >= from && t.at <= to && t.is_answered).count();
    record
        .line(&format!("ordinary requests while the crowd was there: {sent}, answered: {served}"));
    record.line(&format!(
        "longest time without an answer: {} ms, {} tries of {} clients; status checks: {}, of which \
         ready: {ready}",
        (end - begin).as_millis(),
        in_time.len(),
        clients.len(),
        asked.len(),
    ));
    let is_broken =
        end - begin >= CONTACT && clients.len() >= MIN_CLIENTS && ready == asked.len() && ready > 0;
    record.line(if is_broken {
        "BROKEN: the machine said that it was ready, and took no new channel for 4 s"
    } else {
        "held: new channels were taken"
    });
    !is_broken
}
