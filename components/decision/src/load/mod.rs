//! Decisions under load: admission, queue order, preemption and the choice of an endpoint.
//!
//! A pool consists of the endpoints that serve one model or plain service. A slot is the capacity
//! of an endpoint for one concurrent stream. The daemons of a data centre divide a pool's slots
//! into shares according to the load that they report to each other.
//!
//! Terms:
//! - Slot time is the time for which a request occupies a slot.
//! - The latest start of a request is the time by which it must start to meet its targets. It is
//!   urgent from shortly before that time: lower-tier requests are then preempted for it.
//! - A floor guarantees a class a share of a pool's slot time while higher tiers have slack, that
//!   is, unless their waiting requests are urgent or will be soon. A request that is started
//!   because of a floor is protected: it is not preempted.

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

/// The number of service tiers, which are numbered from 1, the highest. A tier number above `TIERS`
/// counts as the lowest tier, 0 as the highest.
pub const TIERS: usize = 4;
