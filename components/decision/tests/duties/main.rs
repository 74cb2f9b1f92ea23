//! Tests of the duties that one daemon at a time performs for all.

mod capacity;
mod random_usage;
mod simulated_service;
mod usage;
mod window_clock;
