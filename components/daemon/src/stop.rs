use crate::attempt::{Attempt, HANDOFF_ATTEMPT, Target};
use crate::executor::{Executor, start_attempt};
use crate::requests::has_unfinished_responses;
use crate::tables::{lock, lock_read};
use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

const CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Minimum time between the loss of readiness and the close of the listener.
const MIN_UNREADY_TIME: Duration = Duration::from_millis(500);

/// Stops accepting requests, hands off those that wait and lets streams finish within the stop
/// timeout.
pub fn stop_gracefully(executor: &Executor) {
    let tables = &executor.tables;
    let started = Instant::now();
    let timeout = Duration::from_millis(tables.cfg.stop_timeout_ms);
    log::info!("stopping: accepting no new requests");
    tables.stopping.store(true, Ordering::Relaxed);
    hand_off_waiting(executor);
    while started.elapsed() < timeout
        && (started.elapsed() < MIN_UNREADY_TIME || has_unfinished_responses(tables))
    {
        thread::sleep(CHECK_INTERVAL);
    }
    let unfinished = lock(&tables.jobs).open.len();
    log::info!("stopped with {unfinished} requests in progress");
}

/// Hands off waiting requests to another daemon of this data centre, if there is one.
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
        // The scheduler lock is taken before the check above, so that the request is not dispatched
        // in between.
        let effects = scheduler.abandon(request, tables.now());
        debug_assert!(effects.is_empty(), "abandoning a waiting request must have no effects");
        drop(scheduler);
        log::info!("request={} handed off to another daemon", job.id);
        let target = Target::DataCentre(data_centre.clone());
        start_attempt(executor, Attempt { request, attempt: HANDOFF_ATTEMPT, target });
    }
}
