use super::calls::{CallOutcome, MAX_BACKOFF, MIN_BACKOFF, call};
use super::{CHECK_INTERVAL, DutyReports};
use crate::adapter::Adapter;
use crate::clock::now;
use crate::gateway::Gateway;
use crate::routed_request::RoutedRequest;
use decision::Millis;
use decision::duties::{
    DutyCall, ReportOutcome, SkippedWindows, UsageLoss, UsageReports, report_interval,
};
use messages::duties::UsageWindow;
use std::rc::Rc;
use tokio::time::sleep;

/// The time until a notice of a new holder has reached all daemons, and until a report of theirs arrives.
const NOTICE_TIME: Millis = Millis(2_000);

/// Counts a request of a client account, once, when it begins to run: at the head of a response, and at the
/// first event of a stream. A request that continues a stream was counted with its beginning.
pub(crate) fn count_request<A: Adapter>(gateway: &Gateway<A>, request: &RoutedRequest) {
    let Some(account) = &request.account else { return };
    if request.last_event.is_some() || request.is_counted.get() {
        return;
    }
    let mut reports = gateway.duties.reports.borrow_mut();
    let reports = reports.as_mut().filter(|reports| reports.has_usage);
    let Some(DutyReports { clock, counts, .. }) = reports else { return };
    request.is_counted.set(true);
    if let Some(loss) = counts.record(account, clock.window(now())) {
        log_loss(loss);
    }
}

fn log_loss(loss: UsageLoss) {
    match loss {
        UsageLoss::Window(window) => {
            tracing::warn!(
                event = "usage_counts_dropped",
                window,
                "too many windows are unreported"
            );
        }
        UsageLoss::Accounts(window) => {
            tracing::warn!(event = "usage_counts_dropped", window, "too many accounts in a window");
        }
    }
}

/// Makes the usage reports while this daemon holds the duties. Never returns.
pub(super) async fn report_usage<A: Adapter>(gateway: Rc<Gateway<A>>) {
    let mut task = UsageTask::default();
    loop {
        task.step(&gateway).await;
        sleep(CHECK_INTERVAL).await;
    }
}

#[derive(Debug, Default)]
struct UsageTask {
    /// The token of the claim that the reports are made with.
    token: Option<u64>,
    /// Whether this daemon has acted with that token.
    has_taken_over: bool,
    /// When the next call may be made, and the pause after it.
    next_call: Millis,
    backoff: Millis,
}

impl UsageTask {
    async fn step<A: Adapter>(&mut self, gateway: &Rc<Gateway<A>>) {
        self.follow_lease(gateway);
        if !self.has_taken_over || gateway.duties.may_act(now()).is_none() {
            return;
        }
        let state = with_reports(gateway, |reports| {
            if let Some(skipped) = reports.expire(now()) {
                log_skipped(skipped);
            }
            if let Some(loss) = reports.begin_report(now()) {
                log_loss(loss);
            }
            reports.state_to_write()
        });
        if let Some(state) = state.flatten() {
            if !gateway.duties.store_usage(state.clone()).await {
                return;
            }
            with_reports(gateway, |reports| reports.confirm(&state));
        }
        let report = with_reports(gateway, |reports| reports.report().cloned()).flatten();
        if let Some(report) = report.filter(|_| now() >= self.next_call) {
            self.send(gateway, report).await;
        }
    }

    /// Begins to take reports at a claim, and stops when the duties are lost.
    fn follow_lease<A: Adapter>(&mut self, gateway: &Gateway<A>) {
        let now = now();
        let token = gateway.duties.held_token(now);
        if token != self.token {
            *self = UsageTask { token, ..UsageTask::default() };
            let interval = report_interval(gateway.daemon_count(now).unwrap_or(1));
            let last_window = gateway.duties.known_holder().and_then(|holder| holder.window);
            with_reports(gateway, |reports| {
                last_window.into_iter().for_each(|window| reports.observe_last_window(window));
                match token {
                    Some(_) => reports.start(NOTICE_TIME + interval, now),
                    None => reports.stop(),
                }
            });
        }
        if token.is_some() && !self.has_taken_over && gateway.duties.may_act(now) == token {
            let state = gateway.duties.stored_usage();
            let era = gateway.store_era();
            let skipped = with_reports(gateway, |reports| reports.take_over(state.as_ref(), era));
            skipped.flatten().into_iter().for_each(log_skipped);
            self.has_taken_over = true;
        } else if token.is_some()
            && let Some(era) = gateway.store_era()
        {
            with_reports(gateway, |reports| reports.observe_era(era.number));
        }
    }

    /// Sends the report of a window, and pauses before it is repeated.
    async fn send<A: Adapter>(&mut self, gateway: &Rc<Gateway<A>>, report: UsageWindow) {
        let (window, sent) = (report.number, now());
        let (accounts, requests) = (report.counts.len(), report.counts.values().sum::<u64>());
        let content = DutyCall::Usage { window, counts: report.counts };
        let outcome = match call(gateway, &content).await {
            CallOutcome::Accepted => ReportOutcome::Accepted,
            CallOutcome::Failed => ReportOutcome::NotAccepted,
            CallOutcome::Unclear | CallOutcome::Unavailable => ReportOutcome::Unclear,
            CallOutcome::NotHolder => return,
        };
        let skipped =
            with_reports(gateway, |reports| reports.record_outcome(window, outcome, sent, now()));
        if let Some(skipped) = skipped.flatten() {
            log_skipped(skipped);
        }
        if outcome != ReportOutcome::Accepted {
            self.backoff = (self.backoff + self.backoff).max(MIN_BACKOFF).min(MAX_BACKOFF);
            self.next_call = now() + self.backoff;
            return;
        }
        self.backoff = Millis(0);
        let is_late = with_reports(gateway, |reports| reports.is_late(window, now()));
        let is_late = is_late.unwrap_or_default();
        gateway.metrics.usage_windows_reported.inc();
        gateway.metrics.usage_reports_late.inc_by(u64::from(is_late));
        tracing::info!(event = "usage_reported", window, accounts, requests, is_late);
    }
}

fn with_reports<A: Adapter, T>(
    gateway: &Gateway<A>,
    f: impl FnOnce(&mut UsageReports) -> T,
) -> Option<T> {
    gateway.duties.reports.borrow_mut().as_mut().map(|reports| f(&mut reports.usage))
}

fn log_skipped(skipped: SkippedWindows) {
    let SkippedWindows { first, last, reason } = skipped;
    tracing::warn!(event = "usage_window_skipped", first, last, reason);
}
