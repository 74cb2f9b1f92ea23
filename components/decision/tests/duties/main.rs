//! Tests of the decisions of the platform duties through the public interface.

mod capacity;
mod simulated_service;
