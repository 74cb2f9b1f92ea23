use crate::attempt::Target;
use crate::spans::Trace;
use crate::stream::Stream;
use decision::Millis;
use decision::load::Arrival;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::SystemTime;

/// Where a request entered this daemon.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Origin {
    /// From a caller.
    Caller,
    /// From another daemon, which answers the caller.
    Peer,
}

/// The attempt that runs now and where it runs.
#[derive(Clone, Debug)]
pub struct RunningAttempt {
    /// The number of the attempt.
    pub attempt: u32,
    /// Where it runs.
    pub target: Target,
}

/// A request that this daemon answers for.
#[derive(Debug)]
pub struct Job {
    /// The number of the request within this daemon.
    pub number: u64,
    /// The request's id towards callers and endpoints.
    pub id: String,
    /// Where it entered.
    pub origin: Origin,
    /// What the scheduler knows of it.
    pub arrival: Arrival,
    /// The body for the endpoint.
    pub body: serde_json::Value,
    /// The answer as far as it has come.
    pub stream: Stream,
    /// Its place in the caller's trace.
    pub trace: Trace,
    /// When it arrived.
    pub arrived: Millis,
    /// When it arrived, for spans.
    pub arrived_at: SystemTime,
    /// Counters of the request.
    pub counters: Counters,
    /// The attempt that runs now.
    pub running: Mutex<Option<RunningAttempt>>,
}

impl Job {
    /// Creates the job of a caller's request that arrived at `now`.
    pub fn new(
        id: String,
        arrival: Arrival,
        body: serde_json::Value,
        trace: Trace,
        now: Millis,
    ) -> Job {
        Job {
            number: arrival.request,
            id,
            origin: Origin::Caller,
            arrival,
            body,
            stream: Stream::default(),
            trace,
            arrived: now,
            arrived_at: SystemTime::now(),
            counters: Counters::default(),
            running: Mutex::default(),
        }
    }
}

/// What is counted while a request runs.
#[derive(Debug, Default)]
pub struct Counters {
    /// The time of the first token plus one, in milliseconds; 0 before it.
    first_token: AtomicU64,
    /// Tokens that endpoints sent, also those that were dropped.
    generated: AtomicU64,
    /// Bytes that crossed the link between regions.
    link_bytes: AtomicU64,
}

impl Counters {
    /// Notes a token and, with the first, its time.
    pub fn add_token(&self, now: Millis) {
        self.generated.fetch_add(1, Ordering::Relaxed);
        let first = now.0 + 1;
        let _ = self.first_token.compare_exchange(0, first, Ordering::Relaxed, Ordering::Relaxed);
    }

    /// Notes bytes on the link between regions.
    pub fn add_link_bytes(&self, bytes: u64) {
        self.link_bytes.fetch_add(bytes, Ordering::Relaxed);
    }

    /// Returns the time of the first token.
    pub fn first_token(&self) -> Option<Millis> {
        self.first_token.load(Ordering::Relaxed).checked_sub(1).map(Millis)
    }

    /// Returns the tokens that endpoints sent.
    pub fn generated(&self) -> u64 {
        self.generated.load(Ordering::Relaxed)
    }

    /// Returns the bytes that crossed the link between regions.
    pub fn link_bytes(&self) -> u64 {
        self.link_bytes.load(Ordering::Relaxed)
    }
}
