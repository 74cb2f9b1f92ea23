//! Tests of the routing decisions through the public interface.

mod catalog;
mod configuration_changes;
mod connection_budget;
mod crashing_requests;
mod departures;
mod directory;
mod endpoint_limits;
mod followers;
mod freshness_and_retry_budget;
mod lane;
mod notices;
mod outcomes;
mod placement;
mod quarantine;
mod reachability;
mod readers;
mod relays;
mod scaling_fields;
mod simulated_engine;
mod simulated_fleet;
mod simulated_readers;
mod start_wait;
mod stream_records;
mod version_record;
mod wait_queues;
