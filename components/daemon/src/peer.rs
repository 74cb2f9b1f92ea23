use crate::auth::{CODE_HEADER, is_code};
use crate::callers::{grant_for, header};
use crate::frame::FrameWriter;
use crate::job::{Counters, Job, Origin};
use crate::reply::respond_refusal;
use crate::resume::cancel;
use crate::shell::{Shell, carry_out};
use crate::spans::Trace;
use crate::stream::Stream;
use crate::tables::{lock, lock_read};
use decision::load::Arrival;
use errors::{Reason, Refusal};
use messages::forward::ForwardRequest;
use std::io::{self, Read};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, SystemTime};
use tiny_http::Request;

/// The path on which a daemon takes requests of other daemons.
pub const FORWARD_PATH: &str = "/peer/forward";

/// Tokens of an answer at most.
const TOKENS_LIMIT: u64 = 1 << 22;

const HEARTBEAT: Duration = Duration::from_secs(1);

/// The time over which tokens are gathered before they cross the link between regions.
const LINK_FRAME_INTERVAL: Duration = Duration::from_millis(40);

/// Another daemon.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Peer {
    /// The name of its instance.
    pub name: String,
    /// Its address.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: String,
    /// Its region.
    pub region: String,
}

/// Chooses a daemon of a data centre; equal seeds find the same daemon while none comes or goes.
pub fn peer_in(shell: &Shell, data_centre: &str, seed: usize) -> Option<Peer> {
    let peers = lock_read(&shell.tables.peers);
    let fit: Vec<&Peer> = peers.values().filter(|p| p.data_centre == data_centre).collect();
    let chosen = fit.get(seed.checked_rem(fit.len())?)?;
    Some(Peer::clone(chosen))
}

/// Serves a request that another daemon hands over.
pub fn serve_forward(shell: &Shell, mut req: Request) -> io::Result<()> {
    match admit(shell, &mut req) {
        Err(refusal) => respond_refusal(req, "", &refusal),
        Ok((forwarded, job)) => send_frames(shell, req, &forwarded, &job),
    }
}

fn admit(shell: &Shell, req: &mut Request) -> Result<(ForwardRequest, Arc<Job>), Refusal> {
    let tables = &shell.tables;
    let malformed = |text: String| Refusal::not_run(Reason::MalformedRequest, text);
    let code = header(req, CODE_HEADER).unwrap_or_default().to_string();
    let mut buf = Vec::new();
    let limit = 2 * tables.cfg.body_limit_bytes;
    req.as_reader().take(limit).read_to_end(&mut buf).map_err(|e| malformed(e.to_string()))?;
    if !is_code(tables.cfg.peer_key.reveal(), FORWARD_PATH, &buf, &code) {
        tables.measures.count("unknown_senders");
        return Err(Refusal::not_run(Reason::UnknownAccount, "the sender is unknown"));
    }
    let forwarded: ForwardRequest =
        rmp_serde::from_slice(&buf).map_err(|e| malformed(e.to_string()))?;
    if !tables.is_ready() {
        let refusal = Refusal::not_run(Reason::NotReady, "the daemon takes no new work");
        return Err(refusal.retry_after(1_000));
    }
    if forwarded.offset > TOKENS_LIMIT {
        return Err(malformed(format!("offset {} is beyond any answer", forwarded.offset)));
    }
    let in_force = tables.lists();
    let permit = grant_for(&in_force, &forwarded.account, &forwarded.class)?;
    let (number, _) = tables.new_request();
    let body = serde_json::from_str(&forwarded.body).map_err(|e| malformed(e.to_string()))?;
    let job = Arc::new(Job {
        number,
        id: forwarded.id.clone(),
        origin: Origin::Peer,
        arrival: Arrival { forwarded: true, ..permit.arrival(number, &forwarded.body) },
        body,
        stream: Stream::starting_with(&forwarded.text, forwarded.offset as usize),
        trace: Trace::from_header(Some(&forwarded.traceparent)),
        arrived: tables.now(),
        arrived_at: SystemTime::now(),
        counters: Counters::default(),
        place: Mutex::default(),
    });
    tables.add_job(&job);
    let effects = lock(&tables.scheduler).arrive(job.arrival.clone(), tables.now());
    carry_out(shell, effects);
    Ok((forwarded, job))
}

fn send_frames(
    shell: &Shell,
    req: Request,
    forwarded: &ForwardRequest,
    job: &Arc<Job>,
) -> io::Result<()> {
    let over_link = forwarded.region != shell.tables.cfg.region;
    job.stream.join();
    let sent = write_frames(req, job, forwarded.offset as usize, over_link);
    job.stream.leave(shell.tables.now());
    // Nobody comes back for a forwarded answer: the other daemon forwards again.
    cancel(shell, job);
    shell.tables.forget(job);
    sent.inspect_err(|e| log::info!("request={} the other daemon left: {e}", job.id)).or(Ok(()))
}

fn write_frames(req: Request, job: &Job, offset: usize, over_link: bool) -> io::Result<()> {
    let mut next = offset;
    let mut writer = FrameWriter::start(req)?;
    loop {
        let mut piece = job.stream.wait(next, HEARTBEAT);
        if over_link && piece.end.is_none() && next > offset {
            std::thread::sleep(LINK_FRAME_INTERVAL);
            piece = job.stream.wait(next, Duration::ZERO);
        }
        next += piece.tokens.len();
        let ended = piece.end.is_some();
        writer.send(&piece)?;
        if ended {
            return writer.close();
        }
    }
}
