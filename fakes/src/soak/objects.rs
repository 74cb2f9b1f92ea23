use crate::clients::KEY;
use serde_json::{Value, json};
use std::net::SocketAddr;

/// A configuration with each kind of route, in the platform's format.
pub fn configuration(version: u64) -> Value {
    let route = |name: &str, kind: &str, resumable: bool| {
        json!({
            "name": name, "host": "model.example", "path_prefix": format!("/{name}/"),
            "kind": kind, "timeout_ms": 3000, "objective_ms": 1000, "priority": 1,
            "service": "pool", "attempts": 2, "anonymous": name == "open",
            "resumable": resumable,
        })
    };
    json!({
        "version": version,
        "routes": [
            route("once", "unsafe", false), route("safe", "safe", false),
            route("open", "safe", false), route("fixed", "stream", false),
            route("stream", "stream", true),
        ],
        "services": [{ "name": "pool", "connection_limit": 100 }],
        "limits": {
            "header_bytes": 16384, "body_bytes": 4096, "header_ms": 1000, "idle_ms": 5000,
        },
        "tenants": [{ "name": "north", "api_keys": [KEY] }],
    })
}

/// The registration of an endpoint, in the platform's format.
pub fn registration(address: SocketAddr, start: u64, heartbeats: u64) -> Value {
    json!({
        "service": "pool", "address": address.to_string(), "zone": "a", "version": "v1",
        "slots": 8, "state": "ready", "cold_remaining_ms": 0, "sequence": heartbeats,
        "born": start,
    })
}
