//! The daemon on each entry instance: worker pools, shared tables and I/O around the decisions.

mod attempt;
mod callers;
mod chat;
mod engine;
mod platform;
mod reply;
mod server;
mod service;
mod stream;
mod tables;

pub use server::{Daemon, StartError};
