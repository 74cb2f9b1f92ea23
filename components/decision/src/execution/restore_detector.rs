use crate::Millis;
use serde::{Deserialize, Serialize};

/// Notices that the store was restored to an older state, which may lack execution records.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct RestoreDetector {
    max_version: u64,
    issued_from: Millis,
}

impl RestoreDetector {
    /// Returns the highest version seen since the store last went back.
    pub fn max_version(&self) -> u64 {
        self.max_version
    }

    /// Returns the time before which issued keys may have lost their records.
    pub fn issued_from(&self) -> Millis {
        self.issued_from
    }

    /// Takes in the version of an object that was read.
    pub fn observe_read(&mut self, version: u64) {
        self.max_version = self.max_version.max(version);
    }

    /// Takes in the version that a write got; `seen` is what was seen before the write began.
    ///
    /// Returns whether the store went on from there.
    pub fn observe_write(&mut self, version: u64, seen: u64, now: Millis, skew: Millis) -> bool {
        if version > seen {
            self.max_version = self.max_version.max(version);
            return true;
        }
        self.max_version = version;
        self.issued_from = now + skew;
        false
    }
}
