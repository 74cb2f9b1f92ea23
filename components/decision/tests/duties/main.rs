//! Tests of the duties that one daemon at a time performs for all.

mod random_usage;
mod usage;
mod window_clock;
