use crate::Millis;
use serde::{Deserialize, Serialize};
use snafu::Snafu;
use std::str::FromStr;

/// The longest random part of a key, in bytes.
const RANDOM_LIMIT: usize = 64;

/// A caller's name for one call that may run at most once.
#[derive(Clone, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct IdempotencyKey {
    /// When the caller issued it, in milliseconds since the Unix epoch.
    pub issued: Millis,
    /// What tells it from other keys of the same millisecond.
    pub random: String,
}

/// A key that cannot be used.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
pub enum KeyError {
    /// The text is not `<issue-time-ms>-<random>`.
    #[snafu(display("idempotency key {text:?} is not <issue-time-ms>-<random>"))]
    Malformed {
        /// What was given.
        text: String,
    },
    /// The key is older than its record is kept.
    #[snafu(display("idempotency key {random:?} is {age_ms} ms old"))]
    Expired {
        /// The random part of the key.
        random: String,
        /// Its age in milliseconds.
        age_ms: u64,
    },
    /// The store went back to an older state and may have lost the key's record.
    #[snafu(display("the store may have lost the record of idempotency key {random:?}"))]
    RecordLost {
        /// The random part of the key.
        random: String,
    },
    /// The key was issued later than clocks can differ.
    #[snafu(display("idempotency key {random:?} is {ahead_ms} ms ahead"))]
    IssuedInFuture {
        /// The random part of the key.
        random: String,
        /// How far it is ahead, in milliseconds.
        ahead_ms: u64,
    },
}

impl FromStr for IdempotencyKey {
    type Err = KeyError;

    fn from_str(text: &str) -> Result<IdempotencyKey, KeyError> {
        let malformed = || KeyError::Malformed { text: text.to_string() };
        let (issued, random) = text.split_once('-').ok_or_else(malformed)?;
        let issued = issued.parse().map_err(|_| malformed())?;
        let plain = |b: u8| b.is_ascii_alphanumeric() || b == b'-' || b == b'_';
        if random.is_empty() || random.len() > RANDOM_LIMIT || !random.bytes().all(plain) {
            return Err(malformed());
        }
        Ok(IdempotencyKey { issued: Millis(issued), random: random.to_string() })
    }
}

/// How long keys may be used.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(default)]
pub struct KeyPolicy {
    /// The age up to which a key is taken.
    pub retention: Millis,
    /// The most by which any two clocks differ, those of callers included.
    pub skew: Millis,
    /// Keys issued before this time are refused.
    pub issued_from: Millis,
}

impl Default for KeyPolicy {
    fn default() -> KeyPolicy {
        KeyPolicy { retention: Millis(3_600_000), skew: Millis(10_000), issued_from: Millis(0) }
    }
}

impl KeyPolicy {
    /// Checks a key's age.
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

    /// Returns whether no clock can still take a key issued then, so that its record may go.
    pub fn is_deletable(&self, issued: Millis, now: Millis) -> bool {
        now.since(issued) > self.retention + self.skew
    }
}
