use crate::Millis;
use std::collections::BTreeSet;

/// The part of the finish window after which a waiting class earns twice, then four times as much.
const AGEING_PART: u64 = 4;

/// The part of a finish window without slack that excuses a class from starting in it.
const BLOCKED_PART: f64 = 0.9;

/// Expected slot times of one request that a class can save up.
const CREDIT_LIMIT: f64 = 2.0;

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
    earned_at: Millis,
    /// Since when the class has waited without a start.
    hungry_since: Option<Millis>,
    /// Looks at the class since then at which it was owed a start.
    looks: u32,
    /// Those of them at which higher tiers had no slack.
    blocked: u32,
    /// The slot time that its share came to since then, in milliseconds, counted by the looks.
    accrued: f64,
    looked_at: Millis,
}

impl Floor {
    /// Adds a request that waits.
    pub(super) fn push(&mut self, arrived: Millis, request: u64, now: Millis) {
        self.waiting.insert((arrived, request));
        self.hungry_since.get_or_insert(now);
    }

    /// Takes out a request.
    pub(super) fn remove(&mut self, arrived: Millis, request: u64) {
        self.waiting.remove(&(arrived, request));
        if self.waiting.is_empty() {
            self.hungry_since = None;
            self.reset_looks();
        }
    }

    /// Notes that a request of the class starts with this expected slot time.
    pub(super) fn start(&mut self, work: u64, now: Millis) {
        self.credit = (self.credit - work as f64).max(-CREDIT_LIMIT * work as f64);
        self.hungry_since = if self.waiting.is_empty() { None } else { Some(now) };
        self.reset_looks();
    }

    fn reset_looks(&mut self) {
        (self.looks, self.blocked, self.accrued) = (0, 0, 0.0);
    }

    /// Earns slot time from `slots` slots; waiting longer earns more.
    pub(super) fn earn(&mut self, slots: f64, work: u64, now: Millis) {
        let elapsed = now.since(self.earned_at).0 as f64;
        self.earned_at = now;
        if self.waiting.is_empty() {
            return;
        }
        let earned = elapsed * slots * self.share * self.ageing(now);
        self.credit = (self.credit + earned).min(CREDIT_LIMIT * work as f64);
    }

    fn ageing(&self, now: Millis) -> f64 {
        let waited = self.hungry_since.map_or(Millis(0), |since| now.since(since));
        let parts = waited.0 * AGEING_PART / self.window.0.max(1);
        match parts {
            0 => 1.0,
            1 => 2.0,
            _ => 4.0,
        }
    }

    /// Returns the request that the floor starts next, if it has the slot time for it.
    pub(super) fn owed(&self, work: u64) -> Option<u64> {
        let (_, request) = self.waiting.first()?;
        (self.credit >= work as f64).then_some(*request)
    }

    /// Returns whether the class has waited for half of its finish window.
    pub(super) fn is_aged(&self, now: Millis) -> bool {
        let since = self.hungry_since;
        since.is_some_and(|since| now.since(since).0 * 2 > self.window.0)
    }

    /// Notes whether higher tiers leave the class slack now for the `work` of its next start.
    ///
    /// A share that has not yet come to one start owes none, so slack counts from then on.
    pub(super) fn look(&mut self, has_slack: bool, slots: f64, work: u64, now: Millis) {
        if self.hungry_since.is_some() {
            self.accrued += now.since(self.looked_at).0 as f64 * slots * self.share;
        }
        self.looked_at = now;
        if self.owed(work).is_some() {
            self.looks += 1;
            self.blocked += u32::from(!has_slack);
        }
    }

    /// Returns whether the class had a start in each finish window that owed it one with slack.
    ///
    /// `work` is the slot time of its next start. A window in which the share came to more than
    /// the class can be in debt, and one start on top, has to owe it that start.
    pub(super) fn holds(&self, work: u64, now: Millis) -> bool {
        let hungry = self.hungry_since.is_some_and(|since| now.since(since) > self.window);
        let excused = if self.looks == 0 {
            self.accrued < (CREDIT_LIMIT + 1.0) * work as f64
        } else {
            f64::from(self.blocked) >= f64::from(self.looks) * BLOCKED_PART
        };
        !hungry || excused
    }
}
