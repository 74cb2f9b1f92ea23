use crate::Millis;
use std::collections::{BTreeMap, VecDeque};

/// How many requests may go to a second endpoint, over all daemons together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudgetConfig {
    /// Second sends as a share of the requests of the window.
    pub ratio: f64,
    /// The window.
    pub window: Millis,
    /// Second sends in a window beyond the share, of all daemons together.
    pub extra: f64,
}

impl Default for RetryBudgetConfig {
    /// The share that common retry budgets use.
    fn default() -> RetryBudgetConfig {
        RetryBudgetConfig { ratio: 0.2, window: Millis(10_000), extra: 10.0 }
    }
}

#[derive(Clone, Debug, Default)]
struct Window {
    requests: VecDeque<Millis>,
    repeats: VecDeque<Millis>,
}

impl Window {
    fn forget(&mut self, before: Millis) {
        for times in [&mut self.requests, &mut self.repeats] {
            while times.front().is_some_and(|at| *at < before) {
                times.pop_front();
            }
        }
    }
}

/// The part of a shared retry budget that one daemon may use.
///
/// Each daemon uses the share of its own requests and an equal part of the extra sends, so the sum
/// stays within the terms without any exchange.
#[derive(Clone, Debug, Default)]
pub struct RetryBudget {
    terms: RetryBudgetConfig,
    services: BTreeMap<String, Window>,
}

impl RetryBudget {
    /// Creates a budget.
    pub fn new(terms: RetryBudgetConfig) -> RetryBudget {
        RetryBudget { terms, services: BTreeMap::new() }
    }

    /// Counts a request for a service.
    pub fn record_request(&mut self, service: &str, now: Millis) {
        let window = self.services.entry(service.to_owned()).or_default();
        window.forget(now - self.terms.window);
        window.requests.push_back(now);
    }

    /// Takes a second send from the budget, which `daemons` share. While their number is not known,
    /// only the share of the daemon's own requests is used.
    pub fn try_spend(&mut self, service: &str, daemons: Option<usize>, now: Millis) -> bool {
        let window = self.services.entry(service.to_owned()).or_default();
        window.forget(now - self.terms.window);
        let share = self.terms.ratio * window.requests.len() as f64;
        let extra = daemons.map_or(0.0, |daemons| self.terms.extra / daemons.max(1) as f64);
        if (window.repeats.len() + 1) as f64 > share + extra {
            return false;
        }
        window.repeats.push_back(now);
        true
    }
}
