use serde_json::json;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use utils::{listen, respond_json};

/// Settings of a plain service.
#[derive(Clone, Debug)]
pub struct ServiceConfig {
    /// The name of the service.
    pub name: String,
}

/// Serves calls and counts how often each ran.
pub fn run_service(address: SocketAddr, cfg: ServiceConfig) -> io::Result<()> {
    let server = listen(address, None)?;
    println!("listening {}", server.server_addr());
    let mut runs: BTreeMap<String, u64> = BTreeMap::new();
    for req in server.incoming_requests() {
        if req.url() == "/v1/description" {
            respond_json(req, 200, &json!({"serves": [cfg.name], "slots": 64}))?;
            continue;
        }
        if req.url() == "/counts" {
            respond_json(req, 200, &runs)?;
            continue;
        }
        let key = req.headers().iter().find(|h| h.field.equiv("idempotency-key"));
        let key = key.map(|h| h.value.as_str().to_string()).unwrap_or_default();
        *runs.entry(key.clone()).or_default() += 1;
        respond_json(req, 200, &json!({"ran": key}))?;
    }
    Ok(())
}
