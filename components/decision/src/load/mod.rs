//! Decisions under load: admission, queue order and the choice of an endpoint.

mod admission;
mod arrival;
mod bucket;
mod call;
mod choice;
mod config;
mod dispatch;
mod effect;
mod endpoint;
mod entry;
mod floor;
mod health;
mod invariant;
mod length;
mod limits;
mod link;
mod observation;
mod peers;
mod place;
mod pool;
mod pool_load;
mod preempt;
mod queue;
mod retry;
mod scheduler;
mod share;
mod stats;

pub use arrival::{AccountLimits, Arrival, Outcome};
pub use config::{Mechanisms, SchedulerConfig};
pub use effect::Effect;
pub use endpoint::{Endpoint, EndpointInfo, EndpointReport, EndpointState};
pub use observation::Smoothed;
pub use pool_load::{DaemonLoad, PoolLoad};
pub use scheduler::Scheduler;
pub use stats::Stats;

/// The number of service tiers; a tier number above it counts as the lowest tier.
pub const TIERS: usize = 4;
