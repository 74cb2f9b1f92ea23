use crate::attempt::Target;
use crate::spans::Trace;
use crate::stream::Stream;
use decision::Millis;
use decision::load::Arrival;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::SystemTime;

/// Who sent a request to this daemon.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Origin {
    Caller,
    /// Another daemon, which responds to the caller and records the metrics.
    Peer,
}

/// The live attempt of a request.
#[derive(Clone, Debug)]
pub struct RunningAttempt {
    pub attempt: u32,
    pub target: Target,
}

/// A request that this daemon has accepted, with the state of its response.
#[derive(Debug)]
pub struct Job {
    /// Unique within this process.
    pub number: u64,
    /// The request id that callers and endpoints see.
    pub id: String,
    pub origin: Origin,
    /// The scheduler's view of the request.
    pub arrival: Arrival,
    /// The body as the caller sent it.
    pub body: serde_json::Value,
    /// The response so far.
    pub stream: Stream,
    /// The caller's trace context and the span of the request.
    pub trace: Trace,
    /// Arrival by `Tables::now`.
    pub arrived: Millis,
    /// Arrival in wall-clock time, for spans.
    pub arrived_at: SystemTime,
    pub counters: Counters,
    /// `None` while the request waits.
    pub running: Mutex<Option<RunningAttempt>>,
}

impl Job {
    /// Creates a job with the origin `Caller` and an empty response.
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

/// Counters of a running request.
#[derive(Debug, Default)]
pub struct Counters {
    /// The time of the first token by `Tables::now` in milliseconds, plus 1; 0 before it.
    first_token_at: AtomicU64,
    /// Tokens that were received from endpoints in all attempts.
    generated_tokens: AtomicU64,
    /// Bytes of this request that crossed the link between regions.
    link_bytes: AtomicU64,
}

impl Counters {
    /// Counts a token and, if it is the first one, records its time.
    pub fn add_token(&self, now: Millis) {
        self.generated_tokens.fetch_add(1, Ordering::Relaxed);
        let first = now.0 + 1;
        let _ =
            self.first_token_at.compare_exchange(0, first, Ordering::Relaxed, Ordering::Relaxed);
    }

    pub fn add_link_bytes(&self, bytes: u64) {
        self.link_bytes.fetch_add(bytes, Ordering::Relaxed);
    }

    /// The time of the first token by `Tables::now`.
    pub fn first_token_at(&self) -> Option<Millis> {
        self.first_token_at.load(Ordering::Relaxed).checked_sub(1).map(Millis)
    }

    /// Tokens received from endpoints in all attempts.
    pub fn generated_tokens(&self) -> u64 {
        self.generated_tokens.load(Ordering::Relaxed)
    }

    pub fn link_bytes(&self) -> u64 {
        self.link_bytes.load(Ordering::Relaxed)
    }
}
