//! A stand-in for a model engine: streamed chat completions, continuous batching, a prefix cache and
//! injected faults.

mod batch;
mod cache;
mod stream;

use crate::server::{header, lock, read_json, serve, split_url};
use batch::{Batch, Phase};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::collections::BTreeSet;
use std::io;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::{Duration, Instant};
use tiny_http::Request;
use utils::{random_id, respond_json};

/// The configuration of a model engine.
#[derive(Clone, Debug)]
pub struct EngineConfig {
    /// The model that is loaded at the start.
    pub model: String,
    /// The time between two tokens of a stream when no other stream runs, in milliseconds.
    pub token_ms: u64,
    /// The increase of the time between two tokens for each further running stream, in percent.
    pub batch_percent: u64,
    /// The prefill time for each prompt token that is not cached, in microseconds.
    pub prefill_us: u64,
    /// The maximum number of running streams.
    pub slots: u32,
    /// The maximum number of requests that wait for a slot.
    pub queue: usize,
    /// The capacity of the prefix cache, in blocks of prompt tokens.
    pub cache_blocks: usize,
    /// The delay of the reported load.
    pub report_lag: Duration,
    /// Whether streams can be paused and resumed.
    pub pauses: bool,
    /// Whether orders with an older fencing number are rejected.
    pub checks_fence: bool,
}

impl Default for EngineConfig {
    fn default() -> EngineConfig {
        EngineConfig {
            model: String::from("campo-8b"),
            token_ms: 10,
            batch_percent: 2,
            prefill_us: 50,
            slots: 64,
            queue: 1024,
            cache_blocks: 4096,
            report_lag: Duration::ZERO,
            pauses: false,
            checks_fence: false,
        }
    }
}

/// The injected faults; a POST to `/faults` replaces them.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
struct Faults {
    /// Stops token generation while set.
    stall: bool,
    /// Exits the process at this many further tokens, before the last of them is sent.
    crash_after_tokens: Option<u64>,
    /// Sends nothing more on the streams that are open when it is set; later streams work.
    silent: bool,
    /// Multiplies the prefill time and the time between tokens.
    slow_factor: f64,
    /// Sends events of another request, attempt and offset before each token.
    cross_events: bool,
    /// Ends each stream after half of its remaining tokens, without the final events.
    short: bool,
    /// Rejects each request with the verdict `not_run`.
    refuse: bool,
}

impl Default for Faults {
    fn default() -> Faults {
        Faults {
            stall: false,
            crash_after_tokens: None,
            silent: false,
            slow_factor: 1.0,
            cross_events: false,
            short: false,
            refuse: false,
        }
    }
}

#[derive(Serialize)]
struct Description<'a> {
    serves: BTreeSet<String>,
    slots: u32,
    pauses: bool,
    checks_fence: bool,
    incarnation: &'a str,
    leaving: bool,
}

#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(rename_all = "snake_case")]
enum Action {
    Load,
    Unload,
}

#[derive(Debug, Deserialize)]
struct Order {
    fence: u64,
    model: String,
    action: Action,
}

/// The current fencing number, in the response to an order with an older one.
#[derive(Serialize)]
struct CurrentFence {
    fence: u64,
}

/// The number of streams that a cancel, pause or resume changed.
#[derive(Serialize)]
struct ChangedStreams {
    streams: usize,
}

struct Engine {
    cfg: EngineConfig,
    incarnation: String,
    batch: Mutex<Batch>,
}

/// Serves chat completions and the control calls of an engine until the process ends.
pub fn run_engine(address: SocketAddr, cfg: EngineConfig) -> io::Result<()> {
    let incarnation = format!("{:032x}", random_id());
    let batch = Mutex::new(Batch::new(&cfg));
    let engine = Engine { cfg, incarnation, batch };
    serve(address, move |req| engine.serve(req))
}

impl Engine {
    fn serve(&self, req: Request) -> io::Result<()> {
        let url = req.url().to_string();
        let (path, _) = split_url(&url);
        match path {
            "/v1/chat/completions" => stream::serve_chat(self, req),
            "/v1/description" => self.describe(req),
            "/v1/load" => {
                let load = lock(&self.batch).reported_load(Instant::now());
                respond_json(req, 200, &load)
            }
            "/v1/leave" => {
                lock(&self.batch).leaving = true;
                self.describe(req)
            }
            "/v1/orders" => self.apply_order(req),
            "/counts" => {
                let counts = lock(&self.batch).counts.clone();
                respond_json(req, 200, &counts)
            }
            "/faults" => self.set_faults(req),
            _ => self.control(req, path),
        }
    }

    fn describe(&self, req: Request) -> io::Result<()> {
        let batch = lock(&self.batch);
        let description = Description {
            serves: batch.serves.clone(),
            slots: self.cfg.slots,
            pauses: self.cfg.pauses,
            checks_fence: self.cfg.checks_fence,
            incarnation: &self.incarnation,
            leaving: batch.leaving,
        };
        drop(batch);
        respond_json(req, 200, &description)
    }

    fn apply_order(&self, mut req: Request) -> io::Result<()> {
        let Some(order) = read_json::<Order>(&mut req)? else {
            return respond_json(req, 400, &Value::Null);
        };
        let mut batch = lock(&self.batch);
        if self.cfg.checks_fence && order.fence < batch.fence {
            let current = CurrentFence { fence: batch.fence };
            drop(batch);
            return respond_json(req, 409, &current);
        }
        batch.fence = batch.fence.max(order.fence);
        match order.action {
            Action::Load => batch.serves.insert(order.model),
            Action::Unload => batch.serves.remove(&order.model),
        };
        drop(batch);
        self.describe(req)
    }

    fn set_faults(&self, mut req: Request) -> io::Result<()> {
        let Some(faults) = read_json::<Faults>(&mut req)? else {
            return respond_json(req, 400, &Value::Null);
        };
        lock(&self.batch).set_faults(faults.clone());
        respond_json(req, 200, &faults)
    }

    fn control(&self, req: Request, path: &str) -> io::Result<()> {
        let target = path.strip_prefix("/v1/requests/").and_then(|path| path.split_once('/'));
        let Some((request, action)) = target else { return respond_json(req, 404, &Value::Null) };
        let (from, to): (&[Phase], Phase) = match action {
            "cancel" => (&[Phase::Waiting, Phase::Running, Phase::Paused], Phase::Cancelled),
            "pause" if self.cfg.pauses => (&[Phase::Waiting, Phase::Running], Phase::Paused),
            "resume" if self.cfg.pauses => (&[Phase::Paused], Phase::Waiting),
            "pause" | "resume" => return respond_json(req, 501, &Value::Null),
            _ => return respond_json(req, 404, &Value::Null),
        };
        let streams = lock(&self.batch).control(request, from, to);
        respond_json(req, 200, &ChangedStreams { streams })
    }
}

/// A header as a number, or the default if it is missing or malformed.
fn number_header<T: std::str::FromStr>(req: &Request, name: &'static str, default: T) -> T {
    header(req, name).parse().unwrap_or(default)
}
