use crate::Millis;
use std::collections::{BTreeMap, VecDeque};

/// Limits the retries at another endpoint for each service, over all daemons together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudgetConfig {
    /// Retries as a share of the requests in the window.
    pub ratio: f64,
    /// The length of the sliding window.
    pub window: Millis,
    /// Retries in a window that are allowed in addition to the share, divided among all daemons.
    pub extra: f64,
}

impl Default for RetryBudgetConfig {
    /// The ratio is one that is common for retry budgets.
    fn default() -> RetryBudgetConfig {
        RetryBudgetConfig { ratio: 0.2, window: Millis(10_000), extra: 10.0 }
    }
}

#[derive(Clone, Debug, Default)]
struct Window {
    requests: VecDeque<Millis>,
    retries: VecDeque<Millis>,
}

impl Window {
    fn expire(&mut self, before: Millis) {
        for times in [&mut self.requests, &mut self.retries] {
            while times.front().is_some_and(|at| *at < before) {
                times.pop_front();
            }
        }
    }
}

/// The part of a shared retry budget that one daemon may use.
///
/// Each daemon uses the share of its own requests and an equal part of the extra retries, so the
/// sum stays within the limits without any coordination.
#[derive(Clone, Debug, Default)]
pub struct RetryBudget {
    cfg: RetryBudgetConfig,
    services: BTreeMap<String, Window>,
}

impl RetryBudget {
    /// Creates a budget whose windows are empty.
    pub fn new(cfg: RetryBudgetConfig) -> RetryBudget {
        RetryBudget { cfg, services: BTreeMap::new() }
    }

    /// Records a request for a service, of which a share may be retried.
    pub fn record_request(&mut self, service: &str, now: Millis) {
        let window = self.services.entry(service.to_owned()).or_default();
        window.expire(now - self.cfg.window);
        window.requests.push_back(now);
    }

    /// Records a retry and returns true if the budget, shared by `daemons`, allows it. While the
    /// number of daemons is unknown (`None`), the extra retries are not used.
    pub fn try_spend(&mut self, service: &str, daemons: Option<usize>, now: Millis) -> bool {
        let window = self.services.entry(service.to_owned()).or_default();
        window.expire(now - self.cfg.window);
        let share = self.cfg.ratio * window.requests.len() as f64;
        let extra = daemons.map_or(0.0, |daemons| self.cfg.extra / daemons.max(1) as f64);
        if (window.retries.len() + 1) as f64 > share + extra {
            return false;
        }
        window.retries.push_back(now);
        true
    }
}
