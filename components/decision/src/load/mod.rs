//! Decisions under load: admission, queue order and the choice of an endpoint.

mod arrival;
mod effect;
mod endpoint;
mod pool_load;
mod scheduler;

pub use arrival::{AccountLimits, Arrival, Outcome};
pub use effect::Effect;
pub use endpoint::{Endpoint, EndpointInfo, EndpointReport, EndpointState};
pub use pool_load::{DaemonLoad, PoolLoad};
pub use scheduler::{Scheduler, SchedulerConfig};

/// The number of service tiers; a lower one counts as the lowest.
pub const TIERS: usize = 4;
