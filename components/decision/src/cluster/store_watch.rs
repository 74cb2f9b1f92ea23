use crate::Millis;
use rand::RngExt;
use rand_pcg::Pcg64;
use serde::{Deserialize, Serialize};

/// A call to the store.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum StoreCall {
    /// Read the lists in full.
    Read,
    /// Wait for a version after this one.
    Watch {
        /// The version of the store up to which everything was seen.
        after: u64,
    },
}

/// How a call to the store ended.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum StoreOutcome {
    /// The lists were read.
    Read {
        /// The version to watch from next.
        version: u64,
    },
    /// The watch ended without a change, or there are no lists yet.
    Unchanged {
        /// The version to watch from next.
        version: u64,
    },
    /// The store no longer knows the version that the watch resumes from.
    Gap,
    /// The store did not answer.
    Failed,
}

/// Settings of the calls to the store.
#[derive(Clone, Copy, Debug)]
pub struct StoreLimits {
    /// Calls in a second at most.
    pub calls_per_second: u64,
    /// The first wait after a failure.
    pub backoff_base: Millis,
    /// The longest wait after failures.
    pub backoff_max: Millis,
}

/// When the next call to the store may go.
#[derive(Clone, Debug, Default)]
pub struct StoreWatch {
    version: Option<u64>,
    in_flight: bool,
    next_at: Millis,
    failures: u32,
    /// Calls made.
    pub calls: u64,
}

impl StoreWatch {
    /// Returns the call to make now, if any.
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

    /// Takes in the end of the call.
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

    /// Forgets the version, so that the next call reads in full.
    pub fn reset(&mut self) {
        self.version = None;
    }

    /// Returns how many calls failed in a row.
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
