use crate::adapter::Adapter;
use crate::attempt::{AttemptFailure, EndpointResponse, attempt};
use crate::clock::now;
use crate::gateway::Gateway;
use crate::queue::{Waited, wait_for_endpoint};
use crate::relay::relay;
use crate::response::{Refusal, ResponseBody};
use crate::routed_request::RoutedRequest;
use crate::serve::{ANSWERED, Subject, finish, refuse};
use decision::Millis;
use decision::routing::{Candidate, Placement};
use errors::{Reason, Verdict};
use http::{Response, StatusCode};
use rand::RngExt;
use std::collections::BTreeSet;
use std::rc::Rc;

/// Time left under which a further attempt cannot end well.
const LEAST_TIME: Millis = Millis(50);
/// The shortest time after which a refused client may return, in seconds.
const RETRY_AFTER_LEAST: f64 = 0.2;
/// The time over which returning clients are spread, in seconds, so that they come back apart.
const RETRY_AFTER_SPREAD: f64 = 0.6;

/// Places a request at one of the endpoints that were not tried yet.
pub(crate) fn place<A: Adapter>(
    gateway: &Gateway<A>,
    request: &RoutedRequest,
    tried: &BTreeSet<String>,
    now: Millis,
) -> Placement {
    let Some(catalog) = gateway.catalog() else { return Placement::NoEndpoint };
    let Some(service) = catalog.service(&request.service) else { return Placement::NoEndpoint };
    let engine = service.engine;
    let directory = gateway.directory();
    let candidates = directory
        .of_service(&request.service)
        .filter(|(id, _)| !tried.contains(*id))
        .map(|(id, registration)| Candidate {
            id,
            distance: gateway.adapter.distance(&registration.data_centre),
            slots: registration.slots,
            cache_tokens: engine.map_or(0, |engine| engine.cache_tokens),
            fetch_rate: engine.map_or(0, |engine| engine.fetch_rate),
        });
    let draw = gateway.rng.borrow_mut().random();
    let mut demand = request.demand(draw, now);
    demand.prompt = demand.prompt.filter(|_| engine.is_some());
    gateway.loads.borrow().choose(candidates, &demand, now)
}

/// Why a request is not sent to a further endpoint.
#[derive(Debug)]
enum GaveUp {
    /// It would begin too late everywhere; the text names the wait.
    Saturated(String),
    NoEndpoint,
    RetryBudget,
    MayHaveRun,
    NoTime(Millis),
    NoAttempt(u32),
}

impl GaveUp {
    fn text(&self) -> String {
        match self {
            GaveUp::Saturated(text) => text.clone(),
            GaveUp::NoEndpoint => String::from("no further endpoint is listed"),
            GaveUp::RetryBudget => String::from("the retry budget is used up"),
            GaveUp::MayHaveRun => String::from("it may have run and must not be repeated"),
            GaveUp::NoTime(left) => format!("{} ms are left", left.0),
            GaveUp::NoAttempt(attempts) => format!("the route allows {attempts} attempts"),
        }
    }
}

/// What became of the attempts of a request.
#[derive(Debug)]
struct Attempts {
    verdict: Verdict,
    last: Option<AttemptFailure>,
    sends: u32,
}

/// Runs a request at endpoints until one answers or no further attempt is allowed.
pub(crate) async fn run<A: Adapter>(
    gateway: &Rc<Gateway<A>>,
    request: RoutedRequest,
) -> Response<ResponseBody> {
    gateway.retry_budget.borrow_mut().record_request(&request.service, now());
    let mut tried = BTreeSet::new();
    let mut made = Attempts { verdict: Verdict::NotRun, last: None, sends: 0 };
    let gave_up = loop {
        let choice = match wait_for_endpoint(gateway, &request, &tried).await {
            Waited::Placed(choice) => choice,
            Waited::TooLong(text) => break GaveUp::Saturated(text),
            Waited::NoEndpoint => break GaveUp::NoEndpoint,
        };
        let is_repeat = made.sends > 0;
        let daemons = gateway.daemon_count(now());
        if is_repeat
            && !gateway.retry_budget.borrow_mut().try_spend(&request.service, daemons, now())
        {
            break GaveUp::RetryBudget;
        }
        tried.insert(choice.id.clone());
        match attempt(gateway, &request, &choice, None).await {
            Ok(EndpointResponse::Complete(answer)) => {
                finish(gateway, &request, ANSWERED, answer.status.as_str(), made.sends + 1);
                return answer.into_response();
            }
            Ok(EndpointResponse::Streaming(streaming)) => {
                return relay(gateway, request, *streaming, tried, made.sends + 1);
            }
            Err(failure) => {
                if let Some(gave_up) = made.note(failure, &request, now()) {
                    break gave_up;
                }
            }
        }
    };
    give_up(gateway, &request, made, &gave_up)
}

impl Attempts {
    /// Takes a failure; returns why no further attempt is allowed, if so.
    fn note(
        &mut self,
        failure: AttemptFailure,
        request: &RoutedRequest,
        now: Millis,
    ) -> Option<GaveUp> {
        self.sends += u32::from(failure.sent);
        self.verdict = self.verdict.combine(failure.verdict);
        let may_repeat = failure.verdict == Verdict::NotRun || request.repeat.may_run_again();
        self.last = Some(failure);
        let left = request.time_left(now);
        if !may_repeat {
            Some(GaveUp::MayHaveRun)
        } else if left <= LEAST_TIME {
            Some(GaveUp::NoTime(left))
        } else if self.sends >= request.attempts {
            Some(GaveUp::NoAttempt(request.attempts))
        } else {
            None
        }
    }
}

fn give_up<A: Adapter>(
    gateway: &Rc<Gateway<A>>,
    request: &RoutedRequest,
    made: Attempts,
    gave_up: &GaveUp,
) -> Response<ResponseBody> {
    let Attempts { verdict, last, sends } = made;
    let why = gave_up.text();
    let text = last.as_ref().map_or(why.clone(), |failure| format!("{}; {why}", failure.text));
    let subject =
        Subject { id: request.id(), route: &request.route, arrived: request.arrived, sends };
    if verdict == Verdict::NotRun {
        let was_full = last.is_some() || matches!(gave_up, GaveUp::Saturated(_));
        let reason = if was_full { Reason::Overloaded } else { Reason::NoEndpoint };
        return refuse(gateway, &subject, not_run(gateway, reason), &text);
    }
    let timed_out = last.as_ref().is_some_and(|failure| failure.timed_out);
    if let Some(answer) = last.and_then(|failure| failure.answer) {
        let text = format!("{}; {why}", answer.status.as_str());
        finish(gateway, request, "endpoint_failed", &text, sends);
        return answer.into_response();
    }
    let mut refused = Refusal::new(Reason::EndpointFailed, verdict);
    if timed_out {
        refused.status = StatusCode::GATEWAY_TIMEOUT;
    }
    refuse(gateway, &subject, refused, &text)
}

/// Returns the refusal of a request that did not run, with a time to come back.
pub(crate) fn not_run<A: Adapter>(gateway: &Gateway<A>, reason: Reason) -> Refusal {
    let spread: f64 = gateway.rng.borrow_mut().random();
    let retry_after = Some(RETRY_AFTER_LEAST + spread * RETRY_AFTER_SPREAD);
    Refusal { retry_after, ..Refusal::new(reason, Verdict::NotRun) }
}
