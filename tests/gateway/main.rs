//! Runs the gateway process against simulated clients, endpoints and a store.

mod brittle_endpoints;
mod clients;
mod connections;
mod continuations;
mod crashing_prompts;
mod crashing_requests;
mod cut_heads;
mod endless_responses;
mod failures;
mod feed_traffic;
mod framing;
mod invalid_statuses;
mod leaving_endpoints;
mod lost_followers;
mod monitoring;
mod occupied_addresses;
mod odd_entries;
mod out_of_step;
mod partitioned_gateways;
mod planned_stops;
#[path = "../platform_objects/mod.rs"]
mod platform_objects;
mod region;
mod repeated_refusals;
mod responses;
mod returning_endpoints;
mod scripted_site;
mod shutdown;
mod software_versions;
mod stalled_sources;
mod stated_limits;
mod store_changes;
mod streams;
mod support;
mod takeovers;
