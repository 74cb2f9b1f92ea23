//! Orders to engines: for each pool, the process that holds its lease decides where models are
//! placed and orders endpoints to load and unload them. A pool is here a group of endpoints that
//! can serve several models.
//!
//! The version of the lease's object is the fencing number. Orders are absolute and are repeated
//! until the endpoints' descriptions match, so that a late order from an earlier holder is
//! corrected.

mod lease;
mod model_order;
mod placement;

pub use lease::{HeldLease, Lease, LeaseConfig, LeaseEffect, LeaseRecord};
pub use model_order::{ModelAction, ModelOrder, PoolEndpoint, fence_announcements};
pub use placement::{Placement, PlacementConfig};
