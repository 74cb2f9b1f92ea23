use serde::{Deserialize, Serialize};
use std::ops::{Add, Sub};

/// A point in time or a duration, in milliseconds.
///
/// A point is on this daemon's monotonic clock unless the item names another, such as Unix time.
/// Sums saturate at `u64::MAX` and differences at zero.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct Millis(pub u64);

impl Millis {
    /// The duration from `earlier` to `self`, or zero if `earlier` is later.
    pub fn since(self, earlier: Millis) -> Millis {
        Millis(self.0.saturating_sub(earlier.0))
    }
}

impl Add for Millis {
    type Output = Millis;

    fn add(self, other: Millis) -> Millis {
        Millis(self.0.saturating_add(other.0))
    }
}

impl Sub for Millis {
    type Output = Millis;

    fn sub(self, other: Millis) -> Millis {
        self.since(other)
    }
}
