use crate::caller_request::{authenticate, header};
use crate::executor::{Executor, execute_effects, queue_order};
use crate::job::Job;
use crate::outcome::end_job;
use crate::refusal::respond_refusal;
use crate::sse::stream_response;
use crate::stream::StreamEnd;
use crate::stream_orders::OrderKind;
use crate::tables::{Tables, lock, lock_read};
use errors::{Reason, Refusal, Verdict};
use std::io::{self, Read};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tiny_http::Request;
use utils::{ChunkWriter, prepare_request, respond_json};

/// Bytes that are passed on at once from the daemon that holds a stream.
const RELAY_BUFFER: usize = 4096;

/// Serves `/v1/requests/{id}/stream?offset=N` and `/v1/requests/{id}/cancel`.
pub fn serve_request_path(executor: &Executor, req: Request, path: &str) -> io::Result<()> {
    let rest = path.strip_prefix("/v1/requests/").unwrap_or_default();
    let (id, action) = rest.split_once('/').unwrap_or((rest, ""));
    let id = id.to_string();
    match find(executor, &req, &id) {
        Ok(Holder::Here(job)) if action == "stream" => match offset_of(req.url(), &job) {
            Ok(offset) => stream_response(&executor.tables, req, &job, offset),
            Err(refusal) => respond_refusal(req, &id, &refusal),
        },
        Ok(Holder::Here(job)) if action == "cancel" => {
            cancel(executor, &job);
            respond_json(req, 200, &"cancelled")
        }
        Ok(Holder::Peer(address)) if header(&req, "x-relayed").is_none() => {
            relay(executor, req, &id, &format!("http://{address}"))
        }
        Ok(_) => {
            let text = format!("no path {path}");
            respond_refusal(req, &id, &Refusal::may_have_run(Reason::UnknownRequest, text))
        }
        Err(refusal) => respond_refusal(req, &id, &refusal),
    }
}

enum Holder {
    Here(Arc<Job>),
    Peer(std::net::SocketAddr),
}

/// Finds the daemon that holds the stream; the id starts with its identity.
fn find(executor: &Executor, req: &Request, id: &str) -> Result<Holder, Refusal> {
    let tables = &executor.tables;
    let active = tables.active_lists();
    // Who the caller is tells nothing of what became of the request.
    let account = authenticate(&active, req)
        .map_err(|refusal| Refusal { verdict: Verdict::MayHaveRun, ..refusal })?;
    let unknown = |text: &str| Refusal::may_have_run(Reason::UnknownRequest, text);
    let instance = id.split('-').next().and_then(|hex| u128::from_str_radix(hex, 16).ok());
    let Some(instance) = instance else {
        return Err(Refusal::not_run(Reason::UnknownRequest, format!("{id:?} is no request id")));
    };
    if instance != tables.instance {
        let peer = lock_read(&tables.peers).get(&instance).map(|p| p.address);
        return peer.map(Holder::Peer).ok_or_else(|| unknown("the daemon of the request is gone"));
    }
    let job = tables.job_by_id(id).filter(|job| job.arrival.account == account);
    job.map(Holder::Here).ok_or_else(|| unknown("the stream is no longer kept"))
}

/// Returns the offset that a caller asks for; it lies within the answer so far.
fn offset_of(url: &str, job: &Job) -> Result<usize, Refusal> {
    let query = url.split_once('?').map_or("", |(_, query)| query);
    let Some(text) = query.split('&').find_map(|pair| pair.strip_prefix("offset=")) else {
        return Ok(0);
    };
    let offset = text.parse().ok().filter(|offset| *offset <= job.stream.offset());
    offset.ok_or_else(|| {
        let text = format!("{text:?} is no offset within the answer");
        Refusal::may_have_run(Reason::MalformedRequest, text)
    })
}

/// Ends a request whose caller no longer wants it.
pub fn cancel(executor: &Executor, job: &Job) {
    let tables = &executor.tables;
    queue_order(executor, job.number, OrderKind::Cancel);
    let effects = lock(&tables.scheduler).abandon(job.number, tables.now());
    let refusal = Refusal::may_have_run(Reason::Cancelled, "the caller left");
    end_job(tables, job, StreamEnd::Refused(refusal));
    execute_effects(executor, effects);
}

/// Cancels requests that nobody reads and forgets those that nobody comes back for.
pub fn expire_requests(executor: &Executor) {
    let tables = &executor.tables;
    let now = tables.now();
    let window = decision::Millis(tables.cfg.stream_window_ms);
    let jobs: Vec<Arc<Job>> = lock(&tables.jobs).by_id.values().cloned().collect();
    for job in jobs {
        let Some(left) = job.stream.unread_since() else { continue };
        if now.since(left.max(job.arrived)) <= window {
            continue;
        }
        cancel(executor, &job);
        tables.forget(&job);
    }
}

/// Returns whether an answer still has to reach its caller.
pub fn has_unfinished_responses(tables: &Tables) -> bool {
    if tables.serving.load(Ordering::Relaxed) > 0 {
        return true;
    }
    let jobs = lock(&tables.jobs);
    jobs.by_id.values().any(|job| job.stream.ended().is_none() || job.stream.unread() > 0)
}

fn relay(executor: &Executor, req: Request, id: &str, base: &str) -> io::Result<()> {
    let url = format!("{base}{}", req.url());
    let key = header(&req, "authorization").unwrap_or_default();
    let silence_limit = Duration::from_millis(executor.tables.cfg.silence_limit_ms);
    let builder = if *req.method() == tiny_http::Method::Post {
        prepare_request(attohttpc::post(&url), silence_limit)
    } else {
        prepare_request(attohttpc::get(&url), silence_limit)
    };
    let mut res = match builder.header("authorization", key).header("x-relayed", "1").send() {
        Ok(res) => res,
        Err(e) => {
            let refusal = Refusal::may_have_run(Reason::UnknownRequest, format!("{url}: {e}"));
            return respond_refusal(req, id, &refusal.retry_after(1_000));
        }
    };
    let content_type = res.headers().get("content-type").and_then(|v| v.to_str().ok());
    let content_type = content_type.unwrap_or("application/json").to_string();
    let status = res.status().to_string();
    let headers = [("Content-Type", content_type.as_str()), ("X-Request-Id", id)];
    let mut writer = ChunkWriter::start(req, &status, &headers)?;
    let mut buf = [0u8; RELAY_BUFFER];
    loop {
        let read = res.read(&mut buf)?;
        if read == 0 {
            return writer.close();
        }
        writer.send(&buf[..read])?;
    }
}
