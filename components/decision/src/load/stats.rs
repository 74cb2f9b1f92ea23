use serde::{Deserialize, Serialize};

/// Counters of a scheduler since its start.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct Stats {
    /// Requests refused as overloaded or after failed attempts.
    pub refused: u64,
    /// Streams paused for a higher tier.
    pub paused: u64,
    /// Attempts cancelled for a higher tier.
    pub cancelled: u64,
    /// Requests forwarded to another data centre.
    pub forwarded: u64,
    /// Refusals while lower-tier work was known that could have been preempted.
    pub tier_violations: u64,
}
