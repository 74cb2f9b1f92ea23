use serde::Serialize;
use serde_json::Value;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Mutex;
use tiny_http::{Method, Request};
use utils::{body_text, listen, respond_json};

const VALUE_LIMIT: u64 = 1 << 20;

#[derive(Clone, Debug, Serialize)]
struct Object {
    version: u64,
    value: Value,
}

#[derive(Debug, Default)]
struct State {
    version: u64,
    objects: BTreeMap<String, Object>,
}

/// Serves versioned objects with conditional updates.
pub fn run_object_api(address: SocketAddr) -> io::Result<()> {
    let server = listen(address, None)?;
    println!("listening {}", server.server_addr());
    let state = Mutex::new(State::default());
    for req in server.incoming_requests() {
        serve(&state, req)?;
    }
    Ok(())
}

fn serve(state: &Mutex<State>, mut req: Request) -> io::Result<()> {
    let url = req.url().to_string();
    let (path, query) = url.split_once('?').unwrap_or((&url, ""));
    let body = body_text(&mut req, VALUE_LIMIT)?.unwrap_or_default();
    let mut state = state.lock().unwrap_or_else(|e| e.into_inner());
    let current = state.objects.get(path).cloned();
    if *req.method() == Method::Get {
        return match current {
            Some(object) => respond_json(req, 200, &object),
            None => respond_json(req, 404, &Value::Null),
        };
    }
    let expected = query.strip_prefix("if_version=").and_then(|v| v.parse().ok());
    let version = current.as_ref().map_or(0, |o| o.version);
    if expected.is_some_and(|e: u64| e != version) {
        return respond_json(req, 409, &current);
    }
    let Ok(value) = serde_json::from_str(&body) else {
        return respond_json(req, 400, &Value::Null);
    };
    state.version += 1;
    let object = Object { version: state.version, value };
    state.objects.insert(path.to_string(), object.clone());
    respond_json(req, 200, &object)
}
