//! A stand-in for the object API: versioned objects, conditional updates, watches and injected
//! faults.

mod objects;

use crate::server::{
    BODY_LIMIT_BYTES, delay, drop_connection, lock, query_number, read_json, serve, split_url,
};
use objects::{Change, Conflict, Object, Objects};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant};
use tiny_http::{Method, Request};
use utils::{body_text, respond_json};

/// The configuration of the object API.
#[derive(Clone, Debug)]
pub struct ObjectApiConfig {
    /// The number of recent writes kept; a watch can start from any of them.
    pub history: usize,
}

impl Default for ObjectApiConfig {
    fn default() -> ObjectApiConfig {
        ObjectApiConfig { history: 4096 }
    }
}

/// The injected faults; a POST to `/faults` replaces them.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
struct Faults {
    /// Closes each connection; no write is applied.
    down: bool,
    /// Rejects each call with status 429; no write is applied.
    refuse: bool,
    /// The delay before each call, in milliseconds.
    slow_ms: u64,
    /// The number of next writes that are applied but get no response.
    lose_answers: u64,
    /// Closes the connection of each watch.
    drop_watches: bool,
}

#[derive(Debug, Deserialize)]
struct Restore {
    version: u64,
}

#[derive(Serialize)]
struct Listing {
    version: u64,
    objects: BTreeMap<String, Object>,
}

#[derive(Serialize)]
struct Changes {
    version: u64,
    changes: Vec<Change>,
}

#[derive(Serialize)]
struct Written<'a> {
    version: u64,
    value: Option<&'a Value>,
}

#[derive(Debug)]
struct State {
    objects: Objects,
    faults: Faults,
    calls: BTreeMap<&'static str, BTreeMap<String, u64>>,
}

#[derive(Debug)]
struct ObjectApi {
    state: Mutex<State>,
    changed: Condvar,
}

/// Serves versioned objects with conditional updates until the process ends.
pub fn run_object_api(address: SocketAddr, cfg: ObjectApiConfig) -> io::Result<()> {
    let objects = Objects::new(cfg.history);
    let state = State { objects, faults: Faults::default(), calls: BTreeMap::new() };
    let api = ObjectApi { state: Mutex::new(state), changed: Condvar::new() };
    serve(address, move |req| api.serve(req))
}

impl ObjectApi {
    fn serve(&self, mut req: Request) -> io::Result<()> {
        let url = req.url().to_string();
        let (path, query) = split_url(&url);
        match path {
            "/faults" => return self.set_faults(req),
            "/restore" => return self.restore(req),
            "/calls" => {
                let calls = lock(&self.state).calls.clone();
                return respond_json(req, 200, &calls);
            }
            _ => {}
        }
        let body = body_text(&mut req, BODY_LIMIT_BYTES)?;
        let faults = lock(&self.state).faults.clone();
        delay(faults.slow_ms);
        if faults.down {
            drop_connection(req);
            return Ok(());
        }
        let segments: Vec<&str> = path.trim_matches('/').split('/').collect();
        let watch = query_number(query, "watch");
        let method = req.method().clone();
        match (method, segments.as_slice(), body) {
            (_, ["objects", kind] | ["objects", kind, _], None) => {
                self.count("put", kind);
                respond_json(req, 413, &Value::Null)
            }
            (Method::Get, ["objects", kind], Some(_)) => match watch {
                Some(after) => self.watch(req, kind, after, query),
                None => self.list(req, kind),
            },
            (Method::Get, ["objects", kind, name], Some(_)) => self.get(req, kind, name),
            (Method::Put, ["objects", kind, name], Some(text)) => {
                self.count("put", kind);
                let Ok(value) = serde_json::from_str(&text) else {
                    return respond_json(req, 400, &Value::Null);
                };
                self.write(req, kind, name, Some(value), query)
            }
            (Method::Delete, ["objects", kind, name], Some(_)) => {
                self.count("delete", kind);
                self.write(req, kind, name, None, query)
            }
            _ => respond_json(req, 404, &Value::Null),
        }
    }

