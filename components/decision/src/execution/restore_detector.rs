use crate::Millis;
use serde::{Deserialize, Serialize};

/// Detects that the store was restored to an older state, which may lack execution records.
///
/// A restore shows as a write that gets a version no higher than one seen before it began.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct RestoreDetector {
    max_version: u64,
    issued_from: Millis,
}

impl RestoreDetector {
    /// The highest version seen since the last detected restore.
    pub fn max_version(&self) -> u64 {
        self.max_version
    }

    /// The time before which issued keys may have lost their records; zero before any restore.
    pub fn issued_from(&self) -> Millis {
        self.issued_from
    }

    /// Records the version of an object that was read.
    pub fn observe_read(&mut self, version: u64) {
        self.max_version = self.max_version.max(version);
    }

    /// Records the version that a write got; `seen` is `max_version` from before the write began.
    ///
    /// Returns false if the write shows that the store was restored.
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
