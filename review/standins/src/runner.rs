//! A runner, as a process of its own. It says on standard output what it does, and exits when it is
//! told so on standard input, or killed.

use crate::http::{Message, read_message};
use crate::now_ms;
use std::io::{self, BufRead, BufReader, ErrorKind, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, ChildStdin, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

/// How often a runner looks whether the channel of a request that it runs was closed.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// 125 MB a second: the speed of a link of 1,000 Mbit/s.
const SPOILED_PIECE: usize = 1 << 20;
const SPOILED_PAUSE: Duration = Duration::from_micros(8_400);

static IS_FAULTY: AtomicBool = AtomicBool::new(false);
static STREAMS: AtomicU64 = AtomicU64::new(0);

/// How a runner works.
#[derive(Clone, Copy, Debug, Default)]
pub struct Work {
    /// The time of a plain request, or of a stream to its first event.
    pub first_ms: u64,
    /// The number of events of a stream.
    pub events: u64,
    /// The time between two events.
    pub pause_ms: u64,
    /// While the runner is faulty, one of so many streams is spoiled; 0 for none.
    pub spoiled: u64,
}

/// What a runner did.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Event {
    pub at_ms: u64,
    /// `runs`, `done` (answered completely), `dropped` (the channel was closed while it worked).
    pub what: String,
    pub request: String,
}

/// Runs the process of a runner; returns when it cannot listen any more.
pub fn serve(id: &str, listener: &TcpListener, work: Work) -> io::Result<()> {
    thread::spawn(|| {
        // The runner ends on its word or with its driver.
        for line in io::stdin().lines().map_while(Result::ok) {
            IS_FAULTY.store(line == "faulty", Ordering::SeqCst);
        }
        std::process::exit(0);
    });
    let id: Arc<str> = Arc::from(id);
    for stream in listener.incoming() {
        let (stream, id) = (stream?, id.clone());
        // An I/O error ends only the thread of this channel.
        thread::spawn(move || serve_channel(&id, stream, work));
    }
    Ok(())
}

fn say(what: &str, request: &str) {
    let mut out = io::stdout().lock();
    let _ = writeln!(out, "{} {what} {request}", now_ms());
    let _ = out.flush();
}

fn serve_channel(id: &str, stream: TcpStream, work: Work) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    while let Some(req) = read_message(&mut reader)? {
        if req.header("x-chervilspur-expected-instance") != id {
            write!(
                writer,
                "HTTP/1.1 421 X\r\nX-Chervilspur-Instance-Id: {id}\r\nContent-Length: 0\r\n\r\n"
            )?;
            continue;
        }
        let request = req.header("x-chervilspur-attempt-id").to_owned();
        say("runs", &request);
        if run(id, &req, &request, work, &mut writer).is_err() {
            say("dropped", &request);
            return Ok(());
        }
        say("done", &request);
    }
    Ok(())
}

fn run(
    id: &str,
    req: &Message,
    request: &str,
    work: Work,
    writer: &mut TcpStream,
) -> io::Result<()> {
    wait_at_work(writer, work.first_ms)?;
    let head = format!(
        "HTTP/1.1 200 OK\r\nX-Chervilspur-Attempt-Id: {request}\r\nX-Chervilspur-Server-Seal: {id}\r\n"
    );
    if !req.word(1).contains("/stream/") {
        let body = format!("{id} ran {request}");
        return write!(writer, "{head}Content-Length: {}\r\n\r\n{body}", body.len());
    }
    write!(writer, "{head}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")?;
    let is_faulty = work.spoiled > 0 && IS_FAULTY.load(Ordering::SeqCst);
    if is_faulty && STREAMS.fetch_add(1, Ordering::SeqCst) % work.spoiled == work.spoiled - 1 {
        say("spoils", request);
        return spoil(writer);
    }
    let first = req.header("last-event-id").parse().map_or(1, |last: u64| last + 1);
    for number in first..=work.events {
        let event = format!("id: {number}\ndata: piece {number}\n\n");
        write!(writer, "{:x}\r\n{event}\r\n", event.len())?;
        wait_at_work(writer, work.pause_ms)?;
    }
    writer.write_all(b"0\r\n\r\n")
}

