//! The daemon that runs on each entry instance: the worker pools, shared tables and I/O around the
//! decision core.

mod active_lists;
mod admin;
mod attempt;
mod auth;
mod backpressure;
mod caller_request;
mod chat;
mod completion;
mod duty;
mod endpoints;
mod engine;
mod executor;
mod forward_client;
mod forward_server;
mod frame;
mod idempotency;
mod job;
mod load_gossip;
mod metrics;
mod model_orders;
mod notices;
mod open_files;
mod outcome;
mod peer;
mod peers;
mod platform;
mod reason;
mod records;
mod refusal;
mod requests;
mod routes;
mod server;
mod service;
mod spans;
mod sse;
mod start_error;
mod stop;
mod stream;
mod stream_orders;
mod sweep;
mod tables;
mod threads;
pub mod wire;

pub use server::Daemon;
pub use start_error::StartError;
