use crate::caller_request::{authorize, header, read_body};
use crate::executor::Executor;
use crate::idempotency::{CallerKey, downgrade_verdict, run_once};
use crate::refusal::respond_refusal;
use crate::tables::{Tables, lock, lock_read};
use decision::Millis;
use decision::execution::{CallResponse, EndpointResult, Outcome};
use decision::load::{Arrival, EndpointState};
use errors::{Reason, Refusal};
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tiny_http::{Header, Request, Response};
use utils::{HttpError, prepare_request, response_text};

/// Carries the key that identifies all attempts at a call that must not be repeated.
const KEY_HEADER: &str = "idempotency-key";

/// Carries the number of the attempt with a key, from 1.
const ATTEMPT_HEADER: &str = "idempotency-attempt";

/// Maximum number of attempts at a repeatable call.
const MAX_REPEATABLE_ATTEMPTS: u64 = 3;

/// Counts a call against the limits of its client account until dropped, which also happens on a
/// panic.
struct CallGuard<'a> {
    tables: &'a Tables,
    arrival: Arrival,
}

impl<'a> CallGuard<'a> {
    fn new(tables: &'a Tables, arrival: Arrival) -> Result<CallGuard<'a>, Refusal> {
        lock(&tables.scheduler).start_call(&arrival, tables.now())?;
        Ok(CallGuard { tables, arrival })
    }
}

impl Drop for CallGuard<'_> {
    fn drop(&mut self) {
        lock(&self.tables.scheduler).end_call(&self.arrival);
    }
}

/// A caller's call to a plain service.
#[derive(Clone, Debug)]
pub struct ServiceCall {
    /// Unique within this process.
    pub number: u64,
    /// The request id that the caller and the endpoint see.
    pub id: String,
    pub account: String,
    pub service: String,
    /// Whether the call may run more than once.
    pub repeatable: bool,
    /// The target for the time from arrival to the end of the response.
    pub finish: Millis,
    /// The idempotency key as the caller sent it; may be empty for a repeatable call.
    pub key: String,
    pub body: String,
}

impl ServiceCall {
    /// Chooses a live endpoint for an attempt, counted from 0; successive attempts rotate through
    /// the endpoints.
    pub fn choose_address(&self, executor: &Executor, attempt: u64) -> Option<SocketAddr> {
        let addresses = lock_read(&executor.tables.addresses);
        let scheduler = lock(&executor.tables.scheduler);
        let live: Vec<SocketAddr> = scheduler
            .endpoints()
            .values()
            .filter(|e| e.state == EndpointState::Live && e.info.serves.contains(&self.service))
            .filter_map(|e| addresses.get(&e.info.name).copied())
            .collect();
        let start = self.number.wrapping_add(attempt) as usize;
        live.get(start.checked_rem(live.len())?).copied()
    }
}

/// Serves a call to a plain service.
pub fn serve_call(executor: &Executor, mut req: Request) -> io::Result<()> {
    let (number, id) = executor.tables.new_request();
    let (call, _guard, key) = match prepare(executor, &mut req, number, &id) {
        Ok(prepared) => prepared,
        Err(refusal) => {
            let class = header(&req, "x-request-class").unwrap_or_default();
            if refusal.reason != Reason::UnknownClass {
                executor.tables.metrics.record_refusal(class, &refusal);
            }
            let refusal = downgrade_unless_first_attempt(&req, refusal);
            return respond_refusal(req, &id, &refusal);
        }
    };
    let Some(key) = key else { return respond(req, &id, run_repeatable(executor, &call)) };
    let mut result = Ok(());
    run_once(executor, &call, key, |response| result = respond(req, &id, response));
    result
}

/// Adapts a refusal that was decided without reading the execution record: on later attempts of the
/// caller, `not_run` becomes `may_have_run`, since an earlier one may have run the call.
pub fn downgrade_unless_first_attempt(req: &Request, refusal: Refusal) -> Refusal {
    downgrade_verdict(refusal, is_first_attempt(req))
}

/// Whether no earlier attempt at the call can have run it.
fn is_first_attempt(req: &Request) -> bool {
    header(req, KEY_HEADER).is_none() || header(req, ATTEMPT_HEADER) == Some("1")
}

