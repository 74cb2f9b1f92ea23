use super::batch::Phase;
use super::cache::prompt_tokens;
use super::{Engine, number_header};
use crate::completion::{completion_length, token_text};
use crate::server::{header, lock, read_json, respond_not_run};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use std::io;
use std::process;
use std::time::{Duration, Instant};
use tiny_http::Request;
use utils::{ChunkWriter, respond_json};

/// The interval of the comments on a stream that waits or is paused.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);

/// The exit status of the fault `crash_after_tokens`.
const CRASH_EXIT_STATUS: i32 = 101;

#[derive(Debug, Deserialize)]
struct ChatBody {
    #[serde(default)]
    model: String,
    messages: Vec<ChatMessage>,
    max_tokens: Option<u64>,
}

#[derive(Debug, Deserialize)]
struct ChatMessage {
    content: String,
}

#[derive(Serialize)]
struct Event<'a> {
    request: &'a str,
    attempt: u32,
    offset: u64,
    token: &'a str,
}

/// An attempt of a request, from its headers and body.
struct Attempt {
    request: String,
    attempt: u32,
    priority: u8,
    offset: u64,
    traceparent: String,
    model: String,
    prompt: String,
    length_tokens: u64,
}

/// The result of waiting for a stream to run.
enum RunResult {
    /// It has run for the requested time.
    Completed,
    /// It has waited or been paused for `HEARTBEAT_INTERVAL`.
    Suspended,
    /// It was cancelled.
    Cancelled,
}

/// Queues a chat request and streams its completion.
pub(super) fn serve_chat(engine: &Engine, mut req: Request) -> io::Result<()> {
    let Some(body) = read_json::<ChatBody>(&mut req)? else {
        return respond_json(req, 400, &Value::Null);
    };
    let attempt = Attempt::new(&req, body);
    let mut batch = lock(&engine.batch);
    let model = &attempt.model;
    let is_loaded =
        if model.is_empty() { !batch.serves.is_empty() } else { batch.serves.contains(model) };
    if !is_loaded {
        drop(batch);
        return respond_not_run(req, "the model is not loaded");
    }
    let queued = batch.enqueue(&attempt.request, attempt.priority);
    drop(batch);
    let id = match queued {
        Ok(id) => id,
        Err(cause) => return respond_not_run(req, cause),
    };
    let result = engine.stream_completion(req, &attempt, id);
    lock(&engine.batch).remove(id);
    result
}

impl Attempt {
    fn new(req: &Request, body: ChatBody) -> Attempt {
        let request = header(req, "x-request-id");
        let length_tokens = completion_length(&request, body.max_tokens.unwrap_or(u64::MAX));
        let contents: Vec<String> = body.messages.into_iter().map(|m| m.content).collect();
        Attempt {
            attempt: number_header(req, "x-attempt", 1),
            priority: number_header(req, "x-priority", u8::MAX),
            offset: number_header(req, "x-offset", 0),
            traceparent: header(req, "traceparent"),
            model: body.model,
            prompt: contents.join("\n"),
            length_tokens,
            request,
        }
    }

    fn event(&self, offset: u64) -> String {
        event_text(&self.request, self.attempt, offset, &token_text(&self.request, offset))
    }

    /// The event with the finish reason and the number of tokens, and the end-of-stream marker.
    fn final_events(&self) -> String {
        let end = json!({
            "request": self.request, "attempt": self.attempt, "offset": self.length_tokens,
            "finish_reason": "stop",
        });
        format!("data: {end}\n\ndata: [DONE]\n\n")
    }

    /// Events of another request, another attempt and another offset.
    fn foreign_events(&self, offset: u64) -> String {
        let other = format!("{}-other", self.request);
        let other_request = event_text(&other, self.attempt, offset, "crossed ");
        let other_attempt = event_text(&self.request, self.attempt + 1, offset, "crossed ");
        let other_offset = event_text(&self.request, self.attempt, offset + 1, "crossed ");
        other_request + &other_attempt + &other_offset
    }
}

fn event_text(request: &str, attempt: u32, offset: u64, token: &str) -> String {
    let event = Event { request, attempt, offset, token };
    format!("data: {}\n\n", serde_json::to_string(&event).unwrap_or_default())
}

