//! Tests of the routing decisions through the public interface.

mod catalog;
mod directory;
mod engine;
mod followers;
mod freshness_and_retry_budget;
mod load;
mod replay;
mod wait_queues;
