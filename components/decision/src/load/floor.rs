use crate::Millis;
use std::collections::BTreeSet;

/// The number of equal steps of a finish window. A class without a start accrues at twice the rate
/// from the second step and at four times the rate from the third.
const AGEING_STEPS: u64 = 4;

/// A finish window without a start is no violation if higher tiers had no slack in at least this
/// fraction of its checks.
const EXCUSING_BLOCKED_RATIO: f64 = 0.9;

/// The bound of the credit and of the debt of a class, in expected slot times of one request.
const CREDIT_LIMIT_REQUESTS: f64 = 2.0;

/// The floor of one class in one pool: the class accrues slot time while it waits, and is entitled
/// to a start once that covers the next request.
#[derive(Clone, Debug, Default)]
pub(super) struct Floor {
    /// The share of the pool, 0 to 1.
    pub(super) share: f64,
    /// The finish window: the time in which an entitled class must get a start.
    pub(super) window: Millis,
    /// The tier as an index.
    pub(super) tier: usize,
    /// Waiting and paused requests, the oldest first.
    pub(super) waiting: BTreeSet<(Millis, u64)>,
    /// Slot time accrued and not yet used by a start, in milliseconds; negative is debt.
    credit_ms: f64,
    accrued_at: Millis,
    /// Since when the class has been waiting without a start.
    starved_since: Option<Millis>,
    /// Checks since `starved_since` at which the class was entitled to a start.
    checks: u32,
    /// Those checks at which higher tiers had no slack.
    blocked: u32,
    /// The slot time of its share since `starved_since`, in milliseconds, summed at the checks.
    starved_share_ms: f64,
    checked_at: Millis,
}

impl Floor {
    /// Adds a waiting or paused request.
    pub(super) fn push(&mut self, arrived: Millis, request: u64, now: Millis) {
        self.waiting.insert((arrived, request));
        self.starved_since.get_or_insert(now);
    }

    pub(super) fn remove(&mut self, arrived: Millis, request: u64) {
        self.waiting.remove(&(arrived, request));
        if self.waiting.is_empty() {
            self.starved_since = None;
            self.reset_checks();
        }
    }

    /// Records the start of a request and charges its expected slot time.
    pub(super) fn start(&mut self, work_ms: u64, now: Millis) {
        self.credit_ms =
            (self.credit_ms - work_ms as f64).max(-CREDIT_LIMIT_REQUESTS * work_ms as f64);
        self.starved_since = if self.waiting.is_empty() { None } else { Some(now) };
        self.reset_checks();
    }

    fn reset_checks(&mut self) {
        (self.checks, self.blocked, self.starved_share_ms) = (0, 0, 0.0);
    }

    /// Accrues the class's share of `slots`; the rate rises with the time without a start.
    pub(super) fn accrue(&mut self, slots: f64, work_ms: u64, now: Millis) {
        let elapsed_ms = now.since(self.accrued_at).0 as f64;
        self.accrued_at = now;
        if self.waiting.is_empty() {
            return;
        }
        let accrued_ms = elapsed_ms * slots * self.share * self.ageing_factor(now);
        self.credit_ms = (self.credit_ms + accrued_ms).min(CREDIT_LIMIT_REQUESTS * work_ms as f64);
    }

    fn ageing_factor(&self, now: Millis) -> f64 {
        let waited = self.starved_since.map_or(Millis(0), |since| now.since(since));
        let steps = waited.0 * AGEING_STEPS / self.window.0.max(1);
        match steps {
            0 => 1.0,
            1 => 2.0,
            _ => 4.0,
        }
    }

    /// Returns the oldest request if the credit covers its slot time `work_ms`.
    pub(super) fn entitled(&self, work_ms: u64) -> Option<u64> {
        let (_, request) = self.waiting.first()?;
        (self.credit_ms >= work_ms as f64).then_some(*request)
    }

    /// Returns whether the class has waited for more than half of its finish window.
    pub(super) fn is_aged(&self, now: Millis) -> bool {
        let since = self.starved_since;
        since.is_some_and(|since| now.since(since).0 * 2 > self.window.0)
    }

    /// Records whether higher tiers have slack for the next start, which takes `work_ms`.
    ///
    /// A check counts only if the credit covers that start, as the class is not entitled before.
    pub(super) fn record_check(&mut self, has_slack: bool, slots: f64, work_ms: u64, now: Millis) {
        if self.starved_since.is_some() {
            self.starved_share_ms += now.since(self.checked_at).0 as f64 * slots * self.share;
        }
        self.checked_at = now;
        if self.entitled(work_ms).is_some() {
            self.checks += 1;
            self.blocked += u32::from(!has_slack);
        }
    }

    /// Returns whether the class had a start in each finish window in which it was entitled to one
    /// and higher tiers had slack.
    ///
    /// `work_ms` is the slot time of its next start. A class that no check found entitled to a
    /// start meets the floor only while the slot time of its share is below the largest debt plus
    /// one start; more than that would have entitled it.
    pub(super) fn is_met(&self, work_ms: u64, now: Millis) -> bool {
        let starved = self.starved_since.is_some_and(|since| now.since(since) > self.window);
        let excused = if self.checks == 0 {
            self.starved_share_ms < (CREDIT_LIMIT_REQUESTS + 1.0) * work_ms as f64
        } else {
            f64::from(self.blocked) >= f64::from(self.checks) * EXCUSING_BLOCKED_RATIO
        };
        !starved || excused
    }
}
