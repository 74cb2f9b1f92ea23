//! Calls to the platform that exactly one daemon makes at a time: who makes them, and what they say.

mod call;
mod capacity;
mod record;

pub use call::{Duty, DutyCall, Subject};
pub use capacity::{
    CapacityPlanner, DataCentreDemand, DemandReports, EndpointCounts, EndpointKind, Order,
    OrderOutcome, OrderedCount, ServiceDemand, ServiceScaling, Work,
};
pub use record::{DutyRecord, KnownHolder, UsageState};
