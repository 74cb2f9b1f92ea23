use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// A value that readers see as it was some time ago.
#[derive(Clone, Debug)]
pub(crate) struct Lagged<T> {
    lag: Duration,
    values: VecDeque<(Instant, T)>,
}

impl<T: Clone + Default> Lagged<T> {
    /// Creates a value that is seen after `lag`.
    pub(crate) fn new(lag: Duration) -> Lagged<T> {
        Lagged { lag, values: VecDeque::new() }
    }

    /// Sets the value from `now` on.
    pub(crate) fn set(&mut self, value: T, now: Instant) {
        self.forget(now);
        self.values.push_back((now, value));
    }

    /// Returns the value as it was `lag` before `now`.
    pub(crate) fn get(&mut self, now: Instant) -> T {
        self.forget(now);
        let oldest = self.values.front().filter(|(at, _)| *at + self.lag <= now);
        oldest.map(|(_, value)| value.clone()).unwrap_or_default()
    }

    fn forget(&mut self, now: Instant) {
        while self.values.get(1).is_some_and(|(at, _)| *at + self.lag <= now) {
            self.values.pop_front();
        }
    }
}
