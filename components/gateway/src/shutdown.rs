use crate::clock::now;
use decision::Millis;
use std::cell::Cell;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::sleep;

/// Time after a stop signal in which idle connections stay open, and requests are accepted whatever
/// their time limits: load balancers notice within two seconds that this daemon is not ready.
pub(crate) const IDLE_GRACE_PERIOD: Millis = Millis(3_000);
/// Time that a request must have until the final answers, also in that period.
const MIN_REQUEST_TIME: Millis = Millis(2_000);
/// That time is at most the time between the signal and the final answers divided by this.
const MIN_REQUEST_TIME_DIVISOR: u64 = 4;
/// Time before the exit at which requests under way get their final answers, so that these are sent.
const FINAL_ANSWER_TIME: Millis = Millis(200);

/// When a shutdown began, and when it ends.
#[derive(Clone, Copy, Debug)]
struct StopPlan {
    started: Millis,
    /// When the requests that are still under way get their final answers.
    answers_at: Millis,
}

impl StopPlan {
    fn accepts(&self, time_limit: Millis, now: Millis) -> bool {
        let min_time = Millis(self.answers_at.since(self.started).0 / MIN_REQUEST_TIME_DIVISOR);
        let is_early = now < self.started + IDLE_GRACE_PERIOD;
        let needed =
            if is_early { time_limit.min(MIN_REQUEST_TIME.min(min_time)) } else { time_limit };
        now + needed <= self.answers_at
    }
}

/// The state of a shutdown, in this order:
///
/// 1. Idle connections stay open at first, so that clients can still send requests on them, and are closed
///    later. Requests are accepted as long as they can end before the exit.
/// 2. When no request is open, or the time is over, the listeners close.
/// 3. When the requests of the connections that were accepted until then have ended, all others are refused.
///    Only after that may the process wait for anything else, and exit.
#[derive(Debug, Default)]
pub(crate) struct Shutdown {
    plan: Cell<Option<StopPlan>>,
    closes_idle: Cell<bool>,
    closes_listeners: Cell<bool>,
    refuses_requests: Cell<bool>,
    changed: Notify,
}

impl Shutdown {
    /// Begins the shutdown of a process that exits at `exits_at` at the latest. Each connection closes
    /// after its next response.
    pub(crate) fn start(&self, now: Millis, exits_at: Millis) {
        let answers_at = exits_at - FINAL_ANSWER_TIME;
        self.plan.set(Some(StopPlan { started: now, answers_at }));
        self.changed.notify_waiters();
    }

    /// Closes idle connections from now on.
    pub(crate) fn close_idle(&self) {
        self.closes_idle.set(true);
        self.changed.notify_waiters();
    }

    /// Closes the listeners from now on.
    pub(crate) fn close_listeners(&self) {
        self.closes_listeners.set(true);
        self.changed.notify_waiters();
    }

    /// Refuses all requests from now on.
    pub(crate) fn refuse_requests(&self) {
        self.refuses_requests.set(true);
    }

    pub(crate) fn is_stopping(&self) -> bool {
        self.plan.get().is_some()
    }

    pub(crate) fn closes_idle(&self) -> bool {
        self.closes_idle.get()
    }

    /// Returns whether a request that arrives now, and ends within `time_limit`, is accepted.
    pub(crate) fn accepts_request(&self, time_limit: Millis, now: Millis) -> bool {
        let is_in_time = self.plan.get().is_none_or(|plan| plan.accepts(time_limit, now));
        is_in_time && !self.refuses_requests.get()
    }

    /// Waits until the state changes.
    pub(crate) async fn changed(&self) {
        self.changed.notified().await;
    }

    /// Waits until the listeners close.
    pub(crate) async fn listeners_close(&self) {
        while !self.closes_listeners.get() {
            self.changed().await;
        }
    }

    /// Waits until requests under way must get their final answers.
    pub(crate) async fn final_answers_due(&self) {
        loop {
            let changed = self.changed.notified();
            let Some(plan) = self.plan.get() else {
                changed.await;
                continue;
            };
            let left = plan.answers_at.since(now());
            return sleep(Duration::from_millis(left.0)).await;
        }
    }
}
