//! Tests that the duties have at most one holder, whatever fails, and have one again afterwards.

mod call_rate;
mod failures;
mod random_faults;
mod simulation;
mod steps;
