//! Every decision of the router, without sockets, threads, clocks, files or a random source.
//!
//! The present time is an argument, events go in and typed effects come back.

pub mod cluster;
pub mod execution;
pub mod load;
pub mod orders;
pub mod routing;
mod time;

pub use time::Millis;
