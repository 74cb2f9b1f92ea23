use serde::{Deserialize, Serialize};

/// What a scheduler has counted since its start.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct Stats {
    /// Requests refused for lack of room or time, or after failed attempts.
    pub refused: u64,
    /// Streams held back for a higher tier.
    pub paused: u64,
    /// Attempts ended for a higher tier.
    pub cancelled: u64,
    /// Requests sent to another data centre.
    pub forwarded: u64,
    /// Refusals while lower-tier work that could give way was known.
    pub tier_violations: u64,
}
