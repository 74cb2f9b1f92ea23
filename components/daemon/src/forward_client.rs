use crate::attempt::Attempt;
use crate::auth::{MAC_HEADER, mac_hex};
use crate::backpressure::{is_reader_behind, wait_for_reader};
use crate::executor::{Executor, execute_effects};
use crate::forward_server::FORWARD_PATH;
use crate::frame::read_frame;
use crate::job::Job;
use crate::peer::{Peer, peer_in};
use crate::stream::StreamEnd;
use crate::tables::lock;
use errors::{Reason, Refusal, Verdict};
use messages::forward::ForwardRequest;
use std::io::Read;
use std::time::Duration;
use utils::{HttpError, prepare_request};

/// Forwards the request to a daemon of `data_centre` and reads the response into the stream of the
/// job.
pub fn run_on_peer(
    executor: &Executor,
    job: &Job,
    attempt: &Attempt,
    data_centre: &str,
    span: u64,
) -> Result<(), Refusal> {
    // Each attempt chooses another daemon, since the previous one may be gone.
    let seed = job.number as usize + attempt.attempt as usize;
    let Some(peer) = peer_in(executor, data_centre, seed) else {
        let text = format!("no daemon of {data_centre} is known");
        return Err(Refusal::not_run(Reason::NoEndpoint, text).retry_after(1_000));
    };
    let crosses_regions = peer.region != executor.tables.cfg.region;
    let mut res = send(executor, job, &peer, span, crosses_regions)?;
    loop {
        let (chunk, bytes) =
            read_frame(&mut res).map_err(|e| peer_failed(&peer, &e.to_string()))?;
        if crosses_regions {
            job.counters.add_link_bytes(bytes);
        }
        for token in &chunk.tokens {
            job.stream.push(attempt.attempt, job.stream.offset(), token);
            job.counters.add_token(executor.tables.now());
        }
        let arrived = chunk.tokens.len() as u32;
        if arrived > 0 {
            let now = executor.tables.now();
            let effects = lock(&executor.tables.scheduler).progress(job.number, arrived, now);
            execute_effects(executor, effects);
        }
        if !job.stream.is_live(attempt.attempt) {
            return Err(peer_failed(&peer, "the attempt was ended"));
        }
        match chunk.end {
            Some(StreamEnd::Complete) => return Ok(()),
            Some(StreamEnd::Refused(refusal)) => return Err(refusal),
            // The other daemon pauses the stream at the endpoint when this one stops reading.
            None if is_reader_behind(executor, job) => {
                wait_for_reader(executor, job, attempt.attempt)
            }
            None => {}
        }
    }
}

fn send(
    executor: &Executor,
    job: &Job,
    peer: &Peer,
    span: u64,
    crosses_regions: bool,
) -> Result<impl Read, Refusal> {
    let cfg = &executor.tables.cfg;
    let forwarded = ForwardRequest {
        id: job.id.clone(),
        account: job.arrival.account.clone(),
        class: job.arrival.class.clone(),
        body: job.body.to_string(),
        offset: job.stream.offset() as u64,
        text: job.stream.text(),
        region: cfg.region.clone(),
        revision: executor.tables.active_lists().revision,
        traceparent: job.trace.header(span),
    };
    let body = rmp_serde::to_vec(&forwarded)
        .map_err(|e| Refusal::not_run(Reason::MalformedRequest, format!("{}: {e}", peer.name)))?;
    if crosses_regions {
        job.counters.add_link_bytes(body.len() as u64);
    }
    let url = format!("http://{}{FORWARD_PATH}", peer.address);
    let sent = prepare_request(attohttpc::post(&url), Duration::from_millis(cfg.silence_limit_ms))
        .header(MAC_HEADER, mac_hex(cfg.peer_key.reveal(), FORWARD_PATH, &body))
        .bytes(body)
        .send();
    let res = match sent {
        Ok(res) => res,
        Err(source) => {
            let e = HttpError::Exchange { url, source };
            let verdict = if e.is_unsent() { Verdict::NotRun } else { Verdict::MayHaveRun };
            return Err(Refusal { verdict, ..peer_failed(peer, &e.to_string()) });
        }
    };
    if res.is_success() {
        return Ok(res);
    }
    let not_run = res.headers().get("x-verdict").is_some_and(|v| v == "not_run");
    let verdict = if not_run { Verdict::NotRun } else { Verdict::MayHaveRun };
    Err(Refusal { verdict, ..peer_failed(peer, &format!("status {}", res.status())) })
}

fn peer_failed(peer: &Peer, text: &str) -> Refusal {
    let text = format!("{} in {}: {text}", peer.name, peer.data_centre);
    Refusal::may_have_run(Reason::EndpointFailed, text).retry_after(1_000)
}
