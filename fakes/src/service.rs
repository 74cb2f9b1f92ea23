//! A stand-in for a plain service, which counts the runs of each call.

use crate::server::{delay, drop_connection, header, lock, read_json, respond_not_run, serve};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::collections::BTreeMap;
use std::io::{self, Write};
use std::net::SocketAddr;
use std::sync::Mutex;
use tiny_http::Request;
use utils::{random_id, respond_json};

/// The configuration of a plain service.
#[derive(Clone, Debug)]
pub struct ServiceConfig {
    /// The service name in its description.
    pub name: String,
    /// The duration of a call, in milliseconds.
    pub call_ms: u64,
    /// Whether a call runs only once per idempotency key.
    pub checks_key: bool,
}

impl Default for ServiceConfig {
    fn default() -> ServiceConfig {
        ServiceConfig { name: String::from("booking"), call_ms: 0, checks_key: false }
    }
}

/// The injected faults; a POST to `/faults` replaces them.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
struct Faults {
    /// Closes each connection before the call runs.
    down: bool,
    /// Rejects each call with the verdict `not_run`.
    refuse_not_started: bool,
    /// The delay before each call, in milliseconds.
    slow_ms: u64,
    /// The number of next calls that run but get no response.
    lose_answers: u64,
    /// The number of next calls that run but get half of a response, shorter than its stated length.
    cut_answers: u64,
}

#[derive(Serialize)]
struct Description<'a> {
    serves: [&'a str; 1],
    slots: u32,
    pauses: bool,
    checks_fence: bool,
    checks_key: bool,
    incarnation: &'a str,
    leaving: bool,
}

#[derive(Serialize)]
struct Receipt<'a> {
    ran: &'a str,
    run: u64,
}

#[derive(Debug, Default)]
struct State {
    runs: BTreeMap<String, u64>,
    faults: Faults,
    leaving: bool,
}

struct Service {
    cfg: ServiceConfig,
    incarnation: String,
    state: Mutex<State>,
}

/// The number of slots in the description.
const SLOTS: u32 = 64;

/// Serves calls until the process ends, and counts the runs per idempotency key.
pub fn run_service(address: SocketAddr, cfg: ServiceConfig) -> io::Result<()> {
    let incarnation = format!("{:032x}", random_id());
    let service = Service { cfg, incarnation, state: Mutex::default() };
    serve(address, move |req| service.serve(req))
}

impl Service {
    fn serve(&self, mut req: Request) -> io::Result<()> {
        match req.url() {
            "/call" => self.call(req),
            "/counts" => {
                let runs = lock(&self.state).runs.clone();
                respond_json(req, 200, &runs)
            }
            "/v1/description" => self.describe(req),
            "/v1/leave" => {
                lock(&self.state).leaving = true;
                self.describe(req)
            }
            "/faults" => {
                let Some(faults) = read_json::<Faults>(&mut req)? else {
                    return respond_json(req, 400, &Value::Null);
                };
                lock(&self.state).faults = faults.clone();
                respond_json(req, 200, &faults)
            }
            _ => respond_json(req, 404, &Value::Null),
        }
    }

    fn describe(&self, req: Request) -> io::Result<()> {
        let description = Description {
            serves: [&self.cfg.name],
            slots: SLOTS,
            pauses: false,
            checks_fence: false,
            checks_key: self.cfg.checks_key,
            incarnation: &self.incarnation,
            leaving: lock(&self.state).leaving,
        };
        respond_json(req, 200, &description)
    }

    fn call(&self, req: Request) -> io::Result<()> {
        let key = header(&req, "idempotency-key");
        let faults = lock(&self.state).faults.clone();
        delay(self.cfg.call_ms + faults.slow_ms);
        if faults.down {
            drop_connection(req);
            return Ok(());
        }
        let mut state = lock(&self.state);
        if state.leaving || faults.refuse_not_started {
            drop(state);
            return respond_not_run(req, "the call was not started");
        }
        let runs = state.runs.entry(key.clone()).or_default();
        if *runs == 0 || !self.cfg.checks_key {
            *runs += 1;
        }
        let run = *runs;
        let is_response_lost = state.faults.lose_answers > 0;
        if is_response_lost {
            state.faults.lose_answers -= 1;
        }
        let is_response_cut = state.faults.cut_answers > 0;
        if is_response_cut {
            state.faults.cut_answers -= 1;
        }
        drop(state);
        if is_response_lost {
            drop_connection(req);
            return Ok(());
        }
        let receipt = Receipt { ran: &key, run };
        if is_response_cut {
            return respond_with_half(req, &serde_json::to_string(&receipt)?);
        }
        respond_json(req, 200, &receipt)
    }
}

/// Sends the first half of a response and closes the connection.
fn respond_with_half(req: Request, body: &str) -> io::Result<()> {
    let mut writer = req.into_writer();
    write!(writer, "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n", body.len())?;
    write!(writer, "Connection: close\r\n\r\n{}", &body[..body.len() / 2])?;
    writer.flush()
}
