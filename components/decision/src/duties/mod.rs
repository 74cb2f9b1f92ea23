//! Duties towards the platform that one daemon at a time performs for all: reports of usage.

mod usage_counts;
mod usage_reports;
mod usage_state;
mod window_clock;

pub use usage_counts::{MAX_ACCOUNTS, MAX_WINDOWS, UsageCounts, UsageLoss, report_interval};
pub use usage_reports::{ReportOutcome, SkippedWindows, UsageConfig, UsageReports};
pub use usage_state::UsageState;
pub use window_clock::WindowClock;
