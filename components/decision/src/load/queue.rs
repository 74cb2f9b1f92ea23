use crate::Millis;
use std::collections::{BTreeMap, BTreeSet};

/// The waiting requests of one tier of one pool, in fair-queueing order by account.
///
/// A request is tagged with the virtual time at which its account's earlier work would end if each
/// account got the same rate; the lowest tag goes first.
#[derive(Clone, Debug, Default)]
pub(super) struct TierQueue {
    /// Requests by their tags.
    waiting: BTreeSet<(u64, u64)>,
    /// Requests by the time from which they are urgent.
    by_urgency: BTreeSet<(Millis, u64)>,
    /// The virtual time at which the queued work of each account ends.
    account_ends: BTreeMap<String, u64>,
    virtual_time: u64,
    /// The expected slot time of all waiting requests.
    work_ms: u64,
}

/// The sort keys of a request in its queue.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(super) struct Position {
    /// The virtual time that orders the queue.
    pub(super) tag: u64,
    /// The time by which the request has to start.
    pub(super) latest: Millis,
    /// The time from which the request is urgent.
    pub(super) urgent_at: Millis,
    /// The expected slot time of the request, in milliseconds.
    pub(super) work_ms: u64,
}

impl TierQueue {
    pub(super) fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Adds a request; `times` are its latest start and the time from which it is urgent.
    ///
    /// Without fairness, requests are ordered by their numbers.
    pub(super) fn push(
        &mut self,
        request: u64,
        account: &str,
        times: (Millis, Millis),
        work_ms: u64,
        fair: bool,
    ) -> Position {
        let end = self.account_ends.get(account).copied().unwrap_or(0);
        let tag = if fair { self.virtual_time.max(end) } else { 0 };
        if fair {
            self.account_ends.insert(account.to_string(), tag + work_ms);
        }
        let position = Position { tag, latest: times.0, urgent_at: times.1, work_ms };
        self.insert(request, position);
        position
    }

    /// Adds a request that has had an attempt before; it goes to the front of the queue.
    pub(super) fn push_front(
        &mut self,
        request: u64,
        times: (Millis, Millis),
        work_ms: u64,
    ) -> Position {
        let position = Position { tag: 0, latest: times.0, urgent_at: times.1, work_ms };
        self.insert(request, position);
        position
    }

    fn insert(&mut self, request: u64, position: Position) {
        self.waiting.insert((position.tag, request));
        self.by_urgency.insert((position.urgent_at, request));
        self.work_ms += position.work_ms;
    }

    pub(super) fn remove(&mut self, request: u64, account: &str, position: Position) {
        if !self.waiting.remove(&(position.tag, request)) {
            return;
        }
        self.by_urgency.remove(&(position.urgent_at, request));
        self.work_ms = self.work_ms.saturating_sub(position.work_ms);
        if self.waiting.is_empty() {
            self.account_ends.clear();
        } else if self.account_ends.get(account) == Some(&(position.tag + position.work_ms)) {
            self.account_ends.insert(account.to_string(), position.tag);
        }
    }

    /// Advances the virtual time to the tag of a request that starts.
    pub(super) fn advance(&mut self, tag: u64) {
        self.virtual_time = self.virtual_time.max(tag);
    }

    /// Returns the request to start next.
    pub(super) fn first(&self) -> Option<u64> {
        self.waiting.first().map(|(_, request)| *request)
    }

    /// Returns the last request in the order of starting.
    pub(super) fn last(&self) -> Option<u64> {
        self.waiting.last().map(|(_, request)| *request)
    }

    /// Returns the request that becomes urgent first, and when.
    pub(super) fn most_urgent(&self) -> Option<(Millis, u64)> {
        self.by_urgency.first().copied()
    }

    /// Returns the requests that are urgent by `until`, the most urgent first.
    pub(super) fn urgent(&self, until: Millis) -> impl Iterator<Item = u64> + '_ {
        self.by_urgency.iter().take_while(move |(at, _)| *at <= until).map(|(_, request)| *request)
    }

    /// Estimates the slot time queued ahead of an account's next request, in milliseconds.
    pub(super) fn work_before_ms(&self, account: &str, fair: bool) -> u64 {
        if !fair {
            return self.work_ms;
        }
        let own =
            self.account_ends.get(account).map_or(0, |end| end.saturating_sub(self.virtual_time));
        let accounts = self.account_ends.len().max(1) as u64;
        self.work_ms.min(own.saturating_mul(accounts))
    }
}
