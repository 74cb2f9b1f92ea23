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

/// Largest chunk that is relayed at once.
const RELAY_BUFFER_BYTES: usize = 4096;

/// Serves `/v1/requests/{id}/stream?offset=N` and `/v1/requests/{id}/cancel`, relayed to the
/// daemon that holds the stream if that is another one.
pub fn serve_request_path(executor: &Executor, req: Request, path: &str) -> io::Result<()> {
    let subpath = path.strip_prefix("/v1/requests/").unwrap_or_default();
    let (id, action) = subpath.split_once('/').unwrap_or((subpath, ""));
    let id = id.to_string();
    match locate(executor, &req, &id) {
        Ok(StreamLocation::Local(job)) if action == "stream" => match parse_offset(req.url(), &job)
        {
            Ok(offset) => stream_response(&executor.tables, req, &job, offset),
            Err(refusal) => respond_refusal(req, &id, &refusal),
        },
        Ok(StreamLocation::Local(job)) if action == "cancel" => {
            cancel(executor, &job);
            respond_json(req, 200, &"cancelled")
        }
        Ok(StreamLocation::Peer(address)) if header(&req, "x-relayed").is_none() => {
            relay(executor, req, &id, &format!("http://{address}"))
        }
        Ok(_) => {
            let text = format!("no path {path}");
            respond_refusal(req, &id, &Refusal::may_have_run(Reason::UnknownRequest, text))
        }
        Err(refusal) => respond_refusal(req, &id, &refusal),
    }
}

/// The place where the stream of a request is kept.
enum StreamLocation {
    /// This daemon.
    Local(Arc<Job>),
    /// The daemon at this address.
    Peer(std::net::SocketAddr),
}

/// Finds the stream of a request; the request id starts with the identity of the daemon that holds
/// it.
fn locate(executor: &Executor, req: &Request, id: &str) -> Result<StreamLocation, Refusal> {
    let tables = &executor.tables;
    let active = tables.active_lists();
    // A failed authentication does not tell whether the request ran.
    let account = authenticate(&active, req)
        .map_err(|refusal| Refusal { verdict: Verdict::MayHaveRun, ..refusal })?;
    let unknown = |text: &str| Refusal::may_have_run(Reason::UnknownRequest, text);
    let identity = id.split('-').next().and_then(|hex| u128::from_str_radix(hex, 16).ok());
    let Some(identity) = identity else {
        return Err(Refusal::not_run(Reason::UnknownRequest, format!("{id:?} is no request id")));
    };
    if identity != tables.identity {
        let peer = lock_read(&tables.peers).get(&identity).map(|p| p.address);
        return peer
            .map(StreamLocation::Peer)
            .ok_or_else(|| unknown("the daemon of the request is gone"));
    }
    let job = tables.job_by_id(id).filter(|job| job.arrival.account == account);
    job.map(StreamLocation::Local).ok_or_else(|| unknown("the stream is no longer kept"))
}

/// The requested offset, 0 by default; an error if it is not a position in the response so far.
fn parse_offset(url: &str, job: &Job) -> Result<usize, Refusal> {
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

/// Cancels a request that has no reader any more or whose caller cancels it; no effect once it has
/// ended.
pub fn cancel(executor: &Executor, job: &Job) {
    let tables = &executor.tables;
    queue_order(executor, job.number, OrderKind::Cancel);
    let effects = lock(&tables.scheduler).abandon(job.number, tables.now());
    let refusal = Refusal::may_have_run(Reason::Cancelled, "the caller left");
    end_job(tables, job, StreamEnd::Refused(refusal));
    execute_effects(executor, effects);
}

/// Cancels and removes requests whose streams have had no reader for the stream window.
pub fn expire_requests(executor: &Executor) {
    let tables = &executor.tables;
    let now = tables.now();
    let window = decision::Millis(tables.cfg.stream_window_ms);
    let jobs: Vec<Arc<Job>> = lock(&tables.jobs).by_id.values().cloned().collect();
    for job in jobs {
        let Some(without_reader_since) = job.stream.without_reader_since() else { continue };
        if now.since(without_reader_since.max(job.arrived)) <= window {
            continue;
        }
        cancel(executor, &job);
        tables.remove_stream(&job);
    }
}

/// Whether any caller is still being served or any response is incomplete or unread.
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
    let mut buf = [0u8; RELAY_BUFFER_BYTES];
    loop {
        let read = res.read(&mut buf)?;
        if read == 0 {
            return writer.close();
        }
        writer.send(&buf[..read])?;
    }
}
