use crate::attempt::{Attempt, HANDOFF_ATTEMPT, Target};
use crate::executor::Executor;
use crate::job::Job;
use crate::tables::lock;
use decision::load::{Endpoint, EndpointState};

/// Explains why an attempt runs at its target; `/admin/explain` shows the text as an attribute.
pub fn attempt_reason(executor: &Executor, job: &Job, attempt: &Attempt) -> String {
    let tables = &executor.tables;
    let (data_centre, serves) = (&tables.cfg.data_centre, &job.arrival.serves);
    let scheduler = lock(&tables.scheduler);
    let endpoints = scheduler.endpoints();
    let is_usable =
        |e: &&Endpoint| e.state == EndpointState::Live && e.info.serves.contains(serves);
    let usable = endpoints.values().filter(is_usable).count();
    match &attempt.target {
        Target::DataCentre(_) if attempt.attempt == HANDOFF_ATTEMPT => {
            "this daemon stops".to_string()
        }
        Target::DataCentre(_) if usable == 0 => {
            format!("no endpoint of {data_centre} serves {serves}")
        }
        Target::DataCentre(_) => {
            format!("it would be late at the endpoints of {data_centre}")
        }
        Target::Endpoint(name) => {
            let outstanding = endpoints.get(name).map_or(0, |e| e.outstanding);
            let prefix = if attempt.attempt > 1 { "an attempt ended before; " } else { "" };
            format!(
                "{prefix}one of {usable} endpoints that serve {serves}, {outstanding} outstanding there"
            )
        }
    }
}
