use super::bucket::Bucket;
use crate::Millis;
use std::collections::BTreeMap;

/// Bytes of a prompt token on the link.
const PROMPT_TOKEN_BYTES: f64 = 5.0;

/// Bytes of an answer token on the link, in batched frames.
const ANSWER_TOKEN_BYTES: f64 = 12.0;

/// The part of each direction for requests that start in one region; the rest is for the other's.
const PART: f64 = 0.5;

/// The time for which unused bytes are kept, in milliseconds.
const BURST_MS: f64 = 1_000.0;

/// Bounds and counts the bytes that this daemon causes on the link between regions.
#[derive(Clone, Debug, Default)]
pub(super) struct Link {
    there: Bucket,
    back: Bucket,
    bytes: BTreeMap<String, u64>,
}

impl Link {
    /// Takes the bytes of a request if both directions have them.
    pub(super) fn take(
        &mut self,
        class: &str,
        tokens: (u32, u32),
        bytes_per_second: f64,
        now: Millis,
    ) -> bool {
        let per_ms = bytes_per_second * PART / 1_000.0;
        self.there.fill(per_ms, per_ms * BURST_MS, now);
        self.back.fill(per_ms, per_ms * BURST_MS, now);
        let there = f64::from(tokens.0) * PROMPT_TOKEN_BYTES;
        let back = f64::from(tokens.1) * ANSWER_TOKEN_BYTES;
        if self.there.level() < there || self.back.level() < back {
            return false;
        }
        self.there.correct(there);
        self.back.correct(back);
        self.count(class, (there + back) as u64);
        true
    }

    /// Counts the bytes of a request that is sent without a bound.
    pub(super) fn count(&mut self, class: &str, bytes: u64) {
        match self.bytes.get_mut(class) {
            Some(total) => *total += bytes,
            None => {
                self.bytes.insert(class.to_string(), bytes);
            }
        }
    }

    /// Returns the bytes by class.
    pub(super) fn bytes(&self) -> &BTreeMap<String, u64> {
        &self.bytes
    }

    /// Returns whether neither direction was overdrawn.
    pub(super) fn is_within_budget(&self) -> bool {
        self.there.level() >= 0.0 && self.back.level() >= 0.0
    }
}
