use crate::attempt::Attempt;
use crate::tables::Job;
use errors::{Reason, Refusal};
use serde::Deserialize;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::time::Duration;
use utils::client;

/// The time after which an endpoint that sends nothing is given up.
const SILENCE_LIMIT: Duration = Duration::from_secs(5);

/// One event of an engine's stream.
#[derive(Debug, Deserialize)]
struct EngineEvent {
    request: String,
    attempt: u32,
    offset: usize,
    token: String,
}

/// Sends the request to an engine and reads the answer into the stream.
pub fn run_attempt(job: &Job, attempt: &Attempt, address: SocketAddr) -> Result<(), Refusal> {
    let url = format!("http://{address}/v1/chat/completions");
    let failed = |text: String| Refusal::may_have_run(Reason::EndpointFailed, text);
    let offset = job.stream.offset();
    let sent = client(attohttpc::post(&url), SILENCE_LIMIT)
        .header("content-type", "application/json")
        .header("x-request-id", &job.id)
        .header("x-attempt", attempt.attempt.to_string())
        .header("x-priority", job.arrival.tier.to_string())
        .header("x-offset", offset.to_string())
        .text(job.body.to_string())
        .send();
    let res = match sent {
        Ok(res) => res,
        Err(source) => {
            let e = utils::HttpError::Exchange { url, source };
            let refusal = failed(e.to_string());
            return Err(if e.is_unsent() { refusal_not_run(refusal) } else { refusal });
        }
    };
    if !res.is_success() {
        let refusal = failed(format!("{url}: status {}", res.status()));
        let not_started = res.headers().get("x-verdict").is_some_and(|v| v == "not_run");
        return Err(if not_started { refusal_not_run(refusal) } else { refusal });
    }
    for line in BufReader::new(res).lines() {
        let line = line.map_err(|e| failed(format!("{url}: {e}")))?;
        let Some(data) = line.strip_prefix("data: ") else { continue };
        if data == "[DONE]" {
            return Ok(());
        }
        let event: EngineEvent =
            serde_json::from_str(data).map_err(|e| failed(format!("{url}: {e}")))?;
        if event.request != job.id || event.attempt != attempt.attempt {
            log::warn!("request={} dropped an event of {}", job.id, event.request);
            continue;
        }
        job.stream.push(event.offset, event.token);
    }
    Err(failed(format!("{url}: the stream stopped before its end")))
}

fn refusal_not_run(refusal: Refusal) -> Refusal {
    Refusal { verdict: errors::Verdict::NotRun, ..refusal }
}
