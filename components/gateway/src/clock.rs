use decision::Millis;
use rustix::time::{ClockId, clock_gettime};

/// Time since the instance booted, including time in suspension.
///
/// Wall-clock time may jump, and the monotonic clock stops while the instance is suspended.
pub(crate) fn now() -> Millis {
    let time = clock_gettime(ClockId::Boottime);
    Millis(time.tv_sec as u64 * 1000 + time.tv_nsec as u64 / 1_000_000)
}

/// The time of day as Unix time in milliseconds. It may jump.
pub(crate) fn unix_ms() -> u64 {
    let time = clock_gettime(ClockId::Realtime);
    time.tv_sec as u64 * 1000 + time.tv_nsec as u64 / 1_000_000
}
