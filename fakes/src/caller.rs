use crate::completion_text;
use attohttpc::{RequestBuilder, Response};
use serde_json::{Value, json};
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use utils::prepare_request;

/// The time after which a caller gives up a connection that sends nothing.
const SILENCE_LIMIT: Duration = Duration::from_secs(30);

/// A caller of a daemon or, without a key, of an engine.
#[derive(Clone, Debug)]
pub struct Caller {
    /// The address that it calls.
    pub address: SocketAddr,
    /// The key of its client account.
    pub key: String,
    /// The request class.
    pub class: String,
}

/// What a caller got for one chat request.
#[derive(Clone, Debug, Default)]
pub struct ChatResponse {
    /// The HTTP status, or 0 without an answer.
    pub status: u16,
    /// The request's id.
    pub request: String,
    /// The text of all tokens.
    pub text: String,
    /// Whether the last event came.
    pub done: bool,
    /// The refusal, when the answer is one or ends with one.
    pub refusal: Option<Value>,
    /// The time from the call to the first token.
    pub first_token: Option<Duration>,
    /// The times between two tokens.
    pub between_tokens: Vec<Duration>,
    /// The time from the call to the end.
    pub finish: Duration,
}

/// What a caller got for one call of a plain service.
#[derive(Clone, Debug, Default)]
pub struct CallResponse {
    /// The HTTP status, or 0 without an answer.
    pub status: u16,
    /// The body, or null when it is not JSON.
    pub body: Value,
}

impl Caller {
    /// Asks for a chat completion and reads the stream to its end.
    pub fn chat(&self, request: &str, prompt: &str, max_tokens: u64) -> ChatResponse {
        let body = json!({
            "messages": [{"role": "user", "content": prompt}],
            "stream": true, "max_tokens": max_tokens,
        });
        let started = Instant::now();
        let mut answer = ChatResponse { request: request.to_string(), ..ChatResponse::default() };
        let req = self.request("/v1/chat/completions").header("x-request-id", request);
        if let Ok(res) = req.text(body.to_string()).send() {
            answer.read(res, started);
        }
        answer.finish = started.elapsed();
        answer
    }

    /// Calls a plain service for the first time under an idempotency key.
    pub fn call(&self, idempotency_key: &str, body: &Value) -> CallResponse {
        let req = self
            .request("/v1/call")
            .header("idempotency-key", idempotency_key)
            .header("idempotency-attempt", "1");
        let Ok(res) = req.text(body.to_string()).send() else { return CallResponse::default() };
        CallResponse { status: res.status().as_u16(), body: json_body(res) }
    }

    fn request(&self, path: &str) -> RequestBuilder {
        prepare_request(attohttpc::post(format!("http://{}{path}", self.address)), SILENCE_LIMIT)
            .header("content-type", "application/json")
            .header("authorization", format!("Bearer {}", self.key))
            .header("x-request-class", &self.class)
    }
}

impl ChatResponse {
    /// Returns whether the answer is whole and the caller's own.
    pub fn is_complete(&self, max_tokens: u64) -> bool {
        self.done
            && self.refusal.is_none()
            && self.text == completion_text(&self.request, max_tokens)
    }

    /// Returns whether the answer is, or ends with, a refusal that names verdict and reason, and
    /// whether all that came before it is the caller's own.
    pub fn is_valid_refusal(&self, max_tokens: u64) -> bool {
        let named = |refusal: &Value| {
            let verdict = refusal["verdict"].as_str();
            let known = matches!(verdict, Some("not_run" | "may_have_run" | "ran"));
            known && refusal["reason"].is_string()
        };
        let own = completion_text(&self.request, max_tokens).starts_with(&self.text);
        let consistent = self.text.is_empty() || self.verdict() != "not_run";
        !self.done && own && consistent && self.refusal.as_ref().is_some_and(named)
    }

    /// Returns the verdict of the refusal, or an empty text.
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
        let mut last = None;
        for line in BufReader::new(res).lines() {
            let Ok(line) = line else { return };
            match line.strip_prefix("data: ") {
                Some("[DONE]") => self.done = true,
                Some(data) => self.take(data, started, &mut last),
                None => {}
            }
        }
    }

    fn take(&mut self, data: &str, started: Instant, last: &mut Option<Instant>) {
        let event: Value = serde_json::from_str(data).unwrap_or_default();
        if event["error"].is_object() {
            self.refusal = Some(event["error"].clone());
            return;
        }
        let from_daemon = event["choices"][0]["delta"]["content"].as_str();
        let Some(token) = from_daemon.or(event["token"].as_str()) else { return };
        self.text.push_str(token);
        let now = Instant::now();
        match last.replace(now) {
            Some(before) => self.between_tokens.push(now - before),
            None => self.first_token = Some(now - started),
        }
    }
}

fn json_body(res: Response) -> Value {
    let text = res.text().unwrap_or_default();
    serde_json::from_str(&text).unwrap_or_default()
}
