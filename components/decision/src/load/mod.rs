//! Decisions under load: admission, queue order, preemption and the choice of an endpoint.
//!
//! A pool consists of the endpoints that serve one model or plain service. A slot is the capacity
//! of an endpoint for one concurrent stream. The daemons of a data centre divide a pool's slots
//! into shares according to the load that they report to each other.

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

/// The number of service tiers; a higher tier number counts as the lowest tier, 0 as the highest.
pub const TIERS: usize = 4;
