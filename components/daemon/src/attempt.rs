use crate::engine::run_on_endpoint;
use crate::executor::{Executor, execute_effects};
use crate::forward_client::run_on_peer;
use crate::job::Job;
use crate::outcome::end_job;
use crate::reason::attempt_reason;
use crate::spans::Span;
use crate::stream::StreamEnd;
use crate::tables::lock;
use decision::load::Outcome;
use errors::{Refusal, Verdict};
use std::sync::Arc;

/// The place where an attempt runs.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Target {
    /// The named endpoint of this data centre.
    Endpoint(String),
    /// Any daemon of the named data centre, which runs the request at one of its endpoints.
    DataCentre(String),
}

/// One attempt at a request, queued for a worker.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// The number of the job.
    pub request: u64,
    /// Counts from 1 within the request; `HANDOFF_ATTEMPT` marks a hand-off.
    pub attempt: u32,
    pub target: Target,
}

/// The attempt number with which a stopping daemon hands off a waiting request.
pub const HANDOFF_ATTEMPT: u32 = u32::MAX;

/// Runs one attempt to its end and reports the outcome to the scheduler.
pub fn run_attempt(executor: &Executor, attempt: &Attempt) {
    let Some(job) = executor.tables.job(attempt.request) else { return };
    if !job.stream.is_live(attempt.attempt) {
        return;
    }
    log::info!("request={} attempt={} to={:?}", job.id, attempt.attempt, attempt.target);
    let mut span = Span::start("attempt", &job.trace);
    span.set("attempt", attempt.attempt);
    span.set("offset", job.stream.offset());
    span.set("reason", attempt_reason(executor, &job, attempt));
    span.set("waited_ms", executor.tables.now().since(job.arrived).0);
    let result = match &attempt.target {
        Target::Endpoint(name) => {
            span.set("endpoint", name);
            run_on_endpoint(executor, &job, attempt, name, span.id)
        }
        Target::DataCentre(name) => {
            span.set("data_centre", name);
            run_on_peer(executor, &job, attempt, name, span.id)
        }
    };
    match &result {
        Ok(()) => span.set("outcome", "whole"),
        Err(refusal) => span.set("outcome", refusal),
    }
    span.close(&executor.tables.spans, &job.id);
    finish_attempt(executor, &job, attempt, result);
}

/// Reports the outcome of an attempt to the scheduler, unless the attempt is no longer the live
/// one.
pub fn finish_attempt(
    executor: &Executor,
    job: &Arc<Job>,
    attempt: &Attempt,
    result: Result<(), Refusal>,
) {
    let tables = &executor.tables;
    if !job.stream.end_attempt(attempt.attempt) {
        log::info!(
            "request={} attempt={} is no longer live; its outcome is ignored",
            job.id,
            attempt.attempt
        );
        return;
    }
    *lock(&job.running) = None;
    if let Err(refusal) = &result {
        log::warn!("request={} attempt={} failed: {refusal}", job.id, attempt.attempt);
    }
    if attempt.attempt == HANDOFF_ATTEMPT {
        end_job(tables, job, result.map_or_else(StreamEnd::Refused, |()| StreamEnd::Complete));
        return;
    }
    let outcome = match &result {
        Ok(()) => Outcome::Done,
        Err(refusal) => Outcome::Failed(refusal.verdict),
    };
    debug_assert!(
        outcome != Outcome::Failed(Verdict::Ran),
        "a failed attempt must not have the verdict ran"
    );
    // A tick may have given up on this attempt just now and started another one.
    let effects = lock(&tables.scheduler).finish_attempt(
        attempt.request,
        attempt.attempt,
        outcome,
        tables.now(),
    );
    // Before the job ends, as a newer attempt of it can be cancelled only until then.
    execute_effects(executor, effects);
    if outcome == Outcome::Done {
        end_job(tables, job, StreamEnd::Complete);
    }
}
