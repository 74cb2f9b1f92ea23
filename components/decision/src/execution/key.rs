use crate::Millis;
use serde::{Deserialize, Serialize};
use snafu::Snafu;
use std::str::FromStr;

const RANDOM_LIMIT_BYTES: usize = 64;

/// Identifies a call that must run at most once; chosen by the caller.
#[derive(Clone, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct IdempotencyKey {
    /// When the caller issued it, in milliseconds since the Unix epoch.
    pub issued: Millis,
    /// Distinguishes keys issued in the same millisecond.
    pub random: String,
}

/// Why an idempotency key is rejected.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
pub enum KeyError {
    /// The text is not `<issue-time-ms>-<random>`.
    #[snafu(display("idempotency key {text:?} is not <issue-time-ms>-<random>"))]
    Malformed {
        /// The text as received.
        text: String,
    },
    /// The key is older than the retention period, after which its record may be deleted.
    #[snafu(display("idempotency key {random:?} is {age_ms} ms old"))]
    Expired {
        /// The random part of the key.
        random: String,
        /// Its age in milliseconds.
        age_ms: u64,
    },
    /// The store was restored to an older state and may have lost the key's record.
    #[snafu(display("the store may have lost the record of idempotency key {random:?}"))]
    RecordLost {
        /// The random part of the key.
        random: String,
    },
    /// The issue time is further in the future than the clock skew allows.
    #[snafu(display("idempotency key {random:?} is {ahead_ms} ms ahead"))]
    IssuedInFuture {
        /// The random part of the key.
        random: String,
        /// How far its issue time lies in the future, in milliseconds.
        ahead_ms: u64,
    },
}

impl FromStr for IdempotencyKey {
    type Err = KeyError;

    fn from_str(text: &str) -> Result<IdempotencyKey, KeyError> {
        let malformed = || KeyError::Malformed { text: text.to_string() };
        let (issued, random) = text.split_once('-').ok_or_else(malformed)?;
        let issued = issued.parse().map_err(|_| malformed())?;
        let allowed = |b: u8| b.is_ascii_alphanumeric() || b == b'-' || b == b'_';
        if random.is_empty() || random.len() > RANDOM_LIMIT_BYTES || !random.bytes().all(allowed) {
            return Err(malformed());
        }
        Ok(IdempotencyKey { issued: Millis(issued), random: random.to_string() })
    }
}

/// Which idempotency keys are accepted.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(default)]
pub struct KeyPolicy {
    /// The maximum age at which a key is accepted.
    pub retention: Millis,
    /// The maximum difference between any two clocks, including those of callers.
    pub skew: Millis,
    /// Keys issued before this time are rejected, because a store restore may have lost their
    /// records.
    pub issued_from: Millis,
}

impl Default for KeyPolicy {
    fn default() -> KeyPolicy {
        KeyPolicy { retention: Millis(3_600_000), skew: Millis(10_000), issued_from: Millis(0) }
    }
}

impl KeyPolicy {
    /// Checks a key's issue time; `now` is in Unix time.
    pub fn check(&self, key: &IdempotencyKey, now: Millis) -> Result<(), KeyError> {
        let random = key.random.clone();
        if key.issued < self.issued_from {
            return Err(KeyError::RecordLost { random });
        }
        let ahead = key.issued.since(now);
        if ahead > self.skew {
            return Err(KeyError::IssuedInFuture { random, ahead_ms: ahead.0 });
        }
        let age = now.since(key.issued);
        if age > self.retention {
            return Err(KeyError::Expired { random, age_ms: age.0 });
        }
        Ok(())
    }

    /// Whether no instance can still accept a key issued at that time, whatever its clock skew, so
    /// that the key's record may be deleted.
    pub fn is_deletable(&self, issued: Millis, now: Millis) -> bool {
        now.since(issued) > self.retention + self.skew
    }
}
