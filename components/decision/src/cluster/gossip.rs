use super::Identity;
use crate::Millis;
use std::collections::BTreeMap;

/// Something new that other daemons should hear.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Update {
    /// The state of a member.
    Member(Identity),
    /// A shared value of an origin.
    Entry(Identity, String),
}

/// Update on their way, with how often each was sent, and the budget of bytes for them.
#[derive(Clone, Debug, Default)]
pub struct GossipQueue {
    pending: BTreeMap<Update, u32>,
    budget_bytes: u64,
    refilled: Millis,
}

impl GossipQueue {
    /// Adds update, which starts anew when it was known.
    pub fn push(&mut self, update: Update) {
        self.pending.insert(update, 0);
    }

    /// Returns whether nothing waits to be told.
    pub fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }

    /// Fills the budget up; unused budget lasts for one second.
    pub fn refill(&mut self, rate: u64, now: Millis) {
        let added_bytes = rate * now.since(self.refilled).0 / 1_000;
        if added_bytes == 0 {
            return;
        }
        self.budget_bytes = (self.budget_bytes + added_bytes).min(rate);
        self.refilled = now;
    }

    /// Returns the bytes that may be spent now.
    pub fn budget_bytes(&self) -> u64 {
        self.budget_bytes
    }

    /// Takes bytes off the budget.
    pub fn spend(&mut self, bytes: u64) {
        self.budget_bytes = self.budget_bytes.saturating_sub(bytes);
    }

    /// Returns the update in the order in which to tell them, the least told first.
    pub fn ordered(&self) -> Vec<Update> {
        let mut updates: Vec<(u32, &Update)> =
            self.pending.iter().map(|(n, sent)| (*sent, n)).collect();
        updates.sort_unstable();
        updates.into_iter().map(|(_, n)| n.clone()).collect()
    }

    /// Counts that update were sent and drops them after `limit` times.
    pub fn record_sent(&mut self, update: &Update, limit: u32) {
        let Some(count) = self.pending.get_mut(update) else { return };
        *count += 1;
        if *count >= limit {
            self.pending.remove(update);
        }
    }

    /// Counts that another daemon told the same update.
    pub fn record_duplicate(&mut self, update: &Update) {
        self.record_sent(update, u32::MAX);
    }

    /// Drops update that nothing stands behind any more.
    pub fn remove(&mut self, update: &Update) {
        self.pending.remove(update);
    }
}
