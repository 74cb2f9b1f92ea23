//! The instance list: the platform's list of live and leaving instances, which lags.

use crate::lagged::Lagged;
use crate::server::{be_slow, drop_connection, lock, read_json, serve};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::io;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::{Duration, Instant};
use tiny_http::{Method, Request};
use utils::respond_json;

/// What runs on an instance.
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
    /// Takes new work.
    Live,
    /// Finishes what it has.
    Leaving,
}

/// One instance of the list.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Instance {
    /// Its name.
    pub name: String,
    /// What runs on it.
    pub kind: InstanceKind,
    /// Its address.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: String,
    /// Its region.
    #[serde(default)]
    pub region: String,
    /// Its state.
    pub state: InstanceState,
}

/// The instance list.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct InstanceList {
    /// The instances.
    pub instances: Vec<Instance>,
}

/// Settings of the instance list.
#[derive(Clone, Copy, Debug, Default)]
pub struct InstancesConfig {
    /// The time after which readers see a change.
    pub lag: Duration,
}

/// The faults that the list has from now on.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
struct Faults {
    /// Drops each connection.
    down: bool,
    /// The delay before each answer, in milliseconds.
    slow_ms: u64,
}

struct State {
    list: Lagged<InstanceList>,
    faults: Faults,
}

/// Serves the list of instances; a POST replaces it.
pub fn run_instances(address: SocketAddr, cfg: InstancesConfig) -> io::Result<()> {
    let state = State { list: Lagged::new(cfg.lag), faults: Faults::default() };
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
    be_slow(faults.slow_ms);
    if faults.down {
        drop_connection(req);
        return Ok(());
    }
    let list = lock(state).list.get(Instant::now());
    respond_json(req, 200, &list)
}
