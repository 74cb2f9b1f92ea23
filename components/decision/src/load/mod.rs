//! Decisions under load: admission, queue order and the choice of an endpoint.

mod effect;
mod endpoint;
mod scheduler;

pub use effect::Effect;
pub use endpoint::{Endpoint, EndpointInfo, EndpointReport, EndpointState};
pub use scheduler::{Arrival, Outcome, Scheduler, SchedulerConfig};
