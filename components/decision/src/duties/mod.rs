//! Calls to the platform that exactly one daemon makes at a time: who makes them, and what they say.

mod call;
mod call_rate;
mod lease;
mod record;
mod token;

pub use call::{Duty, DutyCall, Subject};
pub use call_rate::CallRate;
pub use lease::{Lease, LeaseChange, LeaseConfig, LeaseEvent, LeaseStep, LossReason};
pub use record::{DutyRecord, KnownHolder, UsageState};
