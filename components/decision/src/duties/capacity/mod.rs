//! How many endpoints of each kind are ordered for a service in each data centre.

mod counts;
mod demand;
mod order;
mod ordered;
mod planner;
mod pressure;
mod reports;
mod scaling;
mod share;
mod site;

pub use counts::{DemandCounts, ServiceCounts};
pub use demand::{DataCentreDemand, EndpointCounts, ServiceDemand, Work};
pub use order::{EndpointKind, Order, OrderOutcome, OrderedCount};
pub use planner::CapacityPlanner;
pub use reports::DemandReports;
pub use scaling::ServiceScaling;
