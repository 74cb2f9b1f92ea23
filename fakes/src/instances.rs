//! A stand-in for the platform's instance list, in which changes become visible after a delay.

use crate::delayed::Delayed;
use crate::server::{delay, drop_connection, lock, read_json, serve};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::io;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::{Duration, Instant};
use tiny_http::{Method, Request};
use utils::respond_json;

/// The kind of process on an instance.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum InstanceKind {
    /// A daemon of the router.
    Daemon,
    /// A model engine.
    Engine,
    /// A plain service.
    Service,
}

/// The state of an instance.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum InstanceState {
    /// Accepts new requests.
    Live,
    /// Finishes running requests and accepts no new ones.
    Leaving,
}

/// An entry of the instance list.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Instance {
    /// Its name, unique in the list.
    pub name: String,
    /// The kind of its process.
    pub kind: InstanceKind,
    /// The address that it listens on.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: String,
    /// Its region; may be empty.
    #[serde(default)]
    pub region: String,
    /// Whether it accepts new requests.
    pub state: InstanceState,
}

/// The body of a GET or a POST of `/instances`.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct InstanceList {
    /// All live and leaving instances.
    pub instances: Vec<Instance>,
}

/// The configuration of the instance list.
#[derive(Clone, Copy, Debug, Default)]
pub struct InstancesConfig {
    /// The delay before a change becomes visible to readers.
    pub lag: Duration,
}

/// The injected faults; a POST to `/faults` replaces them.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
struct Faults {
    /// Closes each connection without a response.
    down: bool,
    /// The delay before each response, in milliseconds.
    slow_ms: u64,
}

struct State {
    list: Delayed<InstanceList>,
    faults: Faults,
}

/// Serves the instance list until the process ends; a POST replaces the list.
pub fn run_instances(address: SocketAddr, cfg: InstancesConfig) -> io::Result<()> {
    let state = State { list: Delayed::new(cfg.lag), faults: Faults::default() };
    let state = Mutex::new(state);
    serve(address, move |req| serve_instances(&state, req))
}

fn serve_instances(state: &Mutex<State>, mut req: Request) -> io::Result<()> {
    let is_post = *req.method() == Method::Post;
    if req.url() == "/faults" {
        let Some(faults) = read_json::<Faults>(&mut req)? else {
            return respond_json(req, 400, &Value::Null);
        };
        lock(state).faults = faults.clone();
        return respond_json(req, 200, &faults);
    }
    if is_post {
        let Some(list) = read_json::<InstanceList>(&mut req)? else {
            return respond_json(req, 400, &Value::Null);
        };
        lock(state).list.set(list.clone(), Instant::now());
        return respond_json(req, 200, &list);
    }
    let faults = lock(state).faults.clone();
    delay(faults.slow_ms);
    if faults.down {
        drop_connection(req);
        return Ok(());
    }
    let list = lock(state).list.get(Instant::now());
    respond_json(req, 200, &list)
}
