use crate::attempt::{Attempt, Target};
use crate::job::{Job, RunningAttempt};
use crate::outcome::end_job;
use crate::stream::StreamEnd;
use crate::stream_orders::{Order, OrderKind};
use crate::tables::{Tables, lock};
use crossbeam::channel::Sender;
use decision::load::Effect;
use errors::Refusal;
use std::sync::Arc;

/// Carries out the effects that the scheduler decides on.
#[derive(Clone)]
pub struct Executor {
    pub tables: Arc<Tables>,
    /// The queue of the attempt workers.
    pub attempts: Sender<Attempt>,
    /// The queue of orders to running attempts.
    pub orders: Sender<Order>,
}

/// Adds a request and passes it to the scheduler; from here on it always ends with a response or a
/// refusal.
pub fn submit(executor: &Executor, job: Job) -> Arc<Job> {
    let tables = &executor.tables;
    let job = Arc::new(job);
    tables.add_job(&job);
    let effects = lock(&tables.scheduler).arrive(job.arrival.clone(), tables.now());
    execute_effects(executor, effects);
    job
}

pub fn execute_effects(executor: &Executor, effects: Vec<Effect>) {
    for effect in effects {
        match effect {
            Effect::Dispatch { request, attempt, endpoint } => {
                start_attempt(
                    executor,
                    Attempt { request, attempt, target: Target::Endpoint(endpoint) },
                );
            }
            Effect::Forward { request, attempt, data_centre } => {
                start_attempt(
                    executor,
                    Attempt { request, attempt, target: Target::DataCentre(data_centre) },
                );
            }
            Effect::Refuse { request, refusal } => refuse(&executor.tables, request, refusal),
            Effect::Pause { request } => queue_order(executor, request, OrderKind::Pause),
            Effect::Resume { request } => queue_order(executor, request, OrderKind::Resume),
            Effect::Cancel { request } => queue_order(executor, request, OrderKind::Cancel),
        }
    }
}

/// Makes an attempt the live one of its request and queues it for a worker.
pub fn start_attempt(executor: &Executor, attempt: Attempt) {
    let Some(job) = executor.tables.job(attempt.request) else { return };
    job.stream.begin_attempt(attempt.attempt);
    let running = RunningAttempt { attempt: attempt.attempt, target: attempt.target.clone() };
    *lock(&job.running) = Some(running);
    // Sending cannot fail: the receiver lives as long as the daemon.
    let _ = executor.attempts.send(attempt);
}

/// Queues an order to the running attempt of a request; `Cancel` also ends the attempt here at
/// once.
pub fn queue_order(executor: &Executor, request: u64, kind: OrderKind) {
    let Some(job) = executor.tables.job(request) else { return };
    let running = lock(&job.running).clone();
    let Some(running) = running else { return };
    if kind == OrderKind::Cancel && !job.stream.end_attempt(running.attempt) {
        return;
    }
    // Sending cannot fail: the receiver lives as long as the daemon.
    let _ = executor.orders.send(Order { id: job.id.clone(), kind, target: running.target });
}

fn refuse(tables: &Tables, request: u64, refusal: Refusal) {
    let Some(job) = tables.job(request) else { return };
    log::info!("request={} refused {refusal}", job.id);
    end_job(tables, &job, StreamEnd::Refused(refusal));
}
