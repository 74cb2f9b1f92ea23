//! Objects in the platform's store that tests write.

use fakes::PlatformEndpoint;
use serde_json::{Value, json};

/// The key of the client account that the tests use.
pub const KEY: &str = "key-of-north";

/// A route to the service `pool` in the platform's format.
pub fn route(name: &str, kind: &str, attempts: u32, resumable: bool) -> Value {
    json!({
        "name": name, "host": "model.example", "path_prefix": format!("/{name}/"), "kind": kind,
        "timeout_ms": 4000, "objective_ms": 1000, "priority": 1, "service": "pool",
        "attempts": attempts, "anonymous": false, "resumable": resumable,
    })
}

/// A configuration with each kind of route, in the platform's format.
pub fn configuration(version: u64, keys: &[&str]) -> Value {
    let open = {
        let mut open = route("open", "safe", 2, false);
        open["anonymous"] = json!(true);
        open
    };
    json!({
        "version": version,
        "routes": [
            route("safe", "safe", 2, false), route("once", "unsafe", 2, false), open,
            route("stream", "stream", 2, true), route("fixed", "stream", 2, false),
        ],
        "services": [{ "name": "pool", "connection_limit": 100 }],
        "limits": {
            "header_bytes": 16384, "body_bytes": 1000, "header_ms": 1000, "idle_ms": 3000,
        },
        "tenants": [{ "name": "north", "api_keys": keys }],
    })
}

/// The registration of an endpoint, in the platform's format.
pub fn registration(runner: &PlatformEndpoint, state: &str, heartbeats: u64) -> Value {
    json!({
        "service": "pool", "address": runner.address.to_string(), "zone": "a",
        "version": runner.software_version(), "slots": 8, "state": state, "cold_remaining_ms": 0, "sequence": heartbeats, "born": 1,
    })
}
