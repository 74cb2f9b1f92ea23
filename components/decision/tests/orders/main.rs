//! Tests that a lease has at most one holder, and that models are placed according to demand.

mod lease;
mod placement;
