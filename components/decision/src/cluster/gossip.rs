use super::Identity;
use crate::Millis;
use std::collections::BTreeMap;

/// Reference to a change that is gossiped; its content is looked up when a packet is built.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Update {
    /// State of a member.
    Member(Identity),
    /// Shared value, by origin and key.
    Entry(Identity, String),
}

/// Queue of updates to gossip, with the number of times that each was sent, and the byte budget for
/// sending them.
#[derive(Clone, Debug, Default)]
pub struct GossipQueue {
    pending: BTreeMap<Update, u32>,
    budget_bytes: u64,
    refilled_at: Millis,
}

impl GossipQueue {
    /// Queues an update; an update that is already queued restarts with a count of zero.
    pub fn push(&mut self, update: Update) {
        self.pending.insert(update, 0);
    }

    /// Whether no update is queued.
    pub fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }

    /// Refills the byte budget at `rate` bytes per second, up to `rate` bytes.
    pub fn refill(&mut self, rate: u64, now: Millis) {
        let added_bytes = rate * now.since(self.refilled_at).0 / 1_000;
        if added_bytes == 0 {
            return;
        }
        self.budget_bytes = (self.budget_bytes + added_bytes).min(rate);
        self.refilled_at = now;
    }

    /// Bytes that may be sent now.
    pub fn budget_bytes(&self) -> u64 {
        self.budget_bytes
    }

    /// Deducts sent bytes from the budget.
    pub fn spend(&mut self, bytes: u64) {
        self.budget_bytes = self.budget_bytes.saturating_sub(bytes);
    }

    /// Updates in sending order, least often sent first.
    pub fn ordered(&self) -> Vec<Update> {
        let mut updates: Vec<(u32, &Update)> =
            self.pending.iter().map(|(update, sent)| (*sent, update)).collect();
        updates.sort_unstable();
        updates.into_iter().map(|(_, update)| update.clone()).collect()
    }

    /// Counts a transmission of an update and removes it after `limit` transmissions.
    pub fn record_sent(&mut self, update: &Update, limit: u32) {
        let Some(count) = self.pending.get_mut(update) else { return };
        *count += 1;
        if *count >= limit {
            self.pending.remove(update);
        }
    }

    /// Counts the receipt of an update that is already known as a transmission, so that it is sent
    /// later than others. Does not remove it.
    pub fn record_duplicate(&mut self, update: &Update) {
        self.record_sent(update, u32::MAX);
    }

    /// Removes an update whose content no longer exists.
    pub fn remove(&mut self, update: &Update) {
        self.pending.remove(update);
    }
}
