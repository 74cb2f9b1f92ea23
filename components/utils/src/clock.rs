use std::time::{SystemTime, UNIX_EPOCH};

/// Returns the milliseconds since the Unix epoch by this instance's clock.
pub fn unix_time_ms() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    elapsed.as_millis() as u64
}
