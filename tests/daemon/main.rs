//! Runs daemon processes against engines: streams, shutdown, tracing and metrics.

mod cross_data_centre;
mod malformed_input;
mod monitoring;
mod scripted_engine;
mod shutdown;
mod streams;
mod support;
