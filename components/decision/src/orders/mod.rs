//! Orders to engines: one doer for each pool by a lease, and where models are placed.
//!
//! The version of the lease's object is the fencing number. Orders are absolute and repeated until
//! the endpoints' own descriptions agree, so that a late order of an earlier holder is corrected.

mod lease;
mod model_order;
mod placement;

pub use lease::{HeldLease, Lease, LeaseConfig, LeaseEffect, LeaseRecord};
pub use model_order::{ModelAction, ModelOrder, PoolEndpoint, fence_announcements};
pub use placement::{Placement, PlacementConfig};
