use super::bucket::Bucket;
use crate::Millis;

/// Retries that each new request allows.
const PER_REQUEST: f64 = 0.1;

/// Retries that each millisecond allows, so that a quiet daemon can retry.
const PER_MS: f64 = 0.001;

/// Retries that may come at once.
const BURST: f64 = 50.0;

/// Bounds retries to a part of the requests.
#[derive(Clone, Debug)]
pub(super) struct RetryBudget {
    bucket: Bucket,
}

impl Default for RetryBudget {
    fn default() -> RetryBudget {
        RetryBudget { bucket: Bucket::full(BURST, Millis(0)) }
    }
}

impl RetryBudget {
    /// Notes a new request.
    pub(super) fn earn(&mut self, now: Millis) {
        self.bucket.correct(-PER_REQUEST);
        self.bucket.fill(PER_MS, BURST, now);
    }

    /// Takes one retry if the budget has it.
    pub(super) fn spend(&mut self, now: Millis) -> bool {
        self.bucket.fill(PER_MS, BURST, now);
        self.bucket.take(1.0)
    }
}