/// Reads the body of a call. A chunked one is refused, since `tiny_http` does not detect that it was
/// cut within a chunk, and a call must not run with a part of its body.
fn read_call_body(tables: &Tables, req: &mut Request) -> Result<String, Refusal> {
    if header(req, "transfer-encoding").is_some() {
        let text = "a call needs a Content-Length header; its body must not be chunked";
        return Err(Refusal::not_run(Reason::MalformedRequest, text));
    }
    read_body(tables, req)
}

fn prepare<'a>(
    executor: &'a Executor,
    req: &mut Request,
    number: u64,
    id: &str,
) -> Result<(ServiceCall, CallGuard<'a>, Option<CallerKey>), Refusal> {
    let active = executor.tables.active_lists();
    let arrival = authorize(&executor.tables, &active, req)?.arrival(number, "");
    let call = ServiceCall {
        number,
        id: id.to_string(),
        account: arrival.account.clone(),
        service: arrival.serves.clone(),
        repeatable: arrival.repeatable,
        finish: arrival.finish,
        key: header(req, KEY_HEADER).unwrap_or_default().to_string(),
        body: read_call_body(&executor.tables, req)?,
    };
    if is_first_attempt(req) && call.choose_address(executor, 0).is_none() {
        let text = format!("no endpoint serves {}", call.service);
        return Err(Refusal::not_run(Reason::NoEndpoint, text).retry_after(1_000));
    }
    let key = caller_key(req, &call)?;
    let guard = CallGuard::new(&executor.tables, arrival)?;
    Ok((call, guard, key))
}

fn caller_key(req: &Request, call: &ServiceCall) -> Result<Option<CallerKey>, Refusal> {
    if call.repeatable {
        return Ok(None);
    }
    CallerKey::parse(header(req, KEY_HEADER), header(req, ATTEMPT_HEADER)).map(Some)
}

fn run_repeatable(executor: &Executor, call: &ServiceCall) -> CallResponse {
    let mut may_have_run = false;
    for attempt in 0..MAX_REPEATABLE_ATTEMPTS {
        let Some(address) = call.choose_address(executor, attempt) else { break };
        match send_call(executor, address, call) {
            EndpointResult::Ran(outcome) => return CallResponse::Outcome(outcome),
            EndpointResult::NotStarted => {}
            EndpointResult::Lost => may_have_run = true,
        }
    }
    let text = format!("no endpoint of {} answered", call.service);
    let refusal = Refusal::not_run(Reason::EndpointFailed, text).retry_after(1_000);
    CallResponse::Refused(downgrade_verdict(refusal, !may_have_run))
}

/// Sends a call to an endpoint once, without retries.
pub fn send_call(executor: &Executor, address: SocketAddr, call: &ServiceCall) -> EndpointResult {
    let url = format!("http://{address}/call");
    let silence_limit = Duration::from_millis(executor.tables.cfg.silence_limit_ms);
    let sent = prepare_request(attohttpc::post(&url), silence_limit)
        .header("x-request-id", &call.id)
        .header(KEY_HEADER, &call.key)
        .text(&call.body)
        .send();
    let res = match sent {
        Ok(res) => res,
        Err(source) => {
            let e = HttpError::Exchange { url, source };
            log::warn!("request={} call failed: {e}", call.id);
            return if e.is_unsent() { EndpointResult::NotStarted } else { EndpointResult::Lost };
        }
    };
    if !res.is_success() && res.headers().get("x-verdict").is_some_and(|v| v == "not_run") {
        return EndpointResult::NotStarted;
    }
    let status = res.status().as_u16();
    match response_text(res) {
        Ok(body) => EndpointResult::Ran(Outcome { status, body }),
        Err(e) => {
            log::warn!(
                "request={} response of {url} was cut off; the call may have run: {e}",
                call.id
            );
            EndpointResult::Lost
        }
    }
}

fn respond(req: Request, id: &str, response: CallResponse) -> io::Result<()> {
    let outcome = match response {
        CallResponse::Outcome(outcome) => outcome,
        CallResponse::Refused(refusal) => return respond_refusal(req, id, &refusal),
    };
    let mut res = Response::from_string(outcome.body).with_status_code(outcome.status);
    if let Ok(header) = Header::from_bytes("x-request-id", id) {
        res.add_header(header);
    }
    req.respond(res)
}
