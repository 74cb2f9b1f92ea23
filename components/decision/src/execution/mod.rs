//! Calls that must run at most once: one execution record per idempotency key.
//!
//! The record is created by a conditional write before any byte is sent to an endpoint. Only the
//! attempt whose nonce the record carries may send the call, and no other attempt ever takes the
//! record over. Safety therefore depends only on the store's conditional write, not on leases or
//! timing.

mod attempt;
mod key;
mod record;
mod restore_detector;
mod sweep;

pub use attempt::{
    Attempt, AttemptConfig, Call, CallResponse, Effect, EndpointResult, Event, ReadResult,
    WriteResult,
};
pub use key::{IdempotencyKey, KeyError, KeyPolicy};
pub use record::{Outcome, Record, RunState};
pub use restore_detector::RestoreDetector;
pub use sweep::Sweep;
