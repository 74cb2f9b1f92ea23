//! Runners of the service `pool`.

use crate::config::registration;
use crate::http::{Message, read_message};
use crate::lock;
use crate::store::Store;
use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// The time between two heartbeats.
const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// A request that a runner received.
#[derive(Clone, Debug)]
pub struct Run {
    pub id: String,
    pub target: String,
    pub body_bytes: usize,
    pub at: Instant,
}

/// How a runner answers a request.
#[derive(Clone, Copy, Debug)]
pub struct Answers {
    /// Work before the answer.
    pub work: Duration,
    /// The size of an answer that is not streamed.
    pub bytes: usize,
    /// Events of a stream.
    pub events: usize,
    /// The pause between them.
    pub pause: Duration,
}

impl Default for Answers {
    fn default() -> Answers {
        let (work, pause) = (Duration::from_millis(15), Duration::from_millis(20));
        Answers { work, bytes: 800, events: 10, pause }
    }
}

/// A runner; clones share their state.
#[derive(Clone, Debug)]
pub struct Runner {
    pub id: String,
    pub address: SocketAddr,
    pub answers: Answers,
    runs: Arc<Mutex<Vec<Run>>>,
}

/// The seal of a runner over a request's id and its body.
pub fn seal(id: &str, body: &[u8]) -> String {
    let mut sum: u64 = 0xcbf2_9ce4_8422_2325;
    for byte in id.bytes().chain(body.iter().copied()) {
        sum = (sum ^ u64::from(byte)).wrapping_mul(0x100_0000_01b3);
    }
    format!("3e1b.{sum:016x}")
}

impl Runner {
    /// Starts a runner.
    ///
    /// # Errors
    ///
    /// Returns an error if no port can be bound.
    pub fn start(id: &str, answers: Answers) -> io::Result<Runner> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let runner = Runner { id: id.to_owned(), address, answers, runs: Arc::default() };
        let served = runner.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let runner = served.clone();
                // A connection that its caller closes is no error of the runner.
                thread::spawn(move || runner.serve(stream));
            }
        });
        Ok(runner)
    }

    /// Registers the runner in the store, and renews the entry with heartbeats.
    pub fn register(&self, store: &Store, service: &'static str) {
        let (store, runner) = (store.clone(), self.clone());
        store.put("servers", &runner.id, &registration(service, runner.address, 1));
        thread::spawn(move || {
            for sequence in 2.. {
                thread::sleep(HEARTBEAT);
                store.put("servers", &runner.id, &registration(service, runner.address, sequence));
            }
        });
    }

    /// The requests that ran.
    pub fn runs(&self) -> Vec<Run> {
        lock(&self.runs).clone()
    }

    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut writer = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        while let Some(request) = read_message(&mut reader, false)? {
            if !request.is_complete {
                return Ok(());
            }
            if request.word(1) == "/health" {
                let head = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n";
                write!(writer, "{head}X-Chervilspur-Instance-Id: {}\r\n\r\n", self.id)?;
                continue;
            }
            self.answer(&request, &mut writer)?;
        }
        Ok(())
    }

    fn answer(&self, request: &Message, writer: &mut TcpStream) -> io::Result<()> {
        let id = request.header("x-chervilspur-attempt-id").to_owned();
        if request.header("x-chervilspur-expected-instance") != self.id {
            return write!(
                writer,
                "HTTP/1.1 421 X\r\nX-Chervilspur-Attempt-Id: {id}\r\n\
                 X-Chervilspur-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
            );
        }
        lock(&self.runs).push(Run {
            id: id.clone(),
            target: request.word(1).to_owned(),
            body_bytes: request.body.len(),
            at: Instant::now(),
        });
        thread::sleep(self.answers.work);
        let is_stream =
            request.word(1).starts_with("/stream/") || request.word(1).starts_with("/fixed/");
        if !is_stream {
            let body = vec![b'x'; self.answers.bytes];
            let seal = seal(&id, &body);
            write!(
                writer,
                "HTTP/1.1 200 OK\r\nX-Chervilspur-Attempt-Id: {id}\r\n\
                 X-Chervilspur-Server-Seal: {seal}\r\nContent-Length: {}\r\n\r\n",
                body.len()
            )?;
            return writer.write_all(&body);
        }
        let seal = seal(&id, b"");
        write!(
            writer,
            "HTTP/1.1 200 OK\r\nX-Chervilspur-Attempt-Id: {id}\r\n\
             X-Chervilspur-Server-Seal: {seal}\r\nContent-Type: text/event-stream\r\n\
             Transfer-Encoding: chunked\r\n\r\n"
        )?;
        let from = request.header("last-event-id").parse().map_or(1, |last: usize| last + 1);
        for number in from..=self.answers.events {
            let event = format!("id: {number}\ndata: {id} {number}\n\n");
            write!(writer, "{:x}\r\n{event}\r\n", event.len())?;
            thread::sleep(self.answers.pause);
        }
        writer.write_all(b"0\r\n\r\n")
    }
}