    fn count(&self, method: &'static str, kind: &str) {
        let mut state = lock(&self.state);
        let kinds = state.calls.entry(method).or_default();
        *kinds.entry(kind.to_string()).or_default() += 1;
    }

    fn get(&self, req: Request, kind: &str, name: &str) -> io::Result<()> {
        self.count("get", kind);
        let state = lock(&self.state);
        let object = state.objects.get(kind, name).cloned();
        let refuse = state.faults.refuse;
        drop(state);
        match object {
            _ if refuse => respond_json(req, 429, &Value::Null),
            Some(object) => respond_json(req, 200, &object),
            None => respond_json(req, 404, &Value::Null),
        }
    }

    fn list(&self, req: Request, kind: &str) -> io::Result<()> {
        self.count("list", kind);
        let state = lock(&self.state);
        let version = state.objects.version();
        let listing = Listing { version, objects: state.objects.list(kind) };
        let refuse = state.faults.refuse;
        drop(state);
        if refuse {
            return respond_json(req, 429, &Value::Null);
        }
        respond_json(req, 200, &listing)
    }

    fn write(
        &self,
        req: Request,
        kind: &str,
        name: &str,
        value: Option<Value>,
        query: &str,
    ) -> io::Result<()> {
        let expected = query_number(query, "if_version");
        let mut state = lock(&self.state);
        if state.faults.refuse {
            drop(state);
            return respond_json(req, 429, &Value::Null);
        }
        let written = state.objects.write(kind, name, value.clone(), expected);
        let is_response_lost = written.is_ok() && state.faults.lose_answers > 0;
        if is_response_lost {
            state.faults.lose_answers -= 1;
        }
        drop(state);
        self.changed.notify_all();
        if is_response_lost {
            drop_connection(req);
            return Ok(());
        }
        match written {
            Ok(version) => respond_json(req, 200, &Written { version, value: value.as_ref() }),
            Err(Conflict(current)) => respond_json(req, 409, &current),
        }
    }

    fn watch(&self, req: Request, kind: &str, after: u64, query: &str) -> io::Result<()> {
        self.count("watch", kind);
        let wait = Duration::from_millis(query_number(query, "timeout_ms").unwrap_or(0));
        let deadline = Instant::now() + wait;
        let mut state = lock(&self.state);
        loop {
            if state.faults.drop_watches || state.faults.down {
                drop(state);
                drop_connection(req);
                return Ok(());
            }
            if state.faults.refuse {
                drop(state);
                return respond_json(req, 429, &Value::Null);
            }
            let Ok(changes) = state.objects.changes(kind, after) else {
                drop(state);
                return respond_json(req, 410, &Value::Null);
            };
            let remaining = deadline.saturating_duration_since(Instant::now());
            if !changes.is_empty() || remaining.is_zero() {
                let changes = Changes { version: state.objects.version(), changes };
                drop(state);
                return respond_json(req, 200, &changes);
            }
            state = self.wait_for_change(state, remaining);
        }
    }

    fn wait_for_change<'a>(
        &self,
        state: MutexGuard<'a, State>,
        timeout: Duration,
    ) -> MutexGuard<'a, State> {
        let waited = self.changed.wait_timeout(state, timeout);
        waited.unwrap_or_else(|e| e.into_inner()).0
    }

    fn set_faults(&self, mut req: Request) -> io::Result<()> {
        let Some(faults) = read_json::<Faults>(&mut req)? else {
            return respond_json(req, 400, &Value::Null);
        };
        lock(&self.state).faults = faults.clone();
        self.changed.notify_all();
        respond_json(req, 200, &faults)
    }

    fn restore(&self, mut req: Request) -> io::Result<()> {
        let Some(Restore { version }) = read_json(&mut req)? else {
            return respond_json(req, 400, &Value::Null);
        };
        let restored = lock(&self.state).objects.restore(version);
        self.changed.notify_all();
        let status = if restored.is_ok() { 200 } else { 410 };
        respond_json(req, status, &Value::Null)
    }
}
