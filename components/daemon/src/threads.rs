use crate::attempt::{Attempt, finish, work};
use crate::control::{Order, send_order};
use crate::endpoints::probe_endpoints;
use crate::exchange::exchange_loads;
use crate::orders::order_models;
use crate::peers::Peers;
use crate::platform::follow;
use crate::resume::expire;
use crate::shell::{Shell, carry_out};
use crate::spans::start_export;
use crate::start_error::{StartError, ThreadSnafu};
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

/// Orders to endpoints that are sent at once.
const ORDER_WORKERS: usize = 16;

/// Starts the workers that send orders to running attempts.
pub fn start_orders(shell: &Shell, rx: Receiver<Order>) -> Result<(), StartError> {
    let shell = shell.clone();
    let pool = ThreadPool::new("order", ORDER_WORKERS, move |order| send_order(&shell, &order));
    spawn("orders", move || {
        for order in rx {
            if let Err(order) = pool.run(order) {
                log::warn!("request={} {:?} is not sent", order.id, order.kind);
            }
        }
    })
}

/// Starts the threads that follow the platform, the other daemons and the endpoints.
pub fn start_background(shell: &Shell, peers: &Arc<Peers>) -> Result<(), StartError> {
    let (follow_shell, follow_peers) = (shell.clone(), Arc::clone(peers));
    spawn("platform", move || follow(&follow_shell, &follow_peers))?;
    let (load_shell, load_peers) = (shell.clone(), Arc::clone(peers));
    spawn("loads", move || exchange_loads(&load_shell, &load_peers))?;
    spawn_with(shell, "probes", probe_endpoints)?;
    spawn_with(shell, "models", order_models)?;
    spawn_with(shell, "sweep", sweep_records)?;
    spawn_with(shell, "tick", tick)
}

/// Starts the export of spans, if there is a collector.
pub fn start_spans(shell: &Shell) -> Result<(), StartError> {
    let Some(collector) = shell.tables.cfg.spans else { return Ok(()) };
    let queue = shell.tables.spans.queue();
    spawn("spans", move || {
        if let Err(e) = start_export(queue, collector) {
            log::error!("spans to {collector}: {e}");
        }
    })
}

/// Starts the workers that run attempts.
pub fn start_attempts(shell: &Shell, rx: Receiver<Attempt>) -> Result<(), StartError> {
    let (work_shell, shell) = (shell.clone(), shell.clone());
    // Abandoned requests may still hold a worker while new ones start.
    let limit = 2 * shell.tables.cfg.callers;
    let pool = ThreadPool::new("attempt", limit, move |a: Attempt| work(&work_shell, &a));
    spawn("attempts", move || {
        for attempt in rx {
            if let Err(attempt) = pool.run(attempt) {
                let Some(job) = shell.tables.job(attempt.request) else { continue };
                let refusal = Refusal::not_run(Reason::Overloaded, "every worker is busy");
                finish(&shell, &job, &attempt, Err(refusal.retry_after(1_000)));
            }
        }
    })
}

fn tick(shell: &Shell) {
    let mut ticks = 0u64;
    loop {
        thread::sleep(TICK_INTERVAL);
        let effects = lock(&shell.tables.scheduler).tick(shell.tables.now());
        carry_out(shell, effects);
        ticks += 1;
        if ticks.is_multiple_of(EXPIRE_INTERVAL_TICKS) {
            expire(shell);
        }
    }
}

fn spawn_with(shell: &Shell, name: &str, run: fn(&Shell)) -> Result<(), StartError> {
    let shell = shell.clone();
    spawn(name, move || run(&shell))
}

/// Starts a thread.
pub fn spawn<F: FnOnce() + Send + 'static>(name: &str, f: F) -> Result<(), StartError> {
    thread::Builder::new().name(name.to_string()).spawn(f).context(ThreadSnafu { name })?;
    Ok(())
}
