use crate::adapter::Adapter;
use crate::clock::now;
use crate::connection::{Connection, ConnectionError, ResponseLimits};
use crate::gateway::Gateway;
use crate::log::LineKind;
use crate::metrics::DutyCallLabels;
use crate::settings::DutySettings;
use bytes::Bytes;
use decision::Millis;
use decision::duties::{CallRate, DutyCall, Subject};
use http::header::{CONTENT_TYPE, HOST};
use http::{HeaderValue, Method, Request, StatusCode};
use http_body_util::Full;
use rand::RngExt;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Mutex;
use tokio::time::{sleep, timeout};

/// Time limit of opening a connection.
const CONNECT_TIMEOUT: Millis = Millis(500);
/// A call has failed after this part of a lease at the latest.
const CALL_TIMEOUT_PART: (u64, u64) = (2, 3);
/// A call ends this part of a lease before it expires.
const EXPIRY_MARGIN_DIVISOR: u64 = 40;
/// A call is not sent if its time limit would be less than this part of a lease.
const MIN_CALL_TIME_DIVISOR: u64 = 10;
/// The first pause before a repetition; it doubles with each.
pub(super) const MIN_BACKOFF: Millis = Millis(200);
pub(super) const MAX_BACKOFF: Millis = Millis(2_000);
const MAX_RESPONSE_BYTES: usize = 64 << 10;
/// Idle connections that are kept.
const MAX_IDLE: usize = 4;

/// The outcome of a call to the platform.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum CallOutcome {
    /// The platform accepted it (status 200).
    Accepted,
    /// The platform has no more endpoints of the ordered kind (status 409).
    Unavailable,
    /// It was not accepted and may be repeated: the platform was not reached or is overloaded (status 429
    /// or 5xx), or this daemon may not send calls for a moment.
    Failed,
    /// It may have been accepted, and may be repeated: the platform did not respond. Or the platform does
    /// not accept it, with another status.
    Unclear,
    /// This daemon is not the holder, so that nothing was sent.
    NotHolder,
}

impl CallOutcome {
    /// The name in metrics.
    fn as_str(self) -> &'static str {
        match self {
            CallOutcome::Accepted => "accepted",
            CallOutcome::Unavailable => "unavailable",
            CallOutcome::Failed => "failed",
            CallOutcome::Unclear => "unclear",
            CallOutcome::NotHolder => "not_holder",
        }
    }
}

/// The state of the calls to the platform.
#[derive(Debug, Default)]
pub(super) struct DutyCalls {
    /// Locked while a call about the subject is under way.
    subjects: RefCell<BTreeMap<Subject, Rc<Mutex<()>>>>,
    /// Locked while a call waits for the limit on the rate, so that calls are sent in turn.
    rate: Mutex<CallRate>,
    idle: RefCell<Vec<(SocketAddr, Connection)>>,
}

impl DutyCalls {
    fn subject(&self, subject: Subject) -> Rc<Mutex<()>> {
        self.subjects.borrow_mut().entry(subject).or_default().clone()
    }

    fn take_idle(&self, address: SocketAddr) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        idle.retain(|(to, connection)| *to == address && connection.is_ready());
        idle.pop().map(|(_, connection)| connection)
    }

    fn keep(&self, address: SocketAddr, connection: Connection) {
        let mut idle = self.idle.borrow_mut();
        if idle.len() < MAX_IDLE {
            idle.push((address, connection));
        }
    }
}

/// Makes a call once, with the headers of the holder, when the limit on the rate allows it. Waits for
/// an earlier call about the same subject.
pub(crate) async fn call<A: Adapter>(gateway: &Rc<Gateway<A>>, call: &DutyCall) -> CallOutcome {
    let subject = gateway.duties.calls.subject(call.subject());
    let under_way = subject.lock().await;
    let settings = gateway.settings();
    let outcome = match &settings.duties {
        Some(duties) => send(gateway, duties, call).await,
        None => CallOutcome::NotHolder,
    };
    drop(under_way);
    let labels = DutyCallLabels { duty: call.duty().as_str(), outcome: outcome.as_str() };
    gateway.metrics.duty_calls.get_or_create(&labels).inc();
    outcome
}

/// Makes a call until it is accepted or the platform states that there are no more endpoints, with a
/// growing pause between attempts. Returns early when this daemon is no longer the holder, or has
/// become the holder anew.
#[allow(dead_code)]
pub(crate) async fn call_until_accepted<A: Adapter>(
    gateway: &Rc<Gateway<A>>,
    content: &DutyCall,
) -> CallOutcome {
    let token = gateway.duties.held_token(now());
    let mut backoff = MIN_BACKOFF;
    while token.is_some() && gateway.duties.held_token(now()) == token {
        match call(gateway, content).await {
            CallOutcome::Failed | CallOutcome::Unclear => {}
            outcome => return outcome,
        }
        let jitter = gateway.rng.borrow_mut().random_range(0..=backoff.0 / 4);
        sleep(Duration::from_millis(backoff.0 - jitter)).await;
        backoff = (backoff + backoff).min(MAX_BACKOFF);
    }
    CallOutcome::NotHolder
}

