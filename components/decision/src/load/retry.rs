use super::bucket::TokenBucket;
use crate::Millis;

/// Retries that each new request allows.
const RETRIES_PER_REQUEST: f64 = 0.1;

/// Retries that each millisecond allows, so that a quiet daemon can retry.
const RETRIES_PER_MS: f64 = 0.001;

/// Retries that may come at once.
const RETRY_BURST: f64 = 50.0;

/// Bounds retries to a part of the requests.
#[derive(Clone, Debug)]
pub(super) struct RetryBudget {
    bucket: TokenBucket,
}

impl Default for RetryBudget {
    fn default() -> RetryBudget {
        RetryBudget { bucket: TokenBucket::full(RETRY_BURST, Millis(0)) }
    }
}

impl RetryBudget {
    /// Notes a new request.
    pub(super) fn record_request(&mut self, now: Millis) {
        self.bucket.debit(-RETRIES_PER_REQUEST);
        self.bucket.refill(RETRIES_PER_MS, RETRY_BURST, now);
    }

    /// Takes one retry if the budget has it.
    pub(super) fn spend(&mut self, now: Millis) -> bool {
        self.bucket.refill(RETRIES_PER_MS, RETRY_BURST, now);
        self.bucket.try_take(1.0)
    }
}
