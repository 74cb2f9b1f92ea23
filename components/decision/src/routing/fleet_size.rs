use crate::Millis;
use std::collections::VecDeque;

/// Time for which a larger earlier count is used: daemons that a failed reader or a partition hides
/// still use their part of the retry budget.
const RETENTION: Millis = Millis(60_000);
/// Time for which a count must hold to be used for [`RETENTION`]. After a takeover, daemons are
/// counted both at the new reader and at the replaced one, until the reports of the latter are
/// stale, at most 3.5 s later.
const SUSTAINED_TIME: Millis = Millis(5_000);

/// The number of daemons that share the endpoints: the latest count, or the largest sustained one
/// of the last minute.
#[derive(Clone, Debug, Default)]
pub struct FleetSize {
    /// The counts of the last [`SUSTAINED_TIME`], and the one that held when it began; oldest first.
    recent: VecDeque<(Millis, usize)>,
    /// Sustained counts in decreasing order, with the time of each; smaller ones are newer.
    sustained: VecDeque<(Millis, usize)>,
}

impl FleetSize {
    /// Records a count, which holds until the next one.
    pub fn record(&mut self, daemons: usize, now: Millis) {
        let starts_before = |at: Millis| now.since(at) >= SUSTAINED_TIME;
        while self.recent.get(1).is_some_and(|(at, _)| starts_before(*at)) {
            self.recent.pop_front();
        }
        if self.recent.front().is_some_and(|(at, _)| starts_before(*at)) {
            self.record_sustained();
        }
        self.recent.push_back((now, daemons));
    }

    fn record_sustained(&mut self) {
        let least = self.recent.iter().map(|(_, count)| *count).min();
        let latest = self.recent.back().map(|(at, _)| *at);
        let Some((at, count)) = latest.zip(least) else { return };
        while self.sustained.back().is_some_and(|(_, before)| *before <= count) {
            self.sustained.pop_back();
        }
        self.sustained.push_back((at, count));
    }

    /// Returns the number of daemons, at least 1; `None` before the first count.
    pub fn count(&self, now: Millis) -> Option<usize> {
        let latest = self.recent.back()?.1;
        let sustained = self.sustained.iter().find(|(at, _)| now.since(*at) < RETENTION);
        Some(sustained.map_or(latest, |(_, count)| latest.max(*count)).max(1))
    }
}
