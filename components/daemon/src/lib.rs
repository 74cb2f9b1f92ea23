//! The daemon on each entry instance: worker pools, shared tables and I/O around the decisions.

mod admin;
mod attempt;
mod auth;
mod callers;
mod chat;
mod completion;
mod control;
mod duty;
mod endpoints;
mod engine;
mod events;
mod exchange;
mod execution;
mod forward;
mod frame;
mod hold;
mod job;
mod lists;
mod measures;
mod orders;
mod outcome;
mod peer;
mod peers;
mod platform;
mod records;
mod reply;
mod resume;
mod server;
mod service;
mod spans;
mod stop;
mod stream;
mod sweep;
mod tables;

pub use server::{Daemon, StartError};
