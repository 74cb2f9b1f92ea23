use crate::platform_objects::KEY;
use fakes::{Client, ClientResponse};
use std::io;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

const CLIENTS: usize = 40;
/// With requests of 200 ms, the clients send about 150 requests a second.
const PAUSE: Duration = Duration::from_millis(60);
/// The longest time that a client waits after a refusal.
const MAX_RETRY_AFTER: f64 = 1.0;

/// Where the crashing part is in a prompt.
#[derive(Clone, Copy, Debug)]
pub enum Position {
    First,
    SecondOfThree,
    LastOfThree,
}

/// How often a request with a crashing part is sent.
#[derive(Clone, Copy, Debug)]
pub enum Pace {
    /// One of so many requests.
    OneOf(usize),
    Interval(Duration),
}

/// The requests that all clients send together.
#[derive(Clone, Debug)]
pub struct TrafficConfig {
    pub crashing_parts: Vec<String>,
    pub position: Position,
    pub pace: Pace,
    pub has_equal_bodies: bool,
    /// When the first request with a crashing part is sent.
    pub first_crashing: Instant,
    pub end: Instant,
}

/// What a client got.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    Served,
    /// A 503 with a time after which to send again.
    Refused,
    Failed,
}

/// A request without a crashing part.
#[derive(Clone, Copy, Debug)]
pub struct Sample {
    pub sent: Instant,
    pub outcome: Outcome,
}

#[derive(Debug)]
struct State {
    sent: usize,
    crashing_sent: usize,
    next_crashing: Instant,
    in_service: Vec<SocketAddr>,
    samples: Vec<Sample>,
}

/// Clients that send streams to all gateways in service.
pub struct Traffic {
    cfg: TrafficConfig,
    state: Mutex<State>,
}

impl Traffic {
    pub fn new(cfg: TrafficConfig, gateways: Vec<SocketAddr>) -> Traffic {
        let state = State {
            sent: 0,
            crashing_sent: 0,
            next_crashing: cfg.first_crashing,
            in_service: gateways,
            samples: Vec::new(),
        };
        Traffic { cfg, state: Mutex::new(state) }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub fn set_in_service(&self, gateway: SocketAddr, is_in_service: bool) {
        let mut state = self.state();
        state.in_service.retain(|address| *address != gateway);
        if is_in_service {
            state.in_service.push(gateway);
        }
    }

    /// The requests without a crashing part that were sent within a time.
    pub fn samples(&self, from: Instant, to: Instant) -> Vec<Sample> {
        let samples = self.state().samples.clone();
        samples.into_iter().filter(|sample| (from..to).contains(&sample.sent)).collect()
    }

    /// Sends requests until the end.
    pub fn run(&self) {
        thread::scope(|scope| {
            for _ in 0..CLIENTS {
                scope.spawn(|| {
                    while Instant::now() < self.cfg.end {
                        sleep(self.send_next());
                    }
                });
            }
        });
    }

    /// Sends a request. Returns the time to wait before the next one.
    fn send_next(&self) -> Duration {
        let sent = Instant::now();
        let (number, crashing, gateways) = self.state().plan(&self.cfg, sent);
        let prompt = self.prompt(number, crashing);
        let body =
            if self.cfg.has_equal_bodies { String::from("body") } else { format!("body {number}") };
        let response = connect(number, &gateways).and_then(|mut client| {
            client.send_request_with("/stream/", &format!("r{number}"), KEY, &body, &prompt)?;
            client.read_response()
        });
        let (outcome, pause) = response.as_ref().map_or((Outcome::Failed, PAUSE), outcome);
        if crashing.is_none() {
            self.state().samples.push(Sample { sent, outcome });
        }
        pause
    }

    /// The headers that describe the prompt, which has a part of its own.
    fn prompt(&self, number: usize, crashing: Option<usize>) -> String {
        let own = format!("{number:x}0000:100");
        let crashing = crashing.map(|part| format!("{}:100", self.cfg.crashing_parts[part]));
        let parts = match (crashing, self.cfg.position) {
            (None, _) => format!("f1:100,{own}"),
            (Some(part), Position::First) => format!("{part},{own}"),
            (Some(part), Position::SecondOfThree) => format!("f1:100,{part},{own}"),
            (Some(part), Position::LastOfThree) => format!("f1:100,{own},{part}"),
        };
        format!("X-Chervilspur-Token-Counts: 300,10\r\nX-Chervilspur-Prompt-Prefix: {parts}\r\n")
    }
}

impl State {
    /// The number of the next request, its crashing part and the gateways in service.
    fn plan(
        &mut self,
        cfg: &TrafficConfig,
        now: Instant,
    ) -> (usize, Option<usize>, Vec<SocketAddr>) {
        self.sent += 1;
        let is_crashing = now >= self.next_crashing
            && match cfg.pace {
                Pace::OneOf(requests) => self.sent.is_multiple_of(requests),
                Pace::Interval(interval) => {
                    self.next_crashing += interval;
                    true
                }
            };
        let crashing = is_crashing.then(|| {
            self.crashing_sent += 1;
            self.crashing_sent % cfg.crashing_parts.len()
        });
        (self.sent, crashing, self.in_service.clone())
    }
}

/// Connects to one of the gateways, or to the next one if it refuses connections.
fn connect(number: usize, gateways: &[SocketAddr]) -> io::Result<Client> {
    let mut result = Err(io::ErrorKind::NotConnected.into());
    for turn in 0..gateways.len() {
        result = Client::connect(gateways[(number + turn) % gateways.len()]);
        if result.is_ok() {
            break;
        }
    }
    result
}

fn outcome(response: &ClientResponse) -> (Outcome, Duration) {
    let retry_after = response.message.header("retry-after").parse::<f64>();
    match (response.message.status(), retry_after) {
        (200, _) if response.is_complete => (Outcome::Served, PAUSE),
        (503, Ok(seconds)) => {
            (Outcome::Refused, Duration::from_secs_f64(seconds.clamp(0.0, MAX_RETRY_AFTER)))
        }
        _ => (Outcome::Failed, PAUSE),
    }
}
