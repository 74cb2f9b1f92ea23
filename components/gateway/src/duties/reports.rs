use super::capacity::order_capacity;
use super::demand::{demand_report, record_demand};
use super::usage::report_usage;
use crate::adapter::Adapter;
use crate::clock::{now, unix_ms};
use crate::connection::{Connection, ResponseLimits};
use crate::gateway::Gateway;
use crate::peer_server::text_response;
use crate::response::ResponseBody;
use bytes::Bytes;
use decision::Millis;
use decision::duties::{
    Duty, KnownHolder, UsageConfig, UsageCounts, UsageReports, WindowClock, report_interval,
};
use decision::routing::Peer;
use http::header::HOST;
use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use messages::duties::{DutyReply, DutyReport};
use rand::RngExt;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

/// The path of reports on the peer listener.
pub(crate) const REPORT_PATH: &str = "/duty-report";
/// Connect timeout: several round trips between the data centres.
const CONNECT_TIMEOUT: Millis = Millis(300);
/// Response timeout of a report.
const RESPONSE_TIMEOUT: Millis = Millis(800);
/// Time limit of the last report of a daemon that stops.
const LAST_REPORT_TIMEOUT: Duration = Duration::from_millis(150);
/// Maximum size of a report: 12 windows with the largest number of accounts.
const MAX_REPORT_BYTES: usize = 4 << 20;
const MAX_REPLY_BYTES: usize = 4 << 10;

/// What a daemon reports to the holder of the duties, and what it has got of others as the holder.
#[derive(Debug)]
pub(crate) struct DutyReports {
    pub(super) clock: WindowClock,
    pub(super) counts: UsageCounts,
    pub(super) usage: UsageReports,
    /// Whether the usage is reported to the platform.
    pub(super) has_usage: bool,
    /// Whether the capacity of services is ordered.
    has_scaling: bool,
    /// The number of reports sent so far.
    sequence: u64,
}

/// Starts to count requests, to report them to the holder, and as the holder to make the usage reports and
/// to order capacity, as far as the settings have these duties.
pub(crate) fn start_reports<A: Adapter>(gateway: &Rc<Gateway<A>>) {
    let settings = gateway.settings();
    let Some(duties) = &settings.duties else { return };
    let has_usage = duties.duties.contains(&Duty::UsageReporting);
    let has_scaling = duties.duties.contains(&Duty::Scaling);
    if !has_usage && !has_scaling {
        return;
    }
    let clock = WindowClock::new(Millis(unix_ms()), now(), duties.report_window);
    let usage = UsageReports::new(UsageConfig { late: duties.usage_lateness }, clock);
    let counts = UsageCounts::default();
    let reports = DutyReports { clock, counts, usage, has_usage, has_scaling, sequence: 0 };
    gateway.duties.reports.replace(Some(reports));
    spawn_local(send_reports(gateway.clone()));
    if has_usage {
        spawn_local(report_usage(gateway.clone()));
    }
    if has_scaling {
        spawn_local(order_capacity(gateway.clone()));
    }
}

/// Reports to the holder at regular intervals. Never returns.
async fn send_reports<A: Adapter>(gateway: Rc<Gateway<A>>) {
    let mut connection = None;
    // Daemons that started together report at different times.
    let interval = report_interval(gateway.daemon_count(now()).unwrap_or(1));
    let phase = gateway.rng.borrow_mut().random_range(0..interval.0);
    sleep(Duration::from_millis(phase)).await;
    let mut asks_reader = false;
    loop {
        // A notice of a new holder may be late or lost. The store reader of the data centre reads the stored
        // object, so it knows the holder when the former one does not take the report.
        let reader = gateway.readers.borrow().reader().cloned().filter(|_| asks_reader);
        let is_taken = send_report(&gateway, &mut connection, reader, false).await;
        asks_reader = !is_taken && !asks_reader;
        let interval = report_interval(gateway.daemon_count(now()).unwrap_or(1));
        sleep(Duration::from_millis(interval.0)).await;
    }
}

/// Sends the last report of a daemon that stops, when its requests have ended.
pub(crate) async fn send_last_report<A: Adapter>(gateway: &Gateway<A>) {
    // Without it, the holder waits for this daemon, and its last second is missing.
    let _ = timeout(LAST_REPORT_TIMEOUT, send_report(gateway, &mut None, None, true)).await;
}

/// Reports to the known holder what it lacks, if anything, or asks another daemon in its place. Returns
/// whether that daemon is the holder.
async fn send_report<A: Adapter>(
    gateway: &Gateway<A>,
    connection: &mut Option<Connection>,
    other: Option<Peer>,
    is_last: bool,
) -> bool {
    let Some(holder) = gateway.duties.known_holder() else { return true };
    let Some((report, recorded)) = next_report(gateway, &holder, is_last) else { return true };
    let current_window = report.current_window;
    let reply = if gateway.duties.held_token(now()) == Some(holder.token) {
        receive(gateway, &report)
    } else {
        let peer = other.as_ref().unwrap_or(&holder.peer);
        match send(gateway, connection, peer, &report).await {
            Ok(reply) => reply,
            Err(text) => {
                tracing::debug!(event = "duty_report_failed", peer = %peer.name, text);
                return false;
            }
        }
    };
    if reply.token > holder.token && !reply.address.is_empty() {
        let peer = Peer { name: reply.holder.clone(), address: reply.address.clone() };
        let (token, window) = (reply.token, reply.last_window);
        gateway.duties.learn(&KnownHolder { peer, token, window });
    }
    let mut reports = gateway.duties.reports.borrow_mut();
    let Some(reports) = reports.as_mut() else { return true };
    if reply.is_holder {
        reports.counts.record_taken(recorded, current_window, reply.token);
    }
    reports.observe_last_window(reply.last_window);
    reply.is_holder
}