async fn send<A: Adapter>(
    gateway: &Rc<Gateway<A>>,
    settings: &DutySettings,
    call: &DutyCall,
) -> CallOutcome {
    match try_send(gateway, settings, call).await {
        Ok(StatusCode::OK) => CallOutcome::Accepted,
        Ok(StatusCode::CONFLICT) if matches!(call, DutyCall::Scale { .. }) => {
            CallOutcome::Unavailable
        }
        Ok(status) => {
            log_failure(gateway, call, status.as_str());
            match status.is_server_error() || status == StatusCode::TOO_MANY_REQUESTS {
                true => CallOutcome::Failed,
                false => CallOutcome::Unclear,
            }
        }
        Err(Some(e)) => {
            log_failure(gateway, call, &e.to_string());
            if e.is_unsent() { CallOutcome::Failed } else { CallOutcome::Unclear }
        }
        Err(None) if gateway.duties.held_token(now()).is_some() => CallOutcome::Failed,
        Err(None) => CallOutcome::NotHolder,
    }
}

fn log_failure<A: Adapter>(gateway: &Gateway<A>, call: &DutyCall, text: &str) {
    if gateway.log_quota.borrow_mut().admits(LineKind::Failure, now()) {
        tracing::warn!(event = "duty_call_failed", duty = call.duty().as_str(), text);
    }
}

/// Sends a call and returns the status of the response; an error without a cause if this daemon may not
/// send it now.
async fn try_send<A: Adapter>(
    gateway: &Rc<Gateway<A>>,
    settings: &DutySettings,
    call: &DutyCall,
) -> Result<StatusCode, Option<ConnectionError>> {
    let calls = &gateway.duties.calls;
    let address = settings.address;
    gateway.duties.may_act(now()).ok_or(None)?;
    let mut connection = match calls.take_idle(address) {
        Some(connection) => connection,
        None => open(settings).await.map_err(Some)?,
    };
    let mut rate = calls.rate.lock().await;
    let wait = rate.next_at(settings.calls_per_second, now()).since(now());
    sleep(Duration::from_millis(wait.0)).await;
    // The lease is checked right before the call is sent: everything above takes time.
    let (token, until) = gateway.duties.act_until(now()).ok_or(None)?;
    let limit = call_timeout(settings.lease, until, now()).ok_or(None)?;
    rate.record(settings.calls_per_second, now());
    drop(rate);
    let req = request(gateway, address, call, token).map_err(Some)?;
    let limits = ResponseLimits::within(limit, MAX_RESPONSE_BYTES);
    let response = connection.send_and_read(req, limits, &gateway.control_memory);
    let (status, _) = match timeout(Duration::from_millis(limit.0), response).await {
        Ok(response) => response.map_err(Some)?,
        Err(_) => {
            return Err(Some(ConnectionError::ResponseTimeout { address, limit, received: 0 }));
        }
    };
    calls.keep(address, connection);
    Ok(status)
}

/// Opens a connection. Nothing that was sent on it reaches the platform after the time limit of a call.
async fn open(settings: &DutySettings) -> Result<Connection, ConnectionError> {
    let lifetime = call_limit(settings.lease);
    Connection::open_aborting(settings.address, CONNECT_TIMEOUT.min(lifetime), lifetime).await
}

/// The longest time limit of a call.
fn call_limit(lease: Millis) -> Millis {
    let (part, parts) = CALL_TIMEOUT_PART;
    Millis(lease.0 * part / parts)
}

/// The time limit of a call that is sent now and must end before the lease expires; `None` if too
/// little time is left.
fn call_timeout(lease: Millis, expires_at: Millis, now: Millis) -> Option<Millis> {
    let left = expires_at.since(now) - Millis(lease.0 / EXPIRY_MARGIN_DIVISOR);
    let is_enough = left >= Millis(lease.0 / MIN_CALL_TIME_DIVISOR);
    is_enough.then(|| left.min(call_limit(lease)))
}

fn request<A: Adapter>(
    gateway: &Gateway<A>,
    address: SocketAddr,
    call: &DutyCall,
    token: u64,
) -> Result<Request<Full<Bytes>>, ConnectionError> {
    let body = gateway.adapter.write_duty_call(call);
    let mut req = Request::new(Full::new(Bytes::from(body)));
    *req.method_mut() = Method::POST;
    let target = gateway.adapter.duty_target(call);
    *req.uri_mut() = target.parse().map_err(|e: http::uri::InvalidUri| {
        ConnectionError::Target { address, text: e.to_string() }
    })?;
    let headers = req.headers_mut();
    headers.extend(address.to_string().parse().ok().map(|host| (HOST, host)));
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    gateway.adapter.write_duty_headers(headers, &gateway.settings().name, token);
    Ok(req)
}
