use super::bucket::TokenBucket;
use crate::Millis;
use std::collections::BTreeMap;

/// Bytes per prompt token on the link.
const PROMPT_TOKEN_BYTES: f64 = 5.0;

/// Bytes per response token on the link, in batched frames.
const RESPONSE_TOKEN_BYTES: f64 = 12.0;

/// The share of each direction for the requests of one region; the other region has the other half.
const DIRECTION_SHARE: f64 = 0.5;

/// The maximum burst, as the time in which the rate provides it, in milliseconds.
const BURST_MS: f64 = 1_000.0;

/// Bounds and counts the bytes that this daemon causes on the link between regions.
#[derive(Clone, Debug, Default)]
pub(super) struct LinkBudget {
    outbound: TokenBucket,
    inbound: TokenBucket,
    bytes: BTreeMap<String, u64>,
}

impl LinkBudget {
    /// Reserves the bytes of a request if both directions have them; `tokens` are the prompt and
    /// response tokens.
    pub(super) fn try_reserve(
        &mut self,
        class: &str,
        tokens: (u32, u32),
        bytes_per_second: f64,
        now: Millis,
    ) -> bool {
        let bytes_per_ms = bytes_per_second * DIRECTION_SHARE / 1_000.0;
        self.outbound.refill(bytes_per_ms, bytes_per_ms * BURST_MS, now);
        self.inbound.refill(bytes_per_ms, bytes_per_ms * BURST_MS, now);
        let outbound = f64::from(tokens.0) * PROMPT_TOKEN_BYTES;
        let inbound = f64::from(tokens.1) * RESPONSE_TOKEN_BYTES;
        if self.outbound.level() < outbound || self.inbound.level() < inbound {
            return false;
        }
        self.outbound.debit(outbound);
        self.inbound.debit(inbound);
        self.count(class, (outbound + inbound) as u64);
        true
    }

    /// Adds to the byte count of a class.
    pub(super) fn count(&mut self, class: &str, bytes: u64) {
        match self.bytes.get_mut(class) {
            Some(total) => *total += bytes,
            None => {
                self.bytes.insert(class.to_string(), bytes);
            }
        }
    }

    pub(super) fn bytes(&self) -> &BTreeMap<String, u64> {
        &self.bytes
    }

    /// Returns whether neither direction is overdrawn.
    pub(super) fn is_within_budget(&self) -> bool {
        self.outbound.level() >= 0.0 && self.inbound.level() >= 0.0
    }
}
