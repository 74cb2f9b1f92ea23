use crate::Millis;

/// A token bucket; rate and size are passed by the caller, as they change with the daemon count.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct TokenBucket {
    level: f64,
    refilled_at: Millis,
}

impl TokenBucket {
    /// Creates a full bucket.
    pub(super) fn full(size: f64, now: Millis) -> TokenBucket {
        TokenBucket { level: size, refilled_at: now }
    }

    /// Adds the amount accrued since the last refill, up to `size`.
    pub(super) fn refill(&mut self, per_ms: f64, size: f64, now: Millis) {
        let added = now.since(self.refilled_at).0 as f64 * per_ms;
        self.level = (self.level + added).min(size);
        self.refilled_at = self.refilled_at.max(now);
    }

    /// Takes `amount` if the level allows it; returns whether it did.
    pub(super) fn try_take(&mut self, amount: f64) -> bool {
        let fits = self.level >= amount;
        if fits {
            self.level -= amount;
        }
        fits
    }

    /// Subtracts an amount, or adds a negative one back; the level may fall below zero.
    pub(super) fn debit(&mut self, amount: f64) {
        self.level -= amount;
    }

    pub(super) fn level(&self) -> f64 {
        self.level
    }

    /// Returns the time until `amount` is available, in milliseconds.
    pub(super) fn wait_ms(&self, amount: f64, per_ms: f64) -> u64 {
        ((amount - self.level).max(0.0) / per_ms.max(1e-9)).ceil() as u64
    }
}

/// The time after which an unused bucket counts as full.
const IDLE_TIMEOUT: Millis = Millis(60_000);

impl TokenBucket {
    /// Returns whether the bucket has been unused for long enough to count as full.
    pub(super) fn is_idle(&self, now: Millis) -> bool {
        now.since(self.refilled_at) > IDLE_TIMEOUT
    }
}