/// Sends bytes that are no events, at the speed of a link of 1,000 Mbit/s, until the channel is closed.
fn spoil(writer: &mut TcpStream) -> io::Result<()> {
    let bytes = vec![b'x'; SPOILED_PIECE];
    loop {
        write!(writer, "{:x}\r\n", bytes.len())?;
        writer.write_all(&bytes)?;
        writer.write_all(b"\r\n")?;
        thread::sleep(SPOILED_PAUSE);
    }
}

/// Works for a while; fails if the channel is closed meanwhile.
fn wait_at_work(stream: &TcpStream, time_ms: u64) -> io::Result<()> {
    let until = now_ms() + time_ms;
    stream.set_nonblocking(true)?;
    let is_open = loop {
        let peeked = stream.peek(&mut [0]);
        let is_open = match peeked {
            Ok(len) => len > 0,
            Err(e) => e.kind() == ErrorKind::WouldBlock,
        };
        if !is_open || now_ms() >= until {
            break is_open;
        }
        thread::sleep(POLL_INTERVAL);
    };
    stream.set_nonblocking(false)?;
    if is_open { Ok(()) } else { Err(io::Error::from(ErrorKind::ConnectionReset)) }
}

/// The process of a runner, as its driver sees it; killed when this value is dropped.
#[derive(Debug)]
pub struct Runner {
    pub id: String,
    pub address: SocketAddr,
    child: Child,
    stdin: Option<ChildStdin>,
    events: Arc<Mutex<Vec<Event>>>,
}

impl Runner {
    pub fn start(id: &str, work: Work) -> io::Result<Runner> {
        let program = std::env::current_exe()?;
        let mut child = Command::new(program)
            .args(["runner", id])
            .args([work.first_ms, work.events, work.pause_ms, work.spoiled].map(|n| n.to_string()))
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()?;
        let stdin = child.stdin.take();
        let stdout = child.stdout.take().ok_or_else(|| io::Error::other("no standard output"))?;
        let mut lines = BufReader::new(stdout).lines();
        let first = lines.next().ok_or_else(|| io::Error::other("the runner did not start"))??;
        let address = first.parse().map_err(io::Error::other)?;
        let events = Arc::new(Mutex::new(Vec::new()));
        let seen = events.clone();
        thread::spawn(move || {
            for line in lines.map_while(Result::ok) {
                let mut words = line.split(' ').map(str::to_owned);
                let at_ms = words.next().and_then(|word| word.parse().ok()).unwrap_or(0);
                let (what, request) = (words.next(), words.next());
                let (what, request) = (what.unwrap_or_default(), request.unwrap_or_default());
                let mut seen = seen.lock().unwrap_or_else(PoisonError::into_inner);
                seen.push(Event { at_ms, what, request });
            }
        });
        Ok(Runner { id: id.to_owned(), address, child, stdin, events })
    }

    /// What it did so far.
    pub fn events(&self) -> Vec<Event> {
        self.events.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Makes it faulty, or sound again.
    pub fn set_faulty(&mut self, is_faulty: bool) -> io::Result<()> {
        let word = if is_faulty { "faulty" } else { "sound" };
        self.stdin.as_mut().map_or(Ok(()), |stdin| writeln!(stdin, "{word}"))
    }

    /// Lets it exit, whatever it works on.
    pub fn exit(&mut self) -> io::Result<()> {
        drop(self.stdin.take());
        self.child.wait().map(|_| ())
    }

    /// Crashes it (SIGKILL).
    pub fn kill(&mut self) -> io::Result<()> {
        self.child.kill()?;
        self.child.wait().map(|_| ())
    }
}

impl Drop for Runner {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// The main function of a runner's process: `runner ID FIRST_MS EVENTS PAUSE_MS SPOILED`.
pub fn main(args: &[String]) -> io::Result<()> {
    let number = |at: usize| args.get(at).and_then(|word| word.parse().ok()).unwrap_or(0);
    let work =
        Work { first_ms: number(1), events: number(2), pause_ms: number(3), spoiled: number(4) };
    let listener = TcpListener::bind("127.0.0.1:0")?;
    println!("{}", listener.local_addr()?);
    serve(args.first().map_or("", |id| id), &listener, work)
}
