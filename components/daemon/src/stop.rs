use crate::attempt::{Attempt, HANDOFF_ATTEMPT, Target};
use crate::executor::{Executor, start_attempt};
use crate::requests::has_unfinished_responses;
use crate::tables::{lock, lock_read};
use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

const CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// The time for which readiness is off before the listener may close.
const READINESS_NOTICE: Duration = Duration::from_millis(500);

/// Takes no new work, hands over what waits and lets streams finish.
pub fn stop_gracefully(executor: &Executor) {
    let tables = &executor.tables;
    let started = Instant::now();
    let limit = Duration::from_millis(tables.cfg.stop_timeout_ms);
    log::info!("stopping");
    tables.stopping.store(true, Ordering::Relaxed);
    hand_off_waiting(executor);
    while started.elapsed() < limit
        && (started.elapsed() < READINESS_NOTICE || has_unfinished_responses(tables))
    {
        thread::sleep(CHECK_INTERVAL);
    }
    let left = lock(&tables.jobs).open.len();
    log::info!("stopped with {left} requests in progress");
}

/// Hands waiting requests to another daemon of this data centre, if there is one.
fn hand_off_waiting(executor: &Executor) {
    let tables = &executor.tables;
    let data_centre = &tables.cfg.data_centre;
    let has_peer = lock_read(&tables.peers).values().any(|p| p.data_centre == *data_centre);
    if !has_peer {
        return;
    }
    let open: Vec<u64> = lock(&tables.jobs).open.keys().copied().collect();
    for request in open {
        let Some(job) = tables.job(request) else { continue };
        let mut scheduler = lock(&tables.scheduler);
        if job.stream.is_running() || job.stream.ended().is_some() {
            continue;
        }
        // The lock keeps the scheduler from dispatching the request meanwhile.
        let effects = scheduler.abandon(request, tables.now());
        debug_assert!(effects.is_empty(), "a waiting request frees no endpoint");
        drop(scheduler);
        log::info!("request={} handed over", job.id);
        let target = Target::DataCentre(data_centre.clone());
        start_attempt(executor, Attempt { request, attempt: HANDOFF_ATTEMPT, target });
    }
}
