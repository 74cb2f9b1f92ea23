use decision::Millis;
use rustix::time::{ClockId, clock_gettime};

/// Returns the time since the instance started, suspended or not.
///
/// The time of day may jump, and the steady clock stops while the instance is suspended.
pub(crate) fn now() -> Millis {
    let time = clock_gettime(ClockId::Boottime);
    Millis(time.tv_sec as u64 * 1000 + time.tv_nsec as u64 / 1_000_000)
}
