//! The platform duties, each of which one daemon at a time carries out.

mod capacity;

pub use capacity::{
    CapacityPlanner, DataCentreDemand, DemandReports, EndpointCounts, EndpointKind, Order,
    OrderOutcome, OrderedCount, ServiceDemand, ServiceScaling, Work,
};
