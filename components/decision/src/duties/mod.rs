//! Calls to the platform that exactly one daemon makes at a time: who makes them, and what they say.

mod call;
mod record;

pub use call::{Duty, DutyCall, Subject};
pub use record::{DutyRecord, KnownHolder, UsageState};
