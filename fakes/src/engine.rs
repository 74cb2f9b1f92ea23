use serde_json::{Value, json};
use std::io;
use std::net::SocketAddr;
use std::thread;
use std::time::Duration;
use tiny_http::Request;
use utils::{ChunkWriter, body_text, listen, respond_json};

/// Settings of a model engine.
#[derive(Clone, Debug)]
pub struct EngineConfig {
    /// The model that it serves.
    pub model: String,
    /// The time between two tokens of an idle engine, in milliseconds.
    pub token_ms: u64,
    /// Streams at once.
    pub slots: u32,
}

/// Serves chat completions with streamed tokens.
pub fn run_engine(address: SocketAddr, cfg: EngineConfig) -> io::Result<()> {
    let server = listen(address, None)?;
    println!("listening {}", server.server_addr());
    for req in server.incoming_requests() {
        let cfg = cfg.clone();
        thread::spawn(move || serve(&cfg, req));
    }
    Ok(())
}

fn serve(cfg: &EngineConfig, mut req: Request) -> io::Result<()> {
    if req.url() == "/v1/description" {
        let body = json!({"serves": [cfg.model], "slots": cfg.slots, "pauses": false});
        return respond_json(req, 200, &body);
    }
    let header = |name: &'static str| {
        let found = req.headers().iter().find(|h| h.field.equiv(name));
        found.map(|h| h.value.as_str().to_string()).unwrap_or_default()
    };
    let id = header("x-request-id");
    let attempt: u32 = header("x-attempt").parse().unwrap_or(1);
    let start: u64 = header("x-offset").parse().unwrap_or(0);
    let body = body_text(&mut req, 1 << 20)?.unwrap_or_default();
    let body: Value = serde_json::from_str(&body).unwrap_or(Value::Null);
    let count = body["max_tokens"].as_u64().unwrap_or(16);
    let mut writer = ChunkWriter::start(req, "200 OK", &[("Content-Type", "text/event-stream")])?;
    for offset in start..count {
        thread::sleep(Duration::from_millis(cfg.token_ms));
        let event = json!({
            "request": id, "attempt": attempt, "offset": offset, "token": format!("t{offset} "),
        });
        writer.send(format!("data: {event}\n\n").as_bytes())?;
    }
    writer.send(b"data: [DONE]\n\n")?;
    writer.close()
}
