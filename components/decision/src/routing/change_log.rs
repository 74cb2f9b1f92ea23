use std::collections::VecDeque;

/// The most recent changes in order. Followers, the daemons that read the store through this one,
/// request the changes after the last one that they have received.
#[derive(Clone, Debug)]
pub struct ChangeLog<T> {
    changes: VecDeque<T>,
    /// The sequence number of the last change.
    last: u64,
    limit: usize,
}

impl<T> ChangeLog<T> {
    /// Creates a log that keeps at most `limit` changes.
    pub fn new(limit: usize) -> ChangeLog<T> {
        ChangeLog { changes: VecDeque::new(), last: 0, limit }
    }

    /// Appends a change; drops the oldest one above the limit.
    pub fn push(&mut self, change: T) {
        self.last += 1;
        self.changes.push_back(change);
        if self.changes.len() > self.limit {
            self.changes.pop_front();
        }
    }

    /// Returns the sequence number of the last change; 0 before the first.
    pub fn last(&self) -> u64 {
        self.last
    }

    /// Returns the changes after a sequence number; `None` if some of them are no longer kept or
    /// the number is ahead of the log.
    pub fn since(&self, sequence: u64) -> Option<impl Iterator<Item = &T>> {
        let missing = self.last.checked_sub(sequence)?;
        let skipped = self.changes.len().checked_sub(usize::try_from(missing).ok()?)?;
        Some(self.changes.iter().skip(skipped))
    }
}
