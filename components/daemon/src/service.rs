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
use utils::{HttpError, prepare_request};

/// The header that names a call that may not be repeated.
const KEY_HEADER: &str = "idempotency-key";

/// The header by which a caller says which of its attempts with a key this is, from 1.
const ATTEMPT_HEADER: &str = "idempotency-attempt";

/// The attempts at a call that may be repeated.
const REPEATABLE_TRIES: u64 = 3;

/// Charges a call to its account's limits until it is dropped, also by a panic.
struct Charge<'a> {
    tables: &'a Tables,
    arrival: Arrival,
}

impl<'a> Charge<'a> {
    fn new(tables: &'a Tables, arrival: Arrival) -> Result<Charge<'a>, Refusal> {
        lock(&tables.scheduler).start_call(&arrival, tables.now())?;
        Ok(Charge { tables, arrival })
    }
}

impl Drop for Charge<'_> {
    fn drop(&mut self) {
        lock(&self.tables.scheduler).end_call(&self.arrival);
    }
}

/// A caller's call to a plain service.
#[derive(Clone, Debug)]
pub struct ServiceCall {
    /// The number of the request.
    pub number: u64,
    /// The id of the request.
    pub id: String,
    /// The client account.
    pub account: String,
    /// The plain service.
    pub service: String,
    /// Whether the call may run more than once.
    pub repeatable: bool,
    /// The target for the end of the answer, from arrival.
    pub finish: Millis,
    /// The text of the caller's key.
    pub key: String,
    /// The body.
    pub body: String,
}

impl ServiceCall {
    /// Chooses an endpoint that takes new work for the try of this number, from 0.
    pub fn address(&self, executor: &Executor, tries: u64) -> Option<SocketAddr> {
        let addresses = lock_read(&executor.tables.addresses);
        let scheduler = lock(&executor.tables.scheduler);
        let live: Vec<SocketAddr> = scheduler
            .endpoints()
            .values()
            .filter(|e| e.state == EndpointState::Live && e.info.serves.contains(&self.service))
            .filter_map(|e| addresses.get(&e.info.name).copied())
            .collect();
        let start = self.number.wrapping_add(tries) as usize;
        live.get(start.checked_rem(live.len())?).copied()
    }
}

/// Serves a call to a plain service.
pub fn serve_call(executor: &Executor, mut req: Request) -> io::Result<()> {
    let (number, id) = executor.tables.new_request();
    let (call, _charge, key) = match prepare(executor, &mut req, number, &id) {
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
    run_once(executor, &call, key, |answer| result = respond(req, &id, answer));
    result
}

/// Weakens the refusal of a call that is not looked at, unless it is its caller's first attempt.
pub fn downgrade_unless_first_attempt(req: &Request, refusal: Refusal) -> Refusal {
    downgrade_verdict(refusal, is_first_attempt(req))
}

/// Returns whether no earlier attempt at the call can have run it.
fn is_first_attempt(req: &Request) -> bool {
    header(req, KEY_HEADER).is_none() || header(req, ATTEMPT_HEADER) == Some("1")
}

fn prepare<'a>(
    executor: &'a Executor,
    req: &mut Request,
    number: u64,
    id: &str,
) -> Result<(ServiceCall, Charge<'a>, Option<CallerKey>), Refusal> {
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
        body: read_body(&executor.tables, req)?,
    };
    if is_first_attempt(req) && call.address(executor, 0).is_none() {
        let text = format!("no endpoint serves {}", call.service);
        return Err(Refusal::not_run(Reason::NoEndpoint, text).retry_after(1_000));
    }
    let key = caller_key(req, &call)?;
    let charge = Charge::new(&executor.tables, arrival)?;
    Ok((call, charge, key))
}

fn caller_key(req: &Request, call: &ServiceCall) -> Result<Option<CallerKey>, Refusal> {
    if call.repeatable {
        return Ok(None);
    }
    CallerKey::parse(header(req, KEY_HEADER), header(req, ATTEMPT_HEADER)).map(Some)
}

fn run_repeatable(executor: &Executor, call: &ServiceCall) -> CallResponse {
    let mut unclear = false;
    for tries in 0..REPEATABLE_TRIES {
        let Some(address) = call.address(executor, tries) else { break };
        match send_call(executor, address, call) {
            EndpointResult::Ran(outcome) => return CallResponse::Outcome(outcome),
            EndpointResult::NotStarted => {}
            EndpointResult::Lost => unclear = true,
        }
    }
    let text = format!("no endpoint of {} answered", call.service);
    let refusal = Refusal::not_run(Reason::EndpointFailed, text).retry_after(1_000);
    CallResponse::Refused(downgrade_verdict(refusal, !unclear))
}

/// Sends a call once.
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
            log::warn!("request={} {e}", call.id);
            return if e.is_unsent() { EndpointResult::NotStarted } else { EndpointResult::Lost };
        }
    };
    if !res.is_success() && res.headers().get("x-verdict").is_some_and(|v| v == "not_run") {
        return EndpointResult::NotStarted;
    }
    let status = res.status().as_u16();
    match res.text() {
        Ok(body) => EndpointResult::Ran(Outcome { status, body }),
        Err(e) => {
            log::warn!("request={} {url}: {e}", call.id);
            EndpointResult::Lost
        }
    }
}

fn respond(req: Request, id: &str, answer: CallResponse) -> io::Result<()> {
    let outcome = match answer {
        CallResponse::Outcome(outcome) => outcome,
        CallResponse::Refused(refusal) => return respond_refusal(req, id, &refusal),
    };
    let mut res = Response::from_string(outcome.body).with_status_code(outcome.status);
    if let Ok(header) = Header::from_bytes("x-request-id", id) {
        res.add_header(header);
    }
    req.respond(res)
}
