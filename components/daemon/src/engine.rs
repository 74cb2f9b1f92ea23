use crate::attempt::{Attempt, Target};
use crate::backpressure::{is_reader_behind, wait_for_reader};
use crate::endpoints::address_of;
use crate::executor::{Executor, execute_effects};
use crate::job::Job;
use crate::stream_orders::{Order, OrderKind, send_order};
use crate::tables::lock;
use errors::{Reason, Refusal, Verdict};
use serde::Deserialize;
use serde_json::{Value, json};
use std::io::{self, BufRead, BufReader, Read};
use std::time::Duration;
use utils::{HttpError, prepare_request};

/// Lines of an engine's stream must be shorter than this, line break included.
const LINE_LIMIT_BYTES: u64 = 1 << 20;

/// The payload of one event of an engine's stream.
#[derive(Debug, Deserialize)]
struct EngineEvent {
    request: String,
    attempt: u32,
    offset: usize,
    #[serde(default)]
    token: String,
    /// Set in the last event only, whose offset is the total number of tokens.
    #[serde(default)]
    finish_reason: Option<String>,
}

/// Sends the request to an engine and reads the response into the stream of the job.
pub fn run_on_endpoint(
    executor: &Executor,
    job: &Job,
    attempt: &Attempt,
    endpoint: &str,
    span: u64,
) -> Result<(), Refusal> {
    let Some(address) = address_of(executor, endpoint) else {
        return Err(Refusal::not_run(Reason::NoEndpoint, format!("{endpoint} has no address")));
    };
    let url = format!("http://{address}/v1/chat/completions");
    let res = send(executor, job, attempt, &url, span)?;
    let reader = EngineReader { executor, job, attempt, url: &url };
    reader.read(BufReader::new(res))
}

fn send(
    executor: &Executor,
    job: &Job,
    attempt: &Attempt,
    url: &str,
    span: u64,
) -> Result<attohttpc::Response, Refusal> {
    let silence_limit = Duration::from_millis(executor.tables.cfg.silence_limit_ms);
    let sent = prepare_request(attohttpc::post(url), silence_limit)
        .header("content-type", "application/json")
        .header("x-request-id", &job.id)
        .header("x-attempt", attempt.attempt.to_string())
        .header("x-priority", job.arrival.tier.to_string())
        .header("x-offset", job.stream.offset().to_string())
        .header("traceparent", job.trace.header(span))
        .text(engine_body(job).to_string())
        .send();
    let res = match sent {
        Ok(res) => res,
        Err(source) => {
            let e = HttpError::Exchange { url: url.to_string(), source };
            let verdict = if e.is_unsent() { Verdict::NotRun } else { Verdict::MayHaveRun };
            return Err(Refusal { verdict, ..failed(e.to_string()) });
        }
    };
    if res.is_success() {
        return Ok(res);
    }
    let not_run = res.headers().get("x-verdict").is_some_and(|v| v == "not_run");
    let verdict = if not_run { Verdict::NotRun } else { Verdict::MayHaveRun };
    Err(Refusal { verdict, ..failed(format!("{url}: status {}", res.status())) })
}

/// The body for the engine; if there is text already, it is included for the engine to continue.
fn engine_body(job: &Job) -> Value {
    let mut body = job.body.clone();
    body["stream"] = json!(true);
    let text = job.stream.text();
    if text.is_empty() {
        return body;
    }
    if let Some(messages) = body["messages"].as_array_mut() {
        messages.push(json!({"role": "assistant", "content": text}));
    }
    body["continue_final_message"] = json!(true);
    body["add_generation_prompt"] = json!(false);
    body
}

fn failed(text: String) -> Refusal {
    Refusal::may_have_run(Reason::EndpointFailed, text).retry_after(1_000)
}

/// Copies the tokens of an engine's stream into the stream of a job.
struct EngineReader<'a> {
    executor: &'a Executor,
    job: &'a Job,
    attempt: &'a Attempt,
    url: &'a str,
}

impl EngineReader<'_> {
    fn read<R: BufRead>(&self, mut lines: R) -> Result<(), Refusal> {
        while let Some(line) = read_line(&mut lines).map_err(|e| self.failed(&e.to_string()))? {
            let Some(data) = line.strip_prefix("data: ") else { continue };
            if data == "[DONE]" {
                break;
            }
            let event: EngineEvent =
                serde_json::from_str(data).map_err(|e| self.failed(&e.to_string()))?;
            if self.is_end(&event) {
                return self.check_end(&event);
            }
            self.append_token(&event);
            if !self.job.stream.is_live(self.attempt.attempt) {
                return Err(failed("the attempt was ended".to_string()));
            }
            self.apply_backpressure();
        }
        Err(self.failed("the stream stopped before its end"))
    }

    /// Whether the event belongs to this attempt at this request.
    fn is_own(&self, event: &EngineEvent) -> bool {
        event.request == self.job.id && event.attempt == self.attempt.attempt
    }

    fn is_end(&self, event: &EngineEvent) -> bool {
        self.is_own(event) && event.finish_reason.is_some()
    }

    /// Accepts the end of a response only if all of its tokens have arrived.
    fn check_end(&self, event: &EngineEvent) -> Result<(), Refusal> {
        let arrived = self.job.stream.offset();
        if event.offset == arrived {
            return Ok(());
        }
        Err(self.failed(&format!("{arrived} of {} tokens have arrived", event.offset)))
    }

    fn failed(&self, text: &str) -> Refusal {
        failed(format!("{}: {text}", self.url))
    }

    /// Appends a token; drops and counts an event that is not the next one of this attempt.
    fn append_token(&self, event: &EngineEvent) {
        let (job, attempt) = (self.job, self.attempt);
        if self.is_own(event) && job.stream.push(attempt.attempt, event.offset, &event.token) {
            self.count_token();
            return;
        }
        self.executor.tables.metrics.increment("dropped_events");
        log::warn!(
            "request={} attempt={} dropped an event of request={} attempt={} offset={}",
            job.id,
            attempt.attempt,
            event.request,
            event.attempt,
            event.offset
        );
    }

    fn count_token(&self) {
        let (tables, job) = (&self.executor.tables, self.job);
        job.counters.add_token(tables.now());
        let effects = lock(&tables.scheduler).progress(job.number, 1, tables.now());
        execute_effects(self.executor, effects);
    }

    /// Pauses the stream at the endpoint while the caller is too far behind.
    fn apply_backpressure(&self) {
        if !is_reader_behind(self.executor, self.job) {
            return;
        }
        self.order(OrderKind::Pause);
        wait_for_reader(self.executor, self.job, self.attempt.attempt);
        self.order(OrderKind::Resume);
    }

    fn order(&self, kind: OrderKind) {
        let target = Target::clone(&self.attempt.target);
        send_order(self.executor, &Order { id: self.job.id.clone(), kind, target });
    }
}

/// Reads a line without its line break; `None` at the end of the input. Lines of
/// `LINE_LIMIT_BYTES` or more are an error.
pub fn read_line<R: BufRead>(reader: &mut R) -> io::Result<Option<String>> {
    let mut line = String::new();
    if reader.by_ref().take(LINE_LIMIT_BYTES).read_line(&mut line)? == 0 {
        return Ok(None);
    }
    if line.len() as u64 == LINE_LIMIT_BYTES {
        return Err(io::Error::other(format!("a line of more than {LINE_LIMIT_BYTES} bytes")));
    }
    line.truncate(line.trim_end_matches(['\r', '\n']).len());
    Ok(Some(line))
}
