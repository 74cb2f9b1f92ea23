use crate::adapter::Adapter;
use crate::attempt::{AttemptFailure, EndpointResponse, attempt};
use crate::brittle::BrittleRoom;
use crate::clock::now;
use crate::contents::judge;
use crate::gateway::Gateway;
use crate::queue::{WaitOutcome, wait_for_endpoint};
use crate::relay::relay;
use crate::relayed_request::{RelayOutcome, relay_request};
use crate::response::{Refusal, ResponseBody};
use crate::routed_request::RoutedRequest;
use crate::serve::{ANSWERED, FinishedRequest, RefusedRequest, finish, refuse};
use decision::Millis;
use decision::routing::{
    Candidate, Condemnation, Distance, Judgement, Placement, Registration, WaitLimits,
};
use errors::{Reason, Verdict};
use http::{Response, StatusCode};
use rand::RngExt;
use std::collections::BTreeSet;
use std::rc::Rc;

/// Minimum time left for a further attempt; with less, it could not complete.
const MIN_TIME_LEFT: Millis = Millis(50);
/// Minimum retry-after time.
const RETRY_AFTER_MIN_SECONDS: f64 = 0.2;
/// Maximum random addition to the retry-after time, so that clients do not retry simultaneously.
const RETRY_AFTER_JITTER_SECONDS: f64 = 0.6;

/// Selects an endpoint for a request among those that were not tried yet.
pub(crate) fn place<A: Adapter>(
    gateway: &Gateway<A>,
    request: &RoutedRequest,
    limits: WaitLimits,
    tried: &BTreeSet<String>,
    now: Millis,
) -> Placement {
    let Some(catalog) = gateway.catalog() else { return Placement::NoEndpoint };
    let Some(service) = catalog.service(&request.service) else { return Placement::NoEndpoint };
    let engine = service.engine;
    let max_in_flight = gateway.connection_budget(service, now).running;
    let directory = gateway.directory();
    let stated_limits = gateway.limits.borrow();
    let prompt = request.prompt.as_ref();
    let brittle_room = BrittleRoom::new(gateway, &directory, &request.service, prompt, now);
    let may_go_on = |registration: &Registration| {
        let origin = request.origin.as_ref();
        origin.is_none_or(|origin| origin.version == registration.software_version)
    };
    let untried = directory
        .of_service(&request.service)
        .filter(|(id, registration)| !tried.contains(*id) && may_go_on(registration));
    let candidates = untried.map(|(id, registration)| {
        let distance = gateway.adapter.distance(&registration.data_centre);
        let has_room =
            brittle_room.as_ref().is_none_or(|room| room.admits(gateway, id, registration, now));
        let is_admitted =
            has_room && stated_limits.admits(id, distance == Distance::DataCentre, now);
        Candidate {
            id,
            distance,
            slots: registration.slots,
            max_in_flight: if is_admitted { max_in_flight } else { 0 },
            cache_tokens: engine.map_or(0, |engine| engine.cache_tokens),
            fetch_rate: engine.map_or(0, |engine| engine.fetch_rate),
        }
    });
    let tie_breaker = gateway.rng.borrow_mut().random();
    let mut demand = request.demand(limits.budget(now), tie_breaker);
    demand.prompt = demand.prompt.filter(|_| engine.is_some());
    gateway.loads.borrow().choose(candidates, &demand, now)
}

/// Maximum retry-after time while this daemon stops.
const STOPPING_RETRY_AFTER_SECONDS: f64 = 0.2;

/// Why no further attempt is made for a request.
#[derive(Debug)]
enum StopReason {
    /// No endpoint could start the request in time; the text states the wait.
    Saturated(String),
    NoEndpoint,
    /// The request, or a part of its prompt, crashes endpoints.
    Condemned(Condemnation),
    /// The request may be what crashed its endpoint, as others like it did before.
    Suspected,
    RetryBudgetExhausted,
    MayHaveRun,
    DeadlineTooClose(Millis),
    AttemptsExhausted(u32),
}

impl StopReason {
    fn text(&self) -> String {
        match self {
            StopReason::Saturated(text) => text.clone(),
            StopReason::NoEndpoint => String::from("no further endpoint is registered"),
            StopReason::Condemned(condemnation) => condemnation_text(condemnation),
            StopReason::Suspected => {
                String::from("endpoints crashed under such requests before; not sent to another")
            }
            StopReason::RetryBudgetExhausted => String::from("retry budget exhausted"),
            StopReason::MayHaveRun => String::from("request may have run and must not be repeated"),
            StopReason::DeadlineTooClose(left) => {
                format!("{} ms left until the deadline, too little for another attempt", left.0)
            }
            StopReason::AttemptsExhausted(attempts) => {
                format!("all {attempts} attempts that the route allows were made")
            }
        }
    }
}

fn condemnation_text(condemnation: &Condemnation) -> String {
    format!(
        "requests with content {} crashed {} endpoints, the last {} ms ago: {}",
        condemnation.content,
        condemnation.endpoints.len(),
        condemnation.last_crash_age.0,
        condemnation.endpoints.join(", ")
    )
}

