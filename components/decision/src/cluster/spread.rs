use super::Identity;
use crate::Millis;
use std::collections::BTreeMap;

/// Something new that other daemons should hear.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum News {
    /// The state of a member.
    Member(Identity),
    /// A shared value of an origin.
    Entry(Identity, String),
}

/// News on their way, with how often each was sent, and the budget of bytes for them.
#[derive(Clone, Debug, Default)]
pub struct Spread {
    pending: BTreeMap<News, u32>,
    credit: u64,
    refilled: Millis,
}

impl Spread {
    /// Adds news, which starts anew when it was known.
    pub fn push(&mut self, news: News) {
        self.pending.insert(news, 0);
    }

    /// Returns whether nothing waits to be told.
    pub fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }

    /// Fills the budget up; unused budget lasts for one second.
    pub fn refill(&mut self, rate: u64, now: Millis) {
        let gained = rate * now.since(self.refilled).0 / 1_000;
        if gained == 0 {
            return;
        }
        self.credit = (self.credit + gained).min(rate);
        self.refilled = now;
    }

    /// Returns the bytes that may be spent now.
    pub fn credit(&self) -> u64 {
        self.credit
    }

    /// Takes bytes off the budget.
    pub fn spend(&mut self, bytes: u64) {
        self.credit = self.credit.saturating_sub(bytes);
    }

    /// Returns the news in the order in which to tell them, the least told first.
    pub fn ordered(&self) -> Vec<News> {
        let mut news: Vec<(u32, &News)> = self.pending.iter().map(|(n, sent)| (*sent, n)).collect();
        news.sort_unstable();
        news.into_iter().map(|(_, n)| n.clone()).collect()
    }

    /// Counts that news were sent and drops them after `limit` times.
    pub fn sent(&mut self, news: &News, limit: u32) {
        let Some(count) = self.pending.get_mut(news) else { return };
        *count += 1;
        if *count >= limit {
            self.pending.remove(news);
        }
    }

    /// Counts that another daemon told the same news.
    pub fn heard(&mut self, news: &News) {
        self.sent(news, u32::MAX);
    }

    /// Drops news that nothing stands behind any more.
    pub fn remove(&mut self, news: &News) {
        self.pending.remove(news);
    }
}
