use crate::Millis;
use std::collections::VecDeque;

/// The period in which calls are counted. It is longer than a second, as the times between calls are
/// shorter at the receiver when an earlier one was delayed.
const PERIOD: Millis = Millis(1_100);

/// Limits the calls per second to the platform.
#[derive(Clone, Debug, Default)]
pub struct CallRate {
    /// When the last calls were sent.
    sent: VecDeque<Millis>,
}

impl CallRate {
    /// Returns when the next call may be sent; a time that is not later than `now` allows it now.
    pub fn next_at(&self, per_second: f64, now: Millis) -> Millis {
        let (max_calls, period) = limit(per_second);
        let over = self.sent.len().checked_sub(max_calls);
        over.and_then(|at| self.sent.get(at)).map_or(now, |earliest| *earliest + period)
    }

    /// Records a call that is sent now.
    pub fn record(&mut self, per_second: f64, now: Millis) {
        self.sent.push_back(now);
        while self.sent.len() > limit(per_second).0 {
            self.sent.pop_front();
        }
    }
}

/// The maximum number of calls in a period. If less than one call per second is accepted, the period is
/// the time between two.
fn limit(per_second: f64) -> (usize, Millis) {
    if per_second >= 1.0 {
        return (per_second as usize, PERIOD);
    }
    let seconds = 1.0 / per_second.max(0.001);
    (1, Millis((seconds * PERIOD.0 as f64) as u64))
}
