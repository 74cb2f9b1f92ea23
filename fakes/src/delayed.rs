use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// A value whose changes become visible to readers after a fixed delay.
#[derive(Clone, Debug)]
pub(crate) struct Delayed<T> {
    lag: Duration,
    values: VecDeque<(Instant, T)>,
}

impl<T: Clone + Default> Delayed<T> {
    pub(crate) fn new(lag: Duration) -> Delayed<T> {
        Delayed { lag, values: VecDeque::new() }
    }

    /// Sets the value; readers see it from `now + lag` on.
    pub(crate) fn set(&mut self, value: T, now: Instant) {
        self.drop_outdated(now);
        self.values.push_back((now, value));
    }

    /// The value as of `now - lag`, or the default if none was set by then.
    pub(crate) fn get(&mut self, now: Instant) -> T {
        self.drop_outdated(now);
        let visible = self.values.front().filter(|(at, _)| *at + self.lag <= now);
        visible.map(|(_, value)| value.clone()).unwrap_or_default()
    }

    fn drop_outdated(&mut self, now: Instant) {
        while self.values.get(1).is_some_and(|(at, _)| *at + self.lag <= now) {
            self.values.pop_front();
        }
    }
}
