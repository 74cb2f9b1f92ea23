//! The decision logic of the router, without I/O: no sockets, threads, clocks, files or source of
//! entropy.
//!
//! It is a set of state machines. The current time is passed as an argument, events are inputs, and
//! typed effects are returned for an executor to carry out.

pub mod cluster;
pub mod duties;
pub mod execution;
pub mod load;
pub mod orders;
pub mod routing;
mod store_era;
mod time;

pub use store_era::{LatestEra, StoreEra};
pub use time::Millis;
