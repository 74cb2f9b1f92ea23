use crate::Millis;
use rand::RngExt;
use rand_pcg::Pcg64;
use serde::{Deserialize, Serialize};

/// Call to the store, made by the executor.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum StoreCall {
    /// Read the complete lists.
    Read,
    /// Wait for a change after a known version.
    Watch {
        /// Latest store version that was processed.
        after: u64,
    },
}

/// Outcome of a store call.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum StoreOutcome {
    /// The lists were read.
    Read {
        /// Store version from which the next watch starts.
        version: u64,
    },
    /// The watch ended without a change, or the store has no lists yet.
    Unchanged {
        /// Store version from which the next watch starts.
        version: u64,
    },
    /// The store no longer has the history since the watched version.
    Gap,
    /// The call failed or timed out.
    Failed,
}

/// Rate limit and backoff of store calls.
#[derive(Clone, Copy, Debug)]
pub struct StoreLimits {
    /// Maximum rate of calls.
    pub calls_per_second: u64,
    /// Upper bound of the delay after the first failure; doubles with each further one.
    pub backoff_base: Millis,
    /// Maximum delay after failures.
    pub backoff_max: Millis,
}

/// Schedule of the store calls; at most one is in flight.
#[derive(Clone, Debug, Default)]
pub struct StoreWatch {
    version: Option<u64>,
    in_flight: bool,
    next_at: Millis,
    failures: u32,
    /// Number of calls made.
    pub calls: u64,
}

impl StoreWatch {
    /// Call to make now, if one is due; it counts as in flight until its outcome is recorded.
    pub fn next_call(&mut self, limits: &StoreLimits, now: Millis) -> Option<StoreCall> {
        if self.in_flight || now < self.next_at {
            return None;
        }
        self.in_flight = true;
        self.calls += 1;
        self.next_at = now + Millis(1_000 / limits.calls_per_second.max(1));
        Some(match self.version {
            None => StoreCall::Read,
            Some(after) => StoreCall::Watch { after },
        })
    }

    /// Records the outcome of the call in flight.
    pub fn record_outcome(
        &mut self,
        outcome: StoreOutcome,
        limits: &StoreLimits,
        rng: &mut Pcg64,
        now: Millis,
    ) {
        self.in_flight = false;
        match outcome {
            StoreOutcome::Read { version } | StoreOutcome::Unchanged { version } => {
                self.version = Some(version);
                self.failures = 0;
            }
            StoreOutcome::Gap => self.version = None,
            StoreOutcome::Failed => self.back_off(limits, rng, now),
        }
    }

    /// Discards the version, so that the next call reads the complete lists.
    pub fn reset(&mut self) {
        self.version = None;
    }

    /// Number of consecutive failed calls.
    pub fn failures(&self) -> u32 {
        self.failures
    }

    fn back_off(&mut self, limits: &StoreLimits, rng: &mut Pcg64, now: Millis) {
        let longest = limits.backoff_base.0 << self.failures.min(16);
        let longest = longest.min(limits.backoff_max.0).max(2);
        self.failures += 1;
        self.next_at = now + Millis(rng.random_range(longest / 2..=longest));
    }
}
