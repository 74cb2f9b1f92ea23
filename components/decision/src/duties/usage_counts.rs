use crate::Millis;
use messages::duties::UsageWindow;
use std::collections::BTreeMap;

/// Windows that are kept until their report begins, at a daemon and at the holder: one minute with
/// windows of five seconds.
pub const MAX_WINDOWS: usize = 12;
/// Accounts that are counted in a window, above the 7,800 accounts of the largest deployment.
pub const MAX_ACCOUNTS: usize = 10_000;
/// Minimum time between the reports of a daemon.
const MIN_REPORT_INTERVAL: Millis = Millis(1_000);
/// The time between the reports of a daemon for each daemon, so that the holder gets at most a hundred
/// reports per second.
const REPORT_INTERVAL_PER_DAEMON: Millis = Millis(10);

/// The time between the reports of one daemon of `daemons`.
pub fn report_interval(daemons: usize) -> Millis {
    let daemons = u64::try_from(daemons).unwrap_or(u64::MAX);
    MIN_REPORT_INTERVAL.max(Millis(daemons.saturating_mul(REPORT_INTERVAL_PER_DAEMON.0)))
}

/// Counts that could not be kept.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum UsageLoss {
    /// The oldest window was dropped, because no holder has begun a report for as long as windows are kept.
    Window(u64),
    /// An account was not counted in the window, which has [`MAX_ACCOUNTS`] already. This is returned for
    /// the first such request only.
    Accounts(u64),
}

/// The requests that began to run at this daemon, by window and client account.
#[derive(Clone, Debug, Default)]
pub struct UsageCounts {
    windows: BTreeMap<u64, BTreeMap<String, u64>>,
    last_window: Option<u64>,
    /// The last window in which an account was left out.
    full_window: Option<u64>,
    /// Counts of requests so far, to recognize a change during a report.
    recorded: u64,
    /// What the holder has taken, and the window and holder of that report.
    taken: Option<TakenReport>,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct TakenReport {
    recorded: u64,
    current_window: u64,
    token: u64,
}

impl UsageCounts {
    /// Counts a request of an account that began to run in `window`. Requests in windows whose report has
    /// begun are not counted.
    pub fn record(&mut self, account: &str, window: u64) -> Option<UsageLoss> {
        if self.last_window.is_some_and(|last| window <= last) {
            return None;
        }
        let counts = self.windows.entry(window).or_default();
        self.recorded += 1;
        let mut loss = None;
        if let Some(count) = counts.get_mut(account) {
            *count += 1;
        } else if counts.len() < MAX_ACCOUNTS {
            counts.insert(account.to_owned(), 1);
        } else if self.full_window.replace(window) != Some(window) {
            loss = Some(UsageLoss::Accounts(window));
        }
        if self.windows.len() > MAX_WINDOWS {
            loss = self.windows.pop_first().map(|(window, _)| UsageLoss::Window(window));
        }
        loss
    }

    /// Whether the holder with this token lacks something: requests were counted, a window ended or the
    /// holder changed since the last report that was taken.
    pub fn is_report_due(&self, current_window: u64, token: u64) -> bool {
        self.taken != Some(TakenReport { recorded: self.recorded, current_window, token })
    }

    /// The windows to report.
    pub fn windows(&self) -> Vec<UsageWindow> {
        let windows = self.windows.iter();
        let windows =
            windows.map(|(number, counts)| UsageWindow { number: *number, counts: counts.clone() });
        windows.collect()
    }

    /// The number of requests counted so far, to be passed to [`UsageCounts::record_taken`].
    pub fn recorded(&self) -> u64 {
        self.recorded
    }

    /// Records that the holder with this token has taken a report, which was made in `current_window` when
    /// `recorded` requests were counted.
    pub fn record_taken(&mut self, recorded: u64, current_window: u64, token: u64) {
        self.taken = Some(TakenReport { recorded, current_window, token });
    }

    /// Records that the report of a window, and so of all lower ones, has begun.
    pub fn observe_last_window(&mut self, window: u64) {
        self.last_window = self.last_window.max(Some(window));
        self.windows.retain(|number, _| *number > window);
    }

    /// The last window whose report has begun, as far as this daemon knows.
    pub fn last_window(&self) -> Option<u64> {
        self.last_window
    }
}