/// Summary of the failed attempts of one request.
#[derive(Debug)]
struct Attempts {
    /// Whether the request may have run in any of them.
    verdict: Verdict,
    last_failure: Option<AttemptFailure>,
    /// Attempts that may have reached an endpoint.
    sends: u32,
}

/// Sends a request to endpoints until one responds or no further attempt is allowed.
async fn dispatch<A: Adapter>(
    gateway: &Rc<Gateway<A>>,
    request: RoutedRequest,
) -> Response<ResponseBody> {
    if gateway.was_cut_off.get()
        && let Some(response) = relay_if_cut_off(gateway, &request).await
    {
        return response;
    }
    gateway.retry_budget.borrow_mut().record_request(&request.service, now());
    let mut tried = BTreeSet::new();
    let mut attempts_made = Attempts { verdict: Verdict::NotRun, last_failure: None, sends: 0 };
    let stop_reason = loop {
        let limits = request.wait_limits(&tried, now());
        let choice = match wait_for_endpoint(gateway, &request, limits, &tried).await {
            WaitOutcome::Placed(choice) => choice,
            WaitOutcome::TimedOut(text) => break StopReason::Saturated(text),
            WaitOutcome::NoEndpoint => break StopReason::NoEndpoint,
            WaitOutcome::Condemned(condemnation) => break StopReason::Condemned(condemnation),
        };
        let is_retry = attempts_made.sends > 0;
        let daemons = gateway.daemon_count(now());
        if is_retry
            && !gateway.retry_budget.borrow_mut().try_spend(&request.service, daemons, now())
        {
            break StopReason::RetryBudgetExhausted;
        }
        tried.insert(choice.id.clone());
        match attempt(gateway, &request, &choice, None).await {
            Ok(EndpointResponse::Complete(response)) => {
                let finished = FinishedRequest {
                    result: ANSWERED,
                    text: response.status.as_str(),
                    sends: attempts_made.sends + 1,
                    ..FinishedRequest::default()
                };
                finish(gateway, &request, &finished);
                return response.into_response();
            }
            Ok(EndpointResponse::Streaming(streaming)) => {
                return relay(gateway, request, *streaming, tried, attempts_made.sends + 1);
            }
            Err(failure) => {
                let is_broken = failure.is_broken();
                let stop_reason = attempts_made.record_failure(failure, &request, now());
                request.may_have_run.set(attempts_made.verdict != Verdict::NotRun);
                if let Some(stop_reason) = stop_reason {
                    break stop_reason;
                }
                if is_broken && judge(gateway, &request, now()) == Judgement::Suspected {
                    break StopReason::Suspected;
                }
            }
        }
    };
    if attempts_made.verdict == Verdict::NotRun
        && let Some(response) = relay_if_cut_off(gateway, &request).await
    {
        return response;
    }
    respond_without_success(gateway, &request, attempts_made, &stop_reason)
}

/// Sends a request to endpoints as [`dispatch`] does, and answers it when the daemon exits before.
pub(crate) async fn dispatch_until_exit<A: Adapter>(
    gateway: &Rc<Gateway<A>>,
    request: RoutedRequest,
) -> Response<ResponseBody> {
    let may_have_run = request.may_have_run.clone();
    let (id, route, arrived) = (request.id().to_owned(), request.route.clone(), request.arrived);
    tokio::select! {
        response = dispatch(gateway, request) => return response,
        () = gateway.shutdown.final_answers_due() => {}
    }
    let sends = u32::from(may_have_run.get());
    let refused_request = RefusedRequest { id: &id, route: &route, arrived, sends };
    let refusal = match may_have_run.get() {
        true => Refusal::new(Reason::EndpointFailed, Verdict::MayHaveRun),
        false => stopping_refusal(gateway),
    };
    refuse(gateway, &refused_request, refusal, "daemon exits before the request has ended")
}

/// Passes a request on to another daemon if this one reaches no endpoint. Returns `None` if the
/// request was not passed on.
async fn relay_if_cut_off<A: Adapter>(
    gateway: &Rc<Gateway<A>>,
    request: &RoutedRequest,
) -> Option<Response<ResponseBody>> {
    if request.is_relayed || !gateway.is_cut_off() {
        return None;
    }
    request.may_have_run.set(true);
    match relay_request(gateway, request).await {
        RelayOutcome::Answered(response) => Some(*response),
        RelayOutcome::NotSent => {
            request.may_have_run.set(false);
            None
        }
        RelayOutcome::Broken(text) => {
            let refused_request = RefusedRequest {
                id: request.id(),
                route: &request.route,
                arrived: request.arrived,
                sends: 1,
            };
            let refusal = Refusal::new(Reason::EndpointFailed, Verdict::MayHaveRun);
            Some(refuse(gateway, &refused_request, refusal, &text))
        }
    }
}

