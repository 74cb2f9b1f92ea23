use crate::duty::{Duty, DutyScope};
use crate::executor::Executor;
use crate::tables::Tables;
use decision::Millis;
use decision::execution::Sweep;
use decision::orders::LeaseConfig;
use std::thread;
use std::time::Duration;
use store::StoreError;
use utils::unix_time_ms;

const STEP_INTERVAL: Duration = Duration::from_millis(200);

/// Interval of deletions, which keeps them far below the store's rate limit.
const DELETE_INTERVAL: Duration = Duration::from_millis(20);

/// Deletes the records of expired idempotency keys while this daemon owns the duty.
pub fn sweep_records(executor: &Executor) {
    let tables = &executor.tables;
    let cfg = LeaseConfig {
        term: Millis(120_000),
        renew_interval: Millis(30_000),
        max_drift: Millis(2_000),
        ..LeaseConfig::default()
    };
    let mut duty = Duty::new(tables, "sweep", cfg, DutyScope::All);
    let mut sweep = Sweep::default();
    while !tables.is_stopping() {
        duty.acquire_or_renew(tables);
        if let Err(e) = sweep_once(tables, &mut duty, &mut sweep) {
            log::debug!("sweep of execution records interrupted; it is retried: {e}");
        }
        thread::sleep(STEP_INTERVAL);
    }
    duty.release(tables);
}

fn sweep_once(tables: &Tables, duty: &mut Duty, sweep: &mut Sweep) -> Result<(), StoreError> {
    if !duty.is_owner(tables.now()) {
        *sweep = Sweep::default();
        return Ok(());
    }
    let Some(span) = sweep.due(&tables.records.key_policy(), Millis(unix_time_ms())) else {
        return Ok(());
    };
    for (name, version) in tables.records.list(span)? {
        duty.acquire_or_renew(tables);
        if !duty.is_owner(tables.now()) || tables.is_stopping() {
            return Ok(());
        }
        match tables.records.delete(&name, version) {
            Ok(()) | Err(StoreError::Conflict { .. }) => {}
            Err(e) => return Err(e),
        }
        thread::sleep(DELETE_INTERVAL);
    }
    sweep.finish(span);
    Ok(())
}