impl Engine {
    fn stream_completion(&self, req: Request, attempt: &Attempt, id: u64) -> io::Result<()> {
        if !self.wait_for_slot(id) {
            return respond_not_run(req, "the request was cancelled before it started");
        }
        self.count_run(attempt);
        let headers = [("Content-Type", "text/event-stream")];
        let mut writer = ChunkWriter::start(req, "200 OK", &headers)?;
        if !self.run_for(&mut writer, id, self.prefill_time(attempt))? {
            return Ok(());
        }
        let short = lock(&self.batch).faults.short;
        let remaining_tokens = attempt.length_tokens.saturating_sub(attempt.offset);
        let end = if short { attempt.offset + remaining_tokens / 2 } else { attempt.length_tokens };
        for offset in attempt.offset..end {
            if !self.run_for(&mut writer, id, self.token_time())? {
                return Ok(());
            }
            self.send_token(&mut writer, attempt, id, offset)?;
        }
        if self.is_silent(id) {
            self.hold_until_cancelled(id);
            return Ok(());
        }
        if !short {
            writer.send(attempt.final_events().as_bytes())?;
        }
        writer.close()
    }

    fn send_token(
        &self,
        writer: &mut ChunkWriter,
        attempt: &Attempt,
        id: u64,
        offset: u64,
    ) -> io::Result<()> {
        let mut batch = lock(&self.batch);
        let crashes = batch.count_token(&attempt.request);
        let crossed = batch.faults.cross_events;
        drop(batch);
        if crashes {
            process::exit(CRASH_EXIT_STATUS);
        }
        if self.is_silent(id) {
            return Ok(());
        }
        let mut text = if crossed { attempt.foreign_events(offset) } else { String::new() };
        text.push_str(&attempt.event(offset));
        writer.send(text.as_bytes())
    }

    fn count_run(&self, attempt: &Attempt) {
        let mut batch = lock(&self.batch);
        let count = batch.counts.entry(attempt.request.clone()).or_default();
        count.runs += 1;
        count.priority = attempt.priority;
        count.offset = attempt.offset;
        count.traceparent.clone_from(&attempt.traceparent);
    }

    fn prefill_time(&self, attempt: &Attempt) -> Duration {
        let mut batch = lock(&self.batch);
        let cached = batch.cache.lookup_and_insert(&attempt.prompt);
        batch.counts.entry(attempt.request.clone()).or_default().cached = cached;
        let tokens = prompt_tokens(&attempt.prompt) - cached;
        let time = Duration::from_micros(tokens * self.cfg.prefill_us);
        time.mul_f64(batch.faults.slow_factor)
    }

    fn token_time(&self) -> Duration {
        let batch = lock(&self.batch);
        let others = u64::from(batch.running().saturating_sub(1));
        let percent = 100 + self.cfg.batch_percent * others;
        let time = Duration::from_micros(self.cfg.token_ms * 10 * percent);
        time.mul_f64(batch.faults.slow_factor)
    }

    /// Waits until the stream has a slot; false if it is cancelled first.
    fn wait_for_slot(&self, id: u64) -> bool {
        loop {
            match self.run_or_suspend(id, Duration::ZERO) {
                RunResult::Completed => return true,
                RunResult::Suspended => {}
                RunResult::Cancelled => return false,
            }
        }
    }

    /// Waits until the stream has run for `time`, with heartbeats while it is suspended; false if it
    /// is cancelled first.
    fn run_for(&self, writer: &mut ChunkWriter, id: u64, time: Duration) -> io::Result<bool> {
        loop {
            match self.run_or_suspend(id, time) {
                RunResult::Completed => return Ok(true),
                RunResult::Suspended if self.is_silent(id) => {}
                RunResult::Suspended => writer.send(b": held\n\n")?,
                RunResult::Cancelled => return Ok(false),
            }
        }
    }

    fn run_or_suspend(&self, id: u64, time: Duration) -> RunResult {
        let started = Instant::now();
        let due = started + time;
        let mut batch = lock(&self.batch);
        loop {
            let Some(entry) = batch.streams.get(&id) else { return RunResult::Cancelled };
            let now = Instant::now();
            let runs = entry.phase == Phase::Running && !batch.faults.stall;
            let suspended = matches!(entry.phase, Phase::Waiting | Phase::Paused);
            if entry.phase == Phase::Cancelled {
                return RunResult::Cancelled;
            }
            if runs && now >= due {
                return RunResult::Completed;
            }
            if suspended && now >= started + HEARTBEAT_INTERVAL {
                return RunResult::Suspended;
            }
            let until = if runs { due } else { now + HEARTBEAT_INTERVAL };
            let changed = entry.changed.clone();
            let waited = changed.wait_timeout(batch, until.saturating_duration_since(now));
            batch = waited.unwrap_or_else(|e| e.into_inner()).0;
        }
    }

    fn is_silent(&self, id: u64) -> bool {
        lock(&self.batch).streams.get(&id).is_some_and(|entry| entry.silent)
    }

    /// Frees the slot and keeps the connection open until the request is cancelled.
    fn hold_until_cancelled(&self, id: u64) {
        lock(&self.batch).set_phase(id, Phase::Paused);
        while !matches!(self.run_or_suspend(id, Duration::ZERO), RunResult::Cancelled) {}
    }
}
