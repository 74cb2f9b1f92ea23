use crate::auth::{MAC_HEADER, verify_mac};
use crate::caller_request::{find_grant, header};
use crate::completion::ChatBody;
use crate::executor::{Executor, submit};
use crate::frame::FrameWriter;
use crate::job::{Job, Origin};
use crate::refusal::respond_refusal;
use crate::requests::cancel;
use crate::spans::Trace;
use crate::stream::Stream;
use decision::load::Arrival;
use errors::{Reason, Refusal};
use messages::forward::ForwardRequest;
use std::io::{self, Read};
use std::sync::Arc;
use std::time::Duration;
use tiny_http::Request;

/// The path on which a daemon accepts requests that other daemons forward.
pub const FORWARD_PATH: &str = "/peer/forward";

/// Largest accepted offset of a forwarded request; memory is allocated for each token before it.
const MAX_RESPONSE_TOKENS: u64 = 1 << 22;

/// Interval of empty frames while no token arrives.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);

/// Tokens are batched for this long before they cross the link between regions.
const LINK_BATCH_INTERVAL: Duration = Duration::from_millis(40);

/// Serves a request that another daemon forwards.
pub fn serve_forward(executor: &Executor, mut req: Request) -> io::Result<()> {
    match admit(executor, &mut req) {
        Err(refusal) => respond_refusal(req, "", &refusal),
        Ok((forwarded, job)) => send_frames(executor, req, &forwarded, &job),
    }
}

fn admit(executor: &Executor, req: &mut Request) -> Result<(ForwardRequest, Arc<Job>), Refusal> {
    let tables = &executor.tables;
    let malformed = |text: String| Refusal::not_run(Reason::MalformedRequest, text);
    let mac = header(req, MAC_HEADER).unwrap_or_default().to_string();
    let mut buf = Vec::new();
    let limit = 2 * tables.cfg.body_limit_bytes;
    req.as_reader().take(limit).read_to_end(&mut buf).map_err(|e| malformed(e.to_string()))?;
    if !verify_mac(tables.cfg.peer_key.reveal(), FORWARD_PATH, &buf, &mac) {
        tables.metrics.increment("unknown_senders");
        return Err(Refusal::not_run(Reason::UnknownAccount, "the sender is unknown"));
    }
    let forwarded: ForwardRequest =
        rmp_serde::from_slice(&buf).map_err(|e| malformed(e.to_string()))?;
    if !tables.is_ready() {
        let refusal = Refusal::not_run(Reason::NotReady, "the daemon takes no new work");
        return Err(refusal.retry_after(1_000));
    }
    if forwarded.offset > MAX_RESPONSE_TOKENS {
        return Err(malformed(format!("offset {} is beyond any answer", forwarded.offset)));
    }
    let active = tables.active_lists();
    let authorized = find_grant(&active, &forwarded.account, &forwarded.class)?;
    let (number, _) = tables.new_request();
    let chat: ChatBody =
        serde_json::from_str(&forwarded.body).map_err(|e| malformed(e.to_string()))?;
    let body = serde_json::from_str(&forwarded.body).map_err(|e| malformed(e.to_string()))?;
    let arrival = Arrival { forwarded: true, ..authorized.arrival(number, &chat.prompt()) };
    let trace = Trace::from_header(Some(&forwarded.traceparent));
    let job = Job {
        origin: Origin::Peer,
        stream: Stream::resumed_from(&forwarded.text, forwarded.offset as usize),
        ..Job::new(forwarded.id.clone(), arrival, body, trace, tables.now())
    };
    Ok((forwarded, submit(executor, job)))
}

fn send_frames(
    executor: &Executor,
    req: Request,
    forwarded: &ForwardRequest,
    job: &Arc<Job>,
) -> io::Result<()> {
    let crosses_regions = forwarded.region != executor.tables.cfg.region;
    job.stream.add_reader();
    let sent = write_frames(req, job, forwarded.offset as usize, crosses_regions);
    job.stream.remove_reader(executor.tables.now());
    // No reader resumes a forwarded response: the other daemon would forward the request again.
    cancel(executor, job);
    executor.tables.remove_stream(job);
    sent.inspect_err(|e| {
        log::info!("request={} connection to the forwarding daemon lost: {e}", job.id)
    })
    .or(Ok(()))
}

fn write_frames(req: Request, job: &Job, offset: usize, crosses_regions: bool) -> io::Result<()> {
    let mut next = offset;
    let mut writer = FrameWriter::start(req)?;
    loop {
        let mut chunk = job.stream.wait_for_chunk(next, HEARTBEAT_INTERVAL);
        if crosses_regions && chunk.end.is_none() && next > offset {
            std::thread::sleep(LINK_BATCH_INTERVAL);
            chunk = job.stream.wait_for_chunk(next, Duration::ZERO);
        }
        next += chunk.tokens.len();
        let ended = chunk.end.is_some();
        writer.send(&chunk)?;
        if ended {
            return writer.close();
        }
    }
}
