use super::bucket::TokenBucket;
use crate::Millis;

/// Retries accrued with each new request.
const RETRIES_PER_REQUEST: f64 = 0.1;

/// Retries accrued per millisecond, so that a daemon with little traffic can retry.
const RETRIES_PER_MS: f64 = 0.001;

/// The maximum number of retries in one burst.
const RETRY_BURST: f64 = 50.0;

/// Bounds retries to a fraction of the requests.
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
    /// Credits the budget for a new request.
    pub(super) fn record_request(&mut self, now: Millis) {
        self.bucket.debit(-RETRIES_PER_REQUEST);
        self.bucket.refill(RETRIES_PER_MS, RETRY_BURST, now);
    }

    /// Spends one retry if the budget allows it; returns whether it did.
    pub(super) fn try_spend(&mut self, now: Millis) -> bool {
        self.bucket.refill(RETRIES_PER_MS, RETRY_BURST, now);
        self.bucket.try_take(1.0)
    }
}