impl DutyReports {
    fn observe_last_window(&mut self, window: Option<u64>) {
        if let Some(window) = window {
            self.counts.observe_last_window(window);
            self.usage.observe_last_window(window);
        }
    }
}

/// The next report, and the number of requests counted so far.
fn next_report<A: Adapter>(
    gateway: &Gateway<A>,
    holder: &KnownHolder,
    is_last: bool,
) -> Option<(DutyReport, u64)> {
    let settings = gateway.settings();
    let mut reports = gateway.duties.reports.borrow_mut();
    let reports = reports.as_mut()?;
    reports.observe_last_window(holder.window);
    let current_window = reports.clock.window(now());
    let is_usage_due = reports.has_usage
        && (is_last || reports.counts.is_report_due(current_window, holder.token));
    let (covered, services) = match reports.has_scaling {
        true => demand_report(gateway, now()),
        false => (Millis(0), Vec::new()),
    };
    // A daemon without requests says so, as the holder keeps what silent daemons need.
    if !is_last && !is_usage_due && !reports.has_scaling {
        return None;
    }
    reports.sequence += 1;
    let report = DutyReport {
        name: settings.name.clone(),
        data_centre: settings.data_centre.clone(),
        incarnation: gateway.incarnation,
        sequence: reports.sequence,
        current_window,
        last_window: reports.usage.last_window(),
        is_last,
        windows: if is_usage_due { reports.counts.windows() } else { Vec::new() },
        covered_ms: covered.0,
        services,
    };
    Some((report, reports.counts.recorded()))
}

async fn send<A: Adapter>(
    gateway: &Gateway<A>,
    connection_slot: &mut Option<Connection>,
    peer: &Peer,
    report: &DutyReport,
) -> Result<DutyReply, String> {
    let address: SocketAddr = peer.address.parse().map_err(|e| format!("{}: {e}", peer.address))?;
    let body = rmp_serde::to_vec_named(report).map_err(|e| e.to_string())?;
    let kept = connection_slot.take().filter(|c| c.is_ready() && c.address() == address);
    let mut connection = match kept {
        Some(connection) => connection,
        None => Connection::open(address, CONNECT_TIMEOUT).await.map_err(|e| e.to_string())?,
    };
    let mut req = Request::new(Full::new(Bytes::from(body)));
    *req.method_mut() = Method::POST;
    *req.uri_mut() = http::Uri::from_static(REPORT_PATH);
    req.headers_mut().extend(address.to_string().parse().ok().map(|host| (HOST, host)));
    let limits = ResponseLimits::within(RESPONSE_TIMEOUT, MAX_REPLY_BYTES);
    let sent = connection.send_and_read(req, limits, &gateway.control_memory).await;
    let (status, body) = sent.map_err(|e| e.to_string())?;
    *connection_slot = Some(connection);
    match status {
        StatusCode::OK => rmp_serde::from_slice(&body).map_err(|e| e.to_string()),
        status => Err(format!("{address}: response status {status}")),
    }
}

/// Responds to the report of another daemon.
pub(crate) async fn respond_to_report<A: Adapter>(
    gateway: &Gateway<A>,
    req: Request<Incoming>,
) -> Response<ResponseBody> {
    if gateway.duties.reports.borrow().is_none() {
        let text = String::from("this daemon has no duties");
        return text_response(StatusCode::NOT_FOUND, text);
    }
    let body = match Limited::new(req.into_body(), MAX_REPORT_BYTES).collect().await {
        Ok(body) => body.to_bytes(),
        Err(e) => return text_response(StatusCode::BAD_REQUEST, e.to_string()),
    };
    let report: DutyReport = match rmp_serde::from_slice(&body) {
        Ok(report) => report,
        Err(e) => {
            tracing::warn!(event = "duty_report_unreadable", error = %e);
            return text_response(StatusCode::BAD_REQUEST, e.to_string());
        }
    };
    match rmp_serde::to_vec_named(&receive(gateway, &report)) {
        Ok(body) => Response::new(ResponseBody::Complete(Some(Bytes::from(body)))),
        Err(e) => text_response(StatusCode::INTERNAL_SERVER_ERROR, e.to_string()),
    }
}

/// Takes a report if this daemon holds the duties, and says who does.
fn receive<A: Adapter>(gateway: &Gateway<A>, report: &DutyReport) -> DutyReply {
    let KnownHolder { peer, token, .. } = gateway.duties.known_holder().unwrap_or_default();
    let (holder, address) = (peer.name, peer.address);
    let mut reports = gateway.duties.reports.borrow_mut();
    let Some(reports) = reports.as_mut() else {
        return DutyReply { is_holder: false, token, last_window: None, holder, address };
    };
    let is_acting = gateway.duties.held_token(now()).is_some();
    if is_acting && reports.has_scaling {
        record_demand(gateway, report, now());
    }
    let is_holder =
        if reports.has_usage { reports.usage.receive(report, now()) } else { is_acting };
    DutyReply { is_holder, token, last_window: reports.usage.last_window(), holder, address }
}
