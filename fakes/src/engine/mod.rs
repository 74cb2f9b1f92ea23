//! A model engine: chat completions with streamed tokens, continuous batching and faults.

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

/// Settings of a model engine.
#[derive(Clone, Debug)]
pub struct EngineConfig {
    /// The model that it serves at first.
    pub model: String,
    /// The time between two tokens of a stream that runs alone, in milliseconds.
    pub token_ms: u64,
    /// What each further stream adds to the time between two tokens, in percent.
    pub batch_percent: u64,
    /// The time to read one token of a prompt that is not cached, in microseconds.
    pub prefill_us: u64,
    /// Streams that run at once.
    pub slots: u32,
    /// Requests that wait for a slot at most.
    pub queue: usize,
    /// Blocks of prompt tokens that the prefix cache holds.
    pub cache_blocks: usize,
    /// The time after which the load is reported.
    pub report_lag: Duration,
    /// Whether streams can be paused.
    pub pauses: bool,
    /// Whether orders with an older fencing number are refused.
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

/// The faults that the engine has from now on.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
struct Faults {
    /// Generates nothing.
    stall: bool,
    /// Ends the process after so many more tokens.
    crash_after_tokens: Option<u64>,
    /// Sends nothing more on the streams that are open now; later ones work.
    silent: bool,
    /// Multiplies each time.
    slow_factor: f64,
    /// Sends events of other requests and attempts before each token.
    cross_events: bool,
    /// Ends each answer halfway, without its last event.
    short: bool,
    /// Refuses each request and says that it was not started.
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

#[derive(Serialize)]
struct OlderFence {
    fence: u64,
}

#[derive(Serialize)]
struct Affected {
    streams: usize,
}

struct Engine {
    cfg: EngineConfig,
    incarnation: String,
    batch: Mutex<Batch>,
}

/// Serves chat completions with streamed tokens.
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
                let load = lock(&self.batch).report(Instant::now());
                respond_json(req, 200, &load)
            }
            "/v1/leave" => {
                lock(&self.batch).leaving = true;
                self.describe(req)
            }
            "/v1/orders" => self.order(req),
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

    fn order(&self, mut req: Request) -> io::Result<()> {
        let Some(order) = read_json::<Order>(&mut req)? else {
            return respond_json(req, 400, &Value::Null);
        };
        let mut batch = lock(&self.batch);
        if self.cfg.checks_fence && order.fence < batch.fence {
            let older = OlderFence { fence: batch.fence };
            drop(batch);
            return respond_json(req, 409, &older);
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
        let rest = path.strip_prefix("/v1/requests/").and_then(|rest| rest.split_once('/'));
        let Some((request, action)) = rest else { return respond_json(req, 404, &Value::Null) };
        let (from, to): (&[Phase], Phase) = match action {
            "cancel" => (&[Phase::Waiting, Phase::Running, Phase::Paused], Phase::Cancelled),
            "pause" if self.cfg.pauses => (&[Phase::Waiting, Phase::Running], Phase::Paused),
            "resume" if self.cfg.pauses => (&[Phase::Paused], Phase::Waiting),
            "pause" | "resume" => return respond_json(req, 501, &Value::Null),
            _ => return respond_json(req, 404, &Value::Null),
        };
        let streams = lock(&self.batch).control(request, from, to);
        respond_json(req, 200, &Affected { streams })
    }
}

/// Returns a number from a header.
fn number<T: std::str::FromStr>(req: &Request, name: &'static str, otherwise: T) -> T {
    header(req, name).parse().unwrap_or(otherwise)
}
