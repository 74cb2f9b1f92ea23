//! Orders to engines: one doer for each pool by a lease, and where models are placed.
//!
//! The version of the lease's object is the fencing number. Orders are absolute and repeated until
//! the endpoints' own descriptions agree, so that a late order of an earlier holder is corrected.

mod lease;
mod placement;
mod plan;

pub use lease::{Held, Lease, LeaseConfig, LeaseEffect, LeaseRecord};
pub use placement::{Placement, PlacementConfig};
pub use plan::{ModelAction, ModelOrder, PoolEndpoint, reassert};
