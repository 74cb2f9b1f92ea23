//! An engine that sends scripted lines, to test malformed responses.

use fakes::Site;
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::thread;
use std::time::Duration;
use utils::{ChunkWriter, get_json, listen, post_json, respond_json};

const HTTP_TIMEOUT: Duration = Duration::from_secs(5);

/// A thread that serves as an engine with one slot.
pub struct ScriptedEngine {
    address: SocketAddr,
}

impl ScriptedEngine {
    /// Starts an engine that responds with the lines that `script` returns for a request and attempt.
    pub fn start(script: fn(&str, u32) -> Vec<String>) -> ScriptedEngine {
        let server = listen("127.0.0.1:0".parse().unwrap(), None).unwrap();
        let address = server.server_addr().to_ip().unwrap();
        thread::spawn(move || {
            for mut req in server.incoming_requests() {
                let sent = match req.url() {
                    "/v1/description" => {
                        let body = json!({"serves": ["campo-8b"], "slots": 1, "incarnation": "1"});
                        respond_json(req, 200, &body)
                    }
                    "/v1/chat/completions" => {
                        // The response does not depend on the body.
                        let _ = req.as_reader().read_to_end(&mut Vec::new());
                        let header = |name: &'static str| {
                            let found = req.headers().iter().find(|h| h.field.equiv(name));
                            found.unwrap().value.to_string()
                        };
                        let attempt = header("x-attempt").parse().unwrap();
                        let lines = script(&header("x-request-id"), attempt);
                        ChunkWriter::start(req, "200 OK", &[]).and_then(|mut writer| {
                            for line in lines {
                                writer.send(format!("{line}\n\n").as_bytes())?;
                            }
                            writer.close()
                        })
                    }
                    _ => respond_json(req, 404, &Value::Null),
                };
                // A daemon may close the connection before the end.
                drop(sent);
            }
        });
        ScriptedEngine { address }
    }

    /// Adds the engine to the instance list of a site.
    pub fn add_to(&self, site: &Site) {
        let url = format!("http://{}/instances", site.instances.address);
        let mut list: Value = get_json(&url, HTTP_TIMEOUT).unwrap();
        list["instances"].as_array_mut().unwrap().push(json!({
            "name": "scripted", "kind": "engine", "address": self.address,
            "data_centre": "aburra-norte", "region": "valle-aburra", "state": "live",
        }));
        let _: Value = post_json(&url, &list, HTTP_TIMEOUT).unwrap();
    }
}

/// The line of one token event.
pub fn token_event(id: &str, attempt: u32, offset: u64, token: &str) -> String {
    let event = json!({"request": id, "attempt": attempt, "offset": offset, "token": token});
    format!("data: {event}")
}

/// The line of the last event, which follows `tokens` tokens.
pub fn finish_event(id: &str, attempt: u32, tokens: u64) -> String {
    let event =
        json!({"request": id, "attempt": attempt, "offset": tokens, "finish_reason": "stop"});
    format!("data: {event}")
}
