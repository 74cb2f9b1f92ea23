use super::batch::Phase;
use super::cache::prompt_tokens;
use super::{Engine, number};
use crate::answer::{completion_length, token_text};
use crate::server::{header, lock, read_json, refuse_not_run};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use std::io;
use std::process;
use std::time::{Duration, Instant};
use tiny_http::Request;
use utils::{ChunkWriter, respond_json};

/// The time after which a stream that is held sends a comment.
const HEARTBEAT: Duration = Duration::from_secs(1);

/// The exit status of an engine that crashes.
const CRASH_STATUS: i32 = 101;

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

/// One attempt, as its headers and its body ask for it.
struct Attempt {
    request: String,
    attempt: u32,
    priority: u8,
    offset: u64,
    traceparent: String,
    model: String,
    prompt: String,
    length: u64,
}

/// What a stream does next.
enum Step {
    /// It has run for the time asked for.
    Ran,
    /// It is held and keeps its connection alive.
    Held,
    /// It was cancelled.
    Cancelled,
}

/// Serves a chat completion from the wait for a slot to the last token.
pub(super) fn serve_chat(engine: &Engine, mut req: Request) -> io::Result<()> {
    let Some(body) = read_json::<ChatBody>(&mut req)? else {
        return respond_json(req, 400, &Value::Null);
    };
    let attempt = Attempt::new(&req, body);
    let mut batch = lock(&engine.batch);
    let model = &attempt.model;
    let fits =
        if model.is_empty() { !batch.serves.is_empty() } else { batch.serves.contains(model) };
    if !fits {
        drop(batch);
        return refuse_not_run(req, "the model is not loaded");
    }
    let entered = batch.enter(&attempt.request, attempt.priority);
    drop(batch);
    let number = match entered {
        Ok(number) => number,
        Err(cause) => return refuse_not_run(req, cause),
    };
    let result = engine.run(req, &attempt, number);
    lock(&engine.batch).leave(number);
    result
}

impl Attempt {
    fn new(req: &Request, body: ChatBody) -> Attempt {
        let request = header(req, "x-request-id");
        let length = completion_length(&request, body.max_tokens.unwrap_or(u64::MAX));
        let contents: Vec<String> = body.messages.into_iter().map(|m| m.content).collect();
        Attempt {
            attempt: number(req, "x-attempt", 1),
            priority: number(req, "x-priority", u8::MAX),
            offset: number(req, "x-offset", 0),
            traceparent: header(req, "traceparent"),
            model: body.model,
            prompt: contents.join("\n"),
            length,
            request,
        }
    }

    fn event(&self, offset: u64) -> String {
        event_text(&self.request, self.attempt, offset, &token_text(&self.request, offset))
    }

    /// Returns the event that tells the number of tokens, and the end of the stream.
    fn last_events(&self) -> String {
        let end = json!({
            "request": self.request, "attempt": self.attempt, "offset": self.length,
            "finish_reason": "stop",
        });
        format!("data: {end}\n\ndata: [DONE]\n\n")
    }

    /// Returns events that belong to another request, another attempt and another offset.
    fn crossed_events(&self, offset: u64) -> String {
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
    fn run(&self, req: Request, attempt: &Attempt, number: u64) -> io::Result<()> {
        if !self.wait_for_slot(number) {
            return refuse_not_run(req, "the request was cancelled before it started");
        }
        self.count_run(attempt);
        let headers = [("Content-Type", "text/event-stream")];
        let mut writer = ChunkWriter::start(req, "200 OK", &headers)?;
        if !self.wait_through(&mut writer, number, self.prefill(attempt))? {
            return Ok(());
        }
        let short = lock(&self.batch).faults.short;
        let left = attempt.length.saturating_sub(attempt.offset);
        let end = if short { attempt.offset + left / 2 } else { attempt.length };
        for offset in attempt.offset..end {
            if !self.wait_through(&mut writer, number, self.token_time())? {
                return Ok(());
            }
            self.send_token(&mut writer, attempt, number, offset)?;
        }
        if self.is_silent(number) {
            self.stay_silent(number);
            return Ok(());
        }
        if !short {
            writer.send(attempt.last_events().as_bytes())?;
        }
        writer.close()
    }

    fn send_token(
        &self,
        writer: &mut ChunkWriter,
        attempt: &Attempt,
        number: u64,
        offset: u64,
    ) -> io::Result<()> {
        let mut batch = lock(&self.batch);
        let crashes = batch.count_token(&attempt.request);
        let crossed = batch.faults.cross_events;
        drop(batch);
        if crashes {
            process::exit(CRASH_STATUS);
        }
        if self.is_silent(number) {
            return Ok(());
        }
        let mut text = if crossed { attempt.crossed_events(offset) } else { String::new() };
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

    fn prefill(&self, attempt: &Attempt) -> Duration {
        let mut batch = lock(&self.batch);
        let cached = batch.cache.read(&attempt.prompt);
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

    /// Waits until the stream has a slot; returns whether it got one.
    fn wait_for_slot(&self, number: u64) -> bool {
        loop {
            match self.step(number, Duration::ZERO) {
                Step::Ran => return true,
                Step::Held => {}
                Step::Cancelled => return false,
            }
        }
    }

    /// Waits until the stream has run for `time`; returns whether it goes on.
    fn wait_through(
        &self,
        writer: &mut ChunkWriter,
        number: u64,
        time: Duration,
    ) -> io::Result<bool> {
        loop {
            match self.step(number, time) {
                Step::Ran => return Ok(true),
                Step::Held if self.is_silent(number) => {}
                Step::Held => writer.send(b": held\n\n")?,
                Step::Cancelled => return Ok(false),
            }
        }
    }

    fn step(&self, number: u64, time: Duration) -> Step {
        let started = Instant::now();
        let due = started + time;
        let mut batch = lock(&self.batch);
        loop {
            let Some(entry) = batch.streams.get(&number) else { return Step::Cancelled };
            let now = Instant::now();
            let runs = entry.phase == Phase::Running && !batch.faults.stall;
            let held = matches!(entry.phase, Phase::Waiting | Phase::Paused);
            if entry.phase == Phase::Cancelled {
                return Step::Cancelled;
            }
            if runs && now >= due {
                return Step::Ran;
            }
            if held && now >= started + HEARTBEAT {
                return Step::Held;
            }
            let until = if runs { due } else { now + HEARTBEAT };
            let changed = entry.changed.clone();
            let waited = changed.wait_timeout(batch, until.saturating_duration_since(now));
            batch = waited.unwrap_or_else(|e| e.into_inner()).0;
        }
    }

    fn is_silent(&self, number: u64) -> bool {
        lock(&self.batch).streams.get(&number).is_some_and(|entry| entry.silent)
    }

    /// Frees the slot and holds the connection open until the request is cancelled.
    fn stay_silent(&self, number: u64) {
        lock(&self.batch).set_phase(number, Phase::Paused);
        while !matches!(self.step(number, Duration::ZERO), Step::Cancelled) {}
    }
}
