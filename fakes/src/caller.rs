use crate::completion_text;
use attohttpc::{RequestBuilder, Response};
use serde_json::{Value, json};
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use utils::prepare_request;

/// The read timeout of a connection.
const READ_TIMEOUT: Duration = Duration::from_secs(30);

/// An HTTP client of a daemon or, with an empty key, of an engine.
#[derive(Clone, Debug)]
pub struct Caller {
    /// The address of the daemon or engine.
    pub address: SocketAddr,
    /// The key of its client account.
    pub key: String,
    /// The request class of each request.
    pub class: String,
}

/// The response to a chat request, as far as it was received.
#[derive(Clone, Debug, Default)]
pub struct ChatResponse {
    /// The HTTP status, or 0 if there was no response.
    pub status: u16,
    /// The request id: the one from the response, else the one that was sent.
    pub request: String,
    /// The concatenated tokens.
    pub text: String,
    /// Whether the final `[DONE]` event was received.
    pub done: bool,
    /// The error object, if the response is a refusal or its stream ends with one.
    pub refusal: Option<Value>,
    /// The time from sending the request to the first token.
    pub first_token: Option<Duration>,
    /// The times between consecutive tokens.
    pub between_tokens: Vec<Duration>,
    /// The time from sending the request to the end of the response.
    pub finish: Duration,
}

/// The response to a call of a plain service.
#[derive(Clone, Debug, Default)]
pub struct CallResponse {
    /// The HTTP status, or 0 if there was no response.
    pub status: u16,
    /// The body, or null if it is not JSON.
    pub body: Value,
}

impl Caller {
    /// Requests a chat completion and reads the stream to its end.
    pub fn chat(&self, request: &str, prompt: &str, max_tokens: u64) -> ChatResponse {
        let body = json!({
            "messages": [{"role": "user", "content": prompt}],
            "stream": true, "max_tokens": max_tokens,
        });
        let started = Instant::now();
        let mut response = ChatResponse { request: request.to_string(), ..ChatResponse::default() };
        let req = self.request("/v1/chat/completions").header("x-request-id", request);
        if let Ok(res) = req.text(body.to_string()).send() {
            response.read(res, started);
        }
        response.finish = started.elapsed();
        response
    }

    /// Calls a plain service: attempt 1 under the idempotency key.
    pub fn call(&self, idempotency_key: &str, body: &Value) -> CallResponse {
        let req = self
            .request("/v1/call")
            .header("idempotency-key", idempotency_key)
            .header("idempotency-attempt", "1");
        let Ok(res) = req.text(body.to_string()).send() else { return CallResponse::default() };
        CallResponse { status: res.status().as_u16(), body: json_body(res) }
    }

    fn request(&self, path: &str) -> RequestBuilder {
        prepare_request(attohttpc::post(format!("http://{}{path}", self.address)), READ_TIMEOUT)
            .header("content-type", "application/json")
            .header("authorization", format!("Bearer {}", self.key))
            .header("x-request-class", &self.class)
    }
}

impl ChatResponse {
    /// Whether the response is complete and its text is the one expected for its request.
    pub fn is_complete(&self, max_tokens: u64) -> bool {
        self.done
            && self.refusal.is_none()
            && self.text == completion_text(&self.request, max_tokens)
    }

    /// Whether the response is, or ends with, a refusal that names a verdict and a reason, and its
    /// text is a prefix of the expected one. The verdict `not_run` requires an empty text.
    pub fn is_valid_refusal(&self, max_tokens: u64) -> bool {
        let has_verdict_and_reason = |refusal: &Value| {
            let verdict = refusal["verdict"].as_str();
            let known = matches!(verdict, Some("not_run" | "may_have_run" | "ran"));
            known && refusal["reason"].is_string()
        };
        let is_prefix = completion_text(&self.request, max_tokens).starts_with(&self.text);
        let consistent = self.text.is_empty() || self.verdict() != "not_run";
        !self.done
            && is_prefix
            && consistent
            && self.refusal.as_ref().is_some_and(has_verdict_and_reason)
    }

    /// The verdict of the refusal, or an empty string.
    pub fn verdict(&self) -> &str {
        self.refusal.as_ref().and_then(|r| r["verdict"].as_str()).unwrap_or_default()
    }

    fn read(&mut self, res: Response, started: Instant) {
        self.status = res.status().as_u16();
        if let Some(id) = res.headers().get("x-request-id").and_then(|v| v.to_str().ok()) {
            self.request = id.to_string();
        }
        if self.status != 200 {
            self.refusal = Some(json_body(res)["error"].clone());
            return;
        }
        let mut last_token = None;
        for line in BufReader::new(res).lines() {
            let Ok(line) = line else { return };
            match line.strip_prefix("data: ") {
                Some("[DONE]") => self.done = true,
                Some(data) => self.record_event(data, started, &mut last_token),
                None => {}
            }
        }
    }

    fn record_event(&mut self, data: &str, started: Instant, last_token: &mut Option<Instant>) {
        let event: Value = serde_json::from_str(data).unwrap_or_default();
        if event["error"].is_object() {
            self.refusal = Some(event["error"].clone());
            return;
        }
        let from_daemon = event["choices"][0]["delta"]["content"].as_str();
        let Some(token) = from_daemon.or(event["token"].as_str()) else { return };
        self.text.push_str(token);
        let now = Instant::now();
        match last_token.replace(now) {
            Some(previous) => self.between_tokens.push(now - previous),
            None => self.first_token = Some(now - started),
        }
    }
}

fn json_body(res: Response) -> Value {
    let text = res.text().unwrap_or_default();
    serde_json::from_str(&text).unwrap_or_default()
}
