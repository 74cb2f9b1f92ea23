use crate::attempt::{Attempt, finish_attempt, run_attempt};
use crate::endpoints::probe_endpoints;
use crate::executor::{Executor, execute_effects};
use crate::load_gossip::gossip_loads;
use crate::model_orders::order_models;
use crate::peers::Peers;
use crate::platform::poll_instances;
use crate::requests::expire_requests;
use crate::spans::export_spans;
use crate::start_error::{StartError, ThreadSnafu};
use crate::stream_orders::{Order, send_order};
use crate::sweep::sweep_records;
use crate::tables::lock;
use crossbeam::channel::Receiver;
use errors::{Reason, Refusal};
use snafu::ResultExt;
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use utils::ThreadPool;

const TICK_INTERVAL: Duration = Duration::from_millis(50);
const EXPIRE_INTERVAL_TICKS: u64 = 4;

/// Maximum number of orders that are sent to endpoints concurrently.
const ORDER_WORKERS: usize = 16;

/// Starts the threads that send orders to running attempts.
pub fn start_orders(executor: &Executor, rx: Receiver<Order>) -> Result<(), StartError> {
    let executor = executor.clone();
    let pool = ThreadPool::new("order", ORDER_WORKERS, move |order| send_order(&executor, &order));
    spawn("orders", move || {
        for order in rx {
            if let Err(order) = pool.run(order) {
                log::warn!(
                    "request={} {:?} order dropped: no order worker is free",
                    order.id,
                    order.kind
                );
            }
        }
    })
}

/// Starts the background threads, which run until the daemon stops or the process ends.
pub fn start_background(executor: &Executor, peers: &Arc<Peers>) -> Result<(), StartError> {
    let (poll_executor, poll_peers) = (executor.clone(), Arc::clone(peers));
    spawn("platform", move || poll_instances(&poll_executor, &poll_peers))?;
    let (load_executor, load_peers) = (executor.clone(), Arc::clone(peers));
    spawn("loads", move || gossip_loads(&load_executor, &load_peers))?;
    spawn_with(executor, "probes", probe_endpoints)?;
    spawn_with(executor, "models", order_models)?;
    spawn_with(executor, "sweep", sweep_records)?;
    spawn_with(executor, "tick", run_ticks)
}

/// Starts the thread that exports spans, if a collector is configured.
pub fn start_spans(executor: &Executor) -> Result<(), StartError> {
    let Some(collector) = executor.tables.cfg.spans else { return Ok(()) };
    let queue = executor.tables.spans.export_queue();
    spawn("spans", move || {
        if let Err(e) = export_spans(queue, collector) {
            log::error!("cannot start the export of spans to {collector}: {e}");
        }
    })
}

/// Starts the threads that run attempts.
pub fn start_attempts(executor: &Executor, rx: Receiver<Attempt>) -> Result<(), StartError> {
    let (run_executor, executor) = (executor.clone(), executor.clone());
    // Twice the callers, since an abandoned request may hold a worker while a new one starts.
    let limit = 2 * executor.tables.cfg.callers;
    let pool = ThreadPool::new("attempt", limit, move |a: Attempt| run_attempt(&run_executor, &a));
    spawn("attempts", move || {
        for attempt in rx {
            if let Err(attempt) = pool.run(attempt) {
                let Some(job) = executor.tables.job(attempt.request) else { continue };
                let refusal = Refusal::not_run(Reason::Overloaded, "every worker is busy");
                finish_attempt(&executor, &job, &attempt, Err(refusal.retry_after(1_000)));
            }
        }
    })
}

fn run_ticks(executor: &Executor) {
    let mut ticks = 0u64;
    loop {
        thread::sleep(TICK_INTERVAL);
        let effects = lock(&executor.tables.scheduler).tick(executor.tables.now());
        execute_effects(executor, effects);
        ticks += 1;
        if ticks.is_multiple_of(EXPIRE_INTERVAL_TICKS) {
            expire_requests(executor);
        }
    }
}

fn spawn_with(executor: &Executor, name: &str, run: fn(&Executor)) -> Result<(), StartError> {
    let executor = executor.clone();
    spawn(name, move || run(&executor))
}

/// Starts a detached named thread.
pub fn spawn<F: FnOnce() + Send + 'static>(name: &str, f: F) -> Result<(), StartError> {
    thread::Builder::new().name(name.to_string()).spawn(f).context(ThreadSnafu { name })?;
    Ok(())
}
