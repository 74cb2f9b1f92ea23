//! Calls that may not be repeated: one execution record per idempotency key.
//!
//! The record is created by a conditional write before a byte leaves for an endpoint. Only the
//! attempt whose nonce the record carries may send the call, and no record is ever taken over. So
//! safety rests on the store's conditional write alone, not on leases or on timing.

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
