use crate::Millis;
use std::collections::BTreeSet;

/// The part of the finish window after which a waiting class earns twice, then four times as much.
const AGEING_STEPS: u64 = 4;

/// The part of a finish window without slack that excuses a class from starting in it.
const EXCUSING_BLOCKED_RATIO: f64 = 0.9;

/// Expected slot times of one request that a class can save up.
const CREDIT_LIMIT_REQUESTS: f64 = 2.0;

/// The floor of one class in one pool.
#[derive(Clone, Debug, Default)]
pub(super) struct Floor {
    /// The share of the pool, 0 to 1.
    pub(super) share: f64,
    /// The finish window.
    pub(super) window: Millis,
    /// The tier as an index.
    pub(super) tier: usize,
    /// Requests that wait or are held back, the oldest first.
    pub(super) waiting: BTreeSet<(Millis, u64)>,
    /// Slot time that the class has earned and not had, in milliseconds.
    credit: f64,
    accrued_at: Millis,
    /// Since when the class has waited without a start.
    starved_since: Option<Millis>,
    /// Looks at the class since then at which it was owed a start.
    checks: u32,
    /// Those of them at which higher tiers had no slack.
    blocked: u32,
    /// The slot time that its share came to since then, in milliseconds, counted by the looks.
    starved_share: f64,
    checked_at: Millis,
}

impl Floor {
    /// Adds a request that waits.
    pub(super) fn push(&mut self, arrived: Millis, request: u64, now: Millis) {
        self.waiting.insert((arrived, request));
        self.starved_since.get_or_insert(now);
    }

    /// Takes out a request.
    pub(super) fn remove(&mut self, arrived: Millis, request: u64) {
        self.waiting.remove(&(arrived, request));
        if self.waiting.is_empty() {
            self.starved_since = None;
            self.reset_checks();
        }
    }

    /// Notes that a request of the class starts with this expected slot time.
    pub(super) fn start(&mut self, work: u64, now: Millis) {
        self.credit = (self.credit - work as f64).max(-CREDIT_LIMIT_REQUESTS * work as f64);
        self.starved_since = if self.waiting.is_empty() { None } else { Some(now) };
        self.reset_checks();
    }

    fn reset_checks(&mut self) {
        (self.checks, self.blocked, self.starved_share) = (0, 0, 0.0);
    }

    /// Earns slot time from `slots` slots; waiting longer earns more.
    pub(super) fn accrue(&mut self, slots: f64, work: u64, now: Millis) {
        let elapsed = now.since(self.accrued_at).0 as f64;
        self.accrued_at = now;
        if self.waiting.is_empty() {
            return;
        }
        let accrued = elapsed * slots * self.share * self.ageing_factor(now);
        self.credit = (self.credit + accrued).min(CREDIT_LIMIT_REQUESTS * work as f64);
    }

    fn ageing_factor(&self, now: Millis) -> f64 {
        let waited = self.starved_since.map_or(Millis(0), |since| now.since(since));
        let parts = waited.0 * AGEING_STEPS / self.window.0.max(1);
        match parts {
            0 => 1.0,
            1 => 2.0,
            _ => 4.0,
        }
    }

    /// Returns the request that the floor starts next, if it has the slot time for it.
    pub(super) fn entitled(&self, work: u64) -> Option<u64> {
        let (_, request) = self.waiting.first()?;
        (self.credit >= work as f64).then_some(*request)
    }

    /// Returns whether the class has waited for half of its finish window.
    pub(super) fn is_aged(&self, now: Millis) -> bool {
        let since = self.starved_since;
        since.is_some_and(|since| now.since(since).0 * 2 > self.window.0)
    }

    /// Notes whether higher tiers leave the class slack now for the `work` of its next start.
    ///
    /// A share that has not yet come to one start owes none, so slack counts from then on.
    pub(super) fn record_check(&mut self, has_slack: bool, slots: f64, work: u64, now: Millis) {
        if self.starved_since.is_some() {
            self.starved_share += now.since(self.checked_at).0 as f64 * slots * self.share;
        }
        self.checked_at = now;
        if self.entitled(work).is_some() {
            self.checks += 1;
            self.blocked += u32::from(!has_slack);
        }
    }

    /// Returns whether the class had a start in each finish window that owed it one with slack.
    ///
    /// `work` is the slot time of its next start. A window in which the share came to more than
    /// the class can be in debt, and one start on top, has to owe it that start.
    pub(super) fn is_met(&self, work: u64, now: Millis) -> bool {
        let starved = self.starved_since.is_some_and(|since| now.since(since) > self.window);
        let excused = if self.checks == 0 {
            self.starved_share < (CREDIT_LIMIT_REQUESTS + 1.0) * work as f64
        } else {
            f64::from(self.blocked) >= f64::from(self.checks) * EXCUSING_BLOCKED_RATIO
        };
        !starved || excused
    }
}
