//! Tests that the duties have at most one holder, whatever fails, and have one again afterwards, that it
//! reports each usage window once, and that it orders the endpoints that callers need.

mod call_rate;
mod capacity;
mod failures;
mod random_faults;
mod random_usage;
mod simulated_service;
mod simulation;
mod steps;
mod usage;
mod window_clock;
