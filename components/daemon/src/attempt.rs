use crate::engine::run_attempt;
use crate::stream::End;
use crate::tables::{Tables, lock, lock_read};
use decision::load::{Effect, Outcome};
use errors::{Reason, Refusal, Verdict};
use std::sync::Arc;

/// One attempt at a request, for a worker.
#[derive(Debug)]
pub struct Attempt {
    /// The number of the request.
    pub request: u64,
    /// The number of the attempt, from 1.
    pub attempt: u32,
    /// The name of the endpoint.
    pub endpoint: String,
}

/// The shared tables and the way to start attempts.
#[derive(Clone)]
pub struct Shell {
    /// The shared tables.
    pub tables: Arc<Tables>,
    /// Starts attempts.
    pub attempts: crossbeam::channel::Sender<Attempt>,
}

/// Does what the scheduler decided.
pub fn carry_out(shell: &Shell, effects: Vec<Effect>) {
    for effect in effects {
        match effect {
            Effect::Dispatch { request, attempt, endpoint } => {
                // The receiver lives as long as the daemon.
                let _ = shell.attempts.send(Attempt { request, attempt, endpoint });
            }
            Effect::Refuse { request, refusal } => refuse(&shell.tables, request, refusal),
            Effect::Forward { .. }
            | Effect::Pause { .. }
            | Effect::Resume { .. }
            | Effect::Cancel { .. } => {}
        }
    }
}

fn refuse(tables: &Tables, request: u64, refusal: Refusal) {
    let job = lock(&tables.jobs).remove(&request);
    let Some(job) = job else { return };
    log::info!("request={} refused {refusal}", job.id);
    job.stream.end(End::Refused(refusal));
}

/// Runs one attempt and tells the scheduler how it ended.
pub fn work(shell: &Shell, attempt: &Attempt) {
    let tables = &shell.tables;
    let Some(job) = tables.job(attempt.request) else { return };
    let address = lock_read(&tables.addresses).get(&attempt.endpoint).copied();
    log::info!("request={} attempt={} to={}", job.id, attempt.attempt, attempt.endpoint);
    let result = match address {
        Some(address) => run_attempt(&job, attempt, address),
        None => Err(Refusal::not_run(Reason::NoEndpoint, attempt.endpoint.clone())),
    };
    let outcome = match result {
        Ok(()) => Outcome::Done,
        Err(refusal) => {
            log::warn!("request={} attempt={} {refusal}", job.id, attempt.attempt);
            Outcome::Failed(refusal.verdict)
        }
    };
    let effects = lock(&tables.scheduler).finish(attempt.request, outcome, tables.now());
    if outcome == Outcome::Done {
        lock(&tables.jobs).remove(&attempt.request);
        job.stream.end(End::Whole);
    }
    carry_out(shell, effects);
    debug_assert!(outcome != Outcome::Failed(Verdict::Ran), "a failed attempt did not run");
}
