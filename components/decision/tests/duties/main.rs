//! Tests that the duties have at most one holder, whatever fails, and have one again afterwards, and that it
//! reports each usage window once.

mod call_rate;
mod failures;
mod random_faults;
mod random_usage;
mod simulation;
mod steps;
mod usage;
mod window_clock;
