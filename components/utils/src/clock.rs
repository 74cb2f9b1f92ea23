use std::time::{SystemTime, UNIX_EPOCH};

/// Milliseconds since the Unix epoch by this instance's wall clock, which may be set back; zero
/// before the epoch.
pub fn unix_time_ms() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    elapsed.as_millis() as u64
}