impl Attempts {
    /// Records a failed attempt. Returns the reason if no further attempt is allowed.
    fn record_failure(
        &mut self,
        failure: AttemptFailure,
        request: &RoutedRequest,
        now: Millis,
    ) -> Option<StopReason> {
        self.sends += u32::from(failure.sent);
        self.verdict = self.verdict.combine(failure.verdict);
        let may_retry = failure.verdict == Verdict::NotRun || request.repeat.may_run_again();
        self.last_failure = Some(failure);
        let left = request.time_left(now);
        if !may_retry {
            Some(StopReason::MayHaveRun)
        } else if left <= MIN_TIME_LEFT {
            Some(StopReason::DeadlineTooClose(left))
        } else if self.sends >= request.max_attempts {
            Some(StopReason::AttemptsExhausted(request.max_attempts))
        } else {
            None
        }
    }
}

fn respond_without_success<A: Adapter>(
    gateway: &Rc<Gateway<A>>,
    request: &RoutedRequest,
    attempts_made: Attempts,
    stop_reason: &StopReason,
) -> Response<ResponseBody> {
    let Attempts { verdict, last_failure, sends } = attempts_made;
    let mut reason_text = stop_reason.text();
    if let Some(origin) = &request.origin {
        reason_text = format!("{reason_text} at software version {}", origin.version);
    }
    let text = last_failure
        .as_ref()
        .map_or(reason_text.clone(), |failure| format!("{}; {reason_text}", failure.text));
    let refused_request =
        RefusedRequest { id: request.id(), route: &request.route, arrived: request.arrived, sends };
    if verdict == Verdict::NotRun
        && let StopReason::Condemned(condemnation) = stop_reason
    {
        let retry_after = Some(condemnation.retry_after.0 as f64 / 1_000.0);
        let refusal = Refusal::new(Reason::CrashesEndpoints, Verdict::NotRun);
        return refuse(gateway, &refused_request, Refusal { retry_after, ..refusal }, &text);
    }
    if verdict == Verdict::NotRun {
        let had_endpoint =
            last_failure.is_some() || matches!(stop_reason, StopReason::Saturated(_));
        let reason = match (had_endpoint, &request.origin) {
            (true, _) => Reason::Overloaded,
            (false, Some(_)) => Reason::CannotResume,
            (false, None) => Reason::NoEndpoint,
        };
        if matches!(reason, Reason::Overloaded | Reason::NoEndpoint) {
            gateway.demand.borrow_mut().record_refusal(&request.service);
        }
        let mut refusal = not_run_refusal(gateway, reason);
        let limit_wait = limit_wait(gateway, &request.service, now()).map(|wait| wait.0 as f64);
        refusal.retry_after =
            refusal.retry_after.map(|seconds| seconds + limit_wait.unwrap_or(0.0) / 1_000.0);
        return refuse(gateway, &refused_request, refusal, &text);
    }
    let timed_out = last_failure.as_ref().is_some_and(|failure| failure.timed_out);
    if let Some(response) = last_failure.and_then(|failure| failure.response) {
        let text = format!("{}; {reason_text}", response.status.as_str());
        let finished = FinishedRequest {
            result: "endpoint_failed",
            text: &text,
            sends,
            ..FinishedRequest::default()
        };
        finish(gateway, request, &finished);
        return response.into_response();
    }
    let mut refusal = Refusal::new(Reason::EndpointFailed, verdict);
    if timed_out {
        refusal.status = StatusCode::GATEWAY_TIMEOUT;
    }
    refuse(gateway, &refused_request, refusal, &text)
}

/// The time until this daemon may send a request to an endpoint of a service all of whose endpoints
/// state limits; `None` if that is unknown or one of them states none.
fn limit_wait<A: Adapter>(gateway: &Gateway<A>, service: &str, now: Millis) -> Option<Millis> {
    let directory = gateway.directory();
    let limits = gateway.limits.borrow();
    let waits = directory.of_service(service).filter_map(|(id, registration)| {
        let distance = gateway.adapter.distance(&registration.data_centre);
        limits.wait(id, distance == Distance::DataCentre, now)
    });
    waits.min()
}

/// Builds the refusal of a request that did not run because this daemon stops. Others can serve it at
/// once.
pub(crate) fn stopping_refusal<A: Adapter>(gateway: &Gateway<A>) -> Refusal {
    let jitter: f64 = gateway.rng.borrow_mut().random();
    let retry_after = Some(jitter * STOPPING_RETRY_AFTER_SECONDS);
    Refusal { retry_after, ..Refusal::new(Reason::NotReady, Verdict::NotRun) }
}

/// Builds the refusal of a request that did not run, with a random retry-after time.
pub(crate) fn not_run_refusal<A: Adapter>(gateway: &Gateway<A>, reason: Reason) -> Refusal {
    let jitter: f64 = gateway.rng.borrow_mut().random();
    let retry_after = Some(RETRY_AFTER_MIN_SECONDS + jitter * RETRY_AFTER_JITTER_SECONDS);
    Refusal { retry_after, ..Refusal::new(reason, Verdict::NotRun) }
}
