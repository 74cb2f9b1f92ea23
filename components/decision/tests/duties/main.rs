//! Tests of the duties that one daemon at a time performs for all.

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
