//! Calls to the platform that exactly one daemon makes at a time: who makes them, and what they say.

mod call;
mod call_rate;
mod capacity;
mod lease;
mod lease_step;
mod record;
mod token;
mod usage_counts;
mod usage_reports;
mod window_clock;

pub use call::{Duty, DutyCall, Subject};
pub use call_rate::CallRate;
pub use capacity::{
    CapacityPlanner, DataCentreDemand, DemandCounts, DemandReports, EndpointCounts, EndpointKind,
    Order, OrderOutcome, OrderedCount, ServiceCounts, ServiceDemand, ServiceScaling, Work,
};
pub use lease::Lease;
pub use lease_step::{LeaseChange, LeaseConfig, LeaseEvent, LeaseStep, LossReason};
pub use record::{DutyRecord, KnownHolder, UsageState};
pub use usage_counts::{MAX_ACCOUNTS, MAX_WINDOWS, UsageCounts, UsageLoss, report_interval};
pub use usage_reports::{ReportOutcome, SkippedWindows, UsageConfig, UsageReports};
pub use window_clock::WindowClock;
