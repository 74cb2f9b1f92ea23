use crate::support::{KEY, Site, configuration};
use fakes::{Client, ScriptedEndpoint, Step};
use serde_json::json;
use std::io;

/// Maximum request body of the site.
const MAX_BODY_BYTES: usize = 16_000_000;
/// The head of a response to the last request, without its framing.
pub const SIGNED_HEAD: &str = "HTTP/1.1 200 OK\r\nX-Chervilspur-Attempt-Id: {id}\r\n\
                               X-Chervilspur-Server-Seal: {seal}\r\n";

/// A site whose only endpoints follow scripts.
pub struct ScriptedSite {
    pub site: Site,
    pub endpoints: Vec<ScriptedEndpoint>,
}

impl ScriptedSite {
    /// Starts a site of two endpoints with a time limit for all routes.
    pub fn start(time_limit_ms: u64) -> ScriptedSite {
        let site = Site::start();
        let mut limits = configuration(2, &[KEY]);
        limits["limits"]["body_bytes"] = json!(MAX_BODY_BYTES);
        for route in limits["routes"].as_array_mut().unwrap() {
            route["timeout_ms"] = json!(time_limit_ms);
        }
        site.store.put("config", "main", limits);
        site.gateway.wait_for_log(&["configuration_in_force", "\"version\":2"]).unwrap();
        let endpoints: Vec<_> =
            ["i-3", "i-4"].iter().map(|id| ScriptedEndpoint::start(id).unwrap()).collect();
        for endpoint in &endpoints {
            let entry = json!({
                "service": "pool", "address": endpoint.address.to_string(), "zone": "a",
                "version": "v1", "slots": 8, "state": "ready", "cold_remaining_ms": 0,
                "sequence": 1, "born": 1,
            });
            site.store.put("servers", &endpoint.id, entry);
            site.gateway.wait_for_log(&["endpoint_joined", &endpoint.id]).unwrap();
        }
        for id in ["i-1", "i-2"] {
            site.store.delete("servers", id);
            site.gateway.wait_for_log(&["endpoint_left", id]).unwrap();
        }
        ScriptedSite { site, endpoints }
    }

    /// Removes the second endpoint.
    pub fn keep_one(&mut self) {
        let endpoint = self.endpoints.pop().unwrap();
        self.site.store.delete("servers", &endpoint.id);
        self.site.gateway.wait_for_log(&["endpoint_left", &endpoint.id]).unwrap();
    }

    /// Changes the steps of all endpoints.
    pub fn set(&self, steps: &[Step]) {
        self.endpoints.iter().for_each(|endpoint| endpoint.set(steps));
    }

    /// How often endpoints received a request.
    pub fn sends(&self, id: &str) -> usize {
        let requests = self.endpoints.iter().flat_map(ScriptedEndpoint::requests);
        requests.filter(|request| request == id).count()
    }

    /// Opens a connection and sends the head of a request, with the lines that state its framing.
    pub fn send_head(&self, target: &str, id: &str, framing: &str) -> io::Result<Client> {
        let mut client = self.site.client();
        let head = format!(
            "POST {target} HTTP/1.1\r\nHost: model.example\r\nX-Chervilspur-Attempt-Id: {id}\r\n\
             X-Chervilspur-Deadline-Remaining: 30000\r\nApi-Key: {KEY}\r\n{framing}\r\n\r\n"
        );
        client.send(head.as_bytes())?;
        Ok(client)
    }

    /// Sends a request and returns the status, whether the response is complete, and its text.
    pub fn send(&self, target: &str, id: &str, body: &[u8]) -> (u16, bool, String) {
        let framing = format!("Content-Length: {}", body.len());
        let mut client = self.send_head(target, id, &framing).unwrap();
        client.send(body).unwrap();
        let response = client.read_response().unwrap();
        let text = String::from_utf8_lossy(&response.message.body).into_owned();
        (response.message.status(), response.is_complete, text)
    }
}

/// A response to the last request whose length is stated.
pub fn response(head: &str, body: &str) -> Step {
    Step::Write(format!("{head}Content-Length: {}\r\n\r\n{body}", body.len()))
}
