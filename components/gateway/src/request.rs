use crate::adapter::Adapter;
use crate::answer::{AnswerBody, Refused};
use crate::attempt::{Answer, AttemptFailure, attempt};
use crate::clock::now;
use crate::gateway::Gateway;
use crate::job::Job;
use crate::queue::{Waited, wait_for_endpoint};
use crate::relay::relay;
use crate::serve::{finish, refuse};
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
    job: &Job,
    tried: &BTreeSet<String>,
    now: Millis,
) -> Placement {
    let Some(catalog) = gateway.catalog() else { return Placement::NoEndpoint };
    let Some(service) = catalog.service(&job.service) else { return Placement::NoEndpoint };
    let engine = service.engine;
    let directory = gateway.directory();
    let candidates = directory.of_service(&job.service).filter(|(id, _)| !tried.contains(*id)).map(
        |(id, registration)| Candidate {
            id,
            distance: gateway.adapter.distance(&registration.data_centre),
            slots: registration.slots,
            cache_tokens: engine.map_or(0, |engine| engine.cache_tokens),
        },
    );
    let draw = gateway.random.borrow_mut().random();
    let mut demand = job.demand(draw, now);
    demand.prompt = demand.prompt.filter(|_| engine.is_some());
    gateway.loads.borrow().choose(candidates, &demand, now)
}

/// Runs a request at endpoints until one answers or no further attempt is allowed.
pub(crate) async fn run<A: Adapter>(gateway: &Rc<Gateway<A>>, job: Job) -> Response<AnswerBody> {
    gateway.budget.borrow_mut().count(&job.service, now());
    let mut tried = BTreeSet::new();
    let mut sends = 0;
    let mut verdict = Verdict::NotRun;
    let mut last: Option<AttemptFailure> = None;
    let mut saturated = None;
    loop {
        let choice = match wait_for_endpoint(gateway, &job, &tried).await {
            Waited::Placed(choice) => choice,
            Waited::TooLong(text) => {
                saturated = Some(text);
                break;
            }
            Waited::NoEndpoint => break,
        };
        let is_repeat = sends > 0;
        let daemons = gateway.daemons(now());
        if is_repeat && !gateway.budget.borrow_mut().take(&job.service, daemons, now()) {
            break;
        }
        tried.insert(choice.id.clone());
        match attempt(gateway, &job, &choice, None).await {
            Ok(Answer::Whole(answer)) => {
                finish(gateway, &job, "answered", answer.status.as_str(), sends + 1);
                return answer.into_response();
            }
            Ok(Answer::Streaming(streaming)) => {
                return relay(gateway, job, *streaming, tried, sends + 1);
            }
            Err(failure) => {
                sends += u32::from(failure.sent);
                verdict = verdict.combine(failure.verdict);
                let repeatable = failure.verdict == Verdict::NotRun || job.repeat.may_run_again();
                let in_time = job.left(now()) > LEAST_TIME;
                last = Some(failure);
                if !repeatable || !in_time || sends >= job.attempts {
                    break;
                }
            }
        }
    }
    give_up(gateway, &job, verdict, last, sends, saturated)
}

fn give_up<A: Adapter>(
    gateway: &Rc<Gateway<A>>,
    job: &Job,
    verdict: Verdict,
    last: Option<AttemptFailure>,
    sends: u32,
    saturated: Option<String>,
) -> Response<AnswerBody> {
    let is_saturated = saturated.is_some();
    let unsent = saturated.unwrap_or_else(|| String::from("no endpoint is listed"));
    let text = last.as_ref().map_or(unsent, |failure| failure.text.clone());
    if verdict == Verdict::NotRun {
        let reason =
            if last.is_some() || is_saturated { Reason::Overloaded } else { Reason::NoEndpoint };
        return refuse(gateway, job.id(), &job.route, not_run(gateway, reason), &text);
    }
    let timed_out = last.as_ref().is_some_and(|failure| failure.timed_out);
    if let Some(answer) = last.and_then(|failure| failure.answer) {
        finish(gateway, job, "endpoint_failed", answer.status.as_str(), sends);
        return answer.into_response();
    }
    let mut refused = Refused::new(Reason::EndpointFailed, verdict);
    if timed_out {
        refused.status = StatusCode::GATEWAY_TIMEOUT;
    }
    refuse(gateway, job.id(), &job.route, refused, &text)
}

/// Returns the refusal of a request that did not run, with a time to come back.
pub(crate) fn not_run<A: Adapter>(gateway: &Gateway<A>, reason: Reason) -> Refused {
    let spread: f64 = gateway.random.borrow_mut().random();
    let retry_after = Some(RETRY_AFTER_LEAST + spread * RETRY_AFTER_SPREAD);
    Refused { retry_after, ..Refused::new(reason, Verdict::NotRun) }
}
