use crate::Millis;
use std::collections::{BTreeMap, VecDeque};

/// Maximum time from the decision on a retry to its arrival at the endpoint: that of a new connection.
/// The arrivals in a window were decided on up to this time before it.
const MAX_DELIVERY_TIME: Millis = Millis(600);

/// The part of the share that is used. The requests of a window of retries are not quite those of the
/// window before a decision.
const USED_SHARE: f64 = 0.95;

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
    fn expire(&mut self, length: Millis, now: Millis) {
        remove_before(&mut self.requests, now - length);
        remove_before(&mut self.retries, now - (length + MAX_DELIVERY_TIME));
    }
}

fn remove_before(times: &mut VecDeque<Millis>, before: Millis) {
    while times.front().is_some_and(|at| *at < before) {
        times.pop_front();
    }
}

/// The part of a shared retry budget that one daemon may use.
///
/// Each daemon uses the share of its own requests and an equal part of the extra retries, so the
/// sum stays within the limits without any coordination.
#[derive(Clone, Debug, Default)]
pub struct RetryBudget {
    cfg: RetryBudgetConfig,
    /// Time from which requests are retried.
    retries_from: Millis,
    services: BTreeMap<String, Window>,
}

impl RetryBudget {
    /// Creates a budget whose windows are empty.
    pub fn new(cfg: RetryBudgetConfig) -> RetryBudget {
        RetryBudget { cfg, retries_from: Millis(0), services: BTreeMap::new() }
    }

    /// Creates a budget for a process that may have had a predecessor until `now`. That one may have
    /// spent all that its requests and those since allow, so nothing is spent until it is out of the
    /// window.
    pub fn after_restart(cfg: RetryBudgetConfig, now: Millis) -> RetryBudget {
        let retries_from = now + cfg.window + MAX_DELIVERY_TIME;
        RetryBudget { retries_from, ..RetryBudget::new(cfg) }
    }

    /// Records a request for a service, of which a share may be retried.
    pub fn record_request(&mut self, service: &str, now: Millis) {
        let window = self.services.entry(service.to_owned()).or_default();
        window.expire(self.cfg.window, now);
        window.requests.push_back(now);
    }

    /// Records a retry and returns true if the budget, shared by `daemons`, allows it. While the
    /// number of daemons is unknown (`None`), the extra retries are not used.
    pub fn try_spend(&mut self, service: &str, daemons: Option<usize>, now: Millis) -> bool {
        let window = self.services.entry(service.to_owned()).or_default();
        window.expire(self.cfg.window, now);
        if now < self.retries_from {
            return false;
        }
        let share = USED_SHARE * self.cfg.ratio * window.requests.len() as f64;
        let extra = daemons.map_or(0.0, |daemons| self.cfg.extra / daemons.max(1) as f64);
        if (window.retries.len() + 1) as f64 > share + extra {
            return false;
        }
        window.retries.push_back(now);
        true
    }
}
