//! Tests that a call with an idempotency key runs at most once and is never falsely reported as
//! not run.

mod faults;
mod keys;
mod model;
mod random;
mod search;
