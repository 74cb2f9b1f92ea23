use super::record::UsageState;
use super::usage_counts::{MAX_ACCOUNTS, MAX_WINDOWS, UsageLoss};
use super::window_clock::WindowClock;
use crate::{Millis, StoreEra};
use messages::duties::{DutyReport, UsageWindow};
use std::collections::BTreeMap;

/// The part of the time until a report is due after which it is made without the daemons that are silent,
/// in percent. The rest is for the write to the store and for repetitions of the call.
const MAX_WAIT_PERCENT: u64 = 60;
/// A report that gets no clear response is given up after this many times the time until it is due.
const MAX_CALL_TIME_FACTOR: u64 = 3;
/// Windows after the current one that are taken from daemons whose clock is ahead.
const MAX_CLOCK_LEAD: u64 = 1;

/// The settings of usage reports.
#[derive(Clone, Copy, Debug)]
pub struct UsageConfig {
    /// Time after the end of a window until which its report is due.
    pub late: Millis,
}

impl Default for UsageConfig {
    fn default() -> UsageConfig {
        UsageConfig { late: Millis(10_000) }
    }
}

/// How the platform responded to the report of a window.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReportOutcome {
    /// The platform has accepted it.
    Accepted,
    /// The platform has not accepted it, and may accept it later: it was not reached, or was overloaded.
    NotAccepted,
    /// The platform may have accepted it, or refuses it for good.
    Unclear,
}

/// Windows for which no report is made.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SkippedWindows {
    /// The first of them.
    pub first: u64,
    /// The last of them.
    pub last: u64,
    /// Why.
    pub reason: &'static str,
}

/// Merges the counts of all daemons and decides when the report of each window begins, at the holder of the
/// duties.
///
/// A report is written to the store before it is sent for the first time, and is repeated unchanged, also by
/// later holders. So no window is reported with two different counts.
#[derive(Clone, Debug)]
pub struct UsageReports {
    cfg: UsageConfig,
    clock: WindowClock,
    /// The last window whose report has begun, as far as this daemon knows.
    last_window: Option<u64>,
    holding: Option<Holding>,
}

/// What is known while this daemon holds the duties.
#[derive(Clone, Debug)]
struct Holding {
    /// When all daemons have had time to report to this holder.
    complete_at: Millis,
    /// The first window that this holder reports if none was reported before.
    first_window: u64,
    /// Counts by window and daemon.
    windows: BTreeMap<u64, BTreeMap<DaemonId, BTreeMap<String, u64>>>,
    daemons: BTreeMap<String, Daemon>,
    /// The report that is under way; `None` until this daemon acts as the holder.
    progress: Option<Progress>,
    /// The number of the store's latest era. What was begun before it is known.
    era: Option<u64>,
}

/// How far the report of a window has got.
#[derive(Clone, Debug)]
enum Progress {
    /// None is under way.
    Idle,
    /// It is to be written to the store. It does not change until it was written: a write whose response was
    /// lost may still succeed.
    Writing(UsageWindow),
    /// The store holds it, and the platform may not have accepted it.
    Sending {
        report: UsageWindow,
        /// When this holder first sent it.
        sent_at: Option<Millis>,
    },
    /// It has ended, which is to be written to the store, so that the renewals of the lease do not carry its
    /// counts.
    Ended,
}

impl From<&UsageState> for UsageWindow {
    fn from(state: &UsageState) -> UsageWindow {
        UsageWindow { number: state.window, counts: state.counts.clone() }
    }
}

/// The name of an instance, and the incarnation of its process.
type DaemonId = (String, u64);

#[derive(Clone, Copy, Debug)]
struct Daemon {
    incarnation: u64,
    sequence: u64,
    /// The window in which it made its last report. Lower windows are final.
    current_window: u64,
    reported_at: Millis,
}

impl UsageReports {
    /// Creates the reports of a daemon that does not hold the duties.
    pub fn new(cfg: UsageConfig, clock: WindowClock) -> UsageReports {
        UsageReports { cfg, clock, last_window: None, holding: None }
    }

    /// Begins to take the reports of daemons, as soon as these may learn that this daemon has claimed the
    /// duties. All have reported to it within `report_time` from now.
    pub fn start(&mut self, report_time: Millis, now: Millis) {
        self.holding = Some(Holding {
            complete_at: now + report_time,
            first_window: self.clock.window(now),
            windows: BTreeMap::new(),
            daemons: BTreeMap::new(),
            progress: None,
            era: None,
        });
    }

    /// Begins to act as the holder, with the state that the object in the store held at the claim, in the
    /// latest era of the store.
    ///
    /// If the state is from an earlier era, the store may have lost the reports of windows that ended before
    /// it came back. These are not reported, and are returned as far as they are not known to have begun.
    pub fn take_over(
        &mut self,
        state: Option<&UsageState>,
        era: Option<StoreEra>,
    ) -> Option<SkippedWindows> {
        let known = self.last_window;
        if let Some(state) = state {
            self.observe_last_window(state.window);
        }
        let stated = state.and_then(|state| state.era);
        let skipped = era
            .filter(|era| stated != Some(era.number))
            .and_then(|era| self.skip_windows_before(era.known_at));
        let Some(holding) = &mut self.holding else { return skipped };
        holding.era = era.map(|era| era.number);
        // A report begins only after the previous one has ended.
        let unended = state.filter(|state| !state.is_accepted && known <= Some(state.window));
        holding.progress = Some(match unended {
            Some(state) => Progress::Sending { report: state.into(), sent_at: None },
            None => Progress::Idle,
        });
        skipped
    }

    /// Passes over all windows that ended by `time`.
    fn skip_windows_before(&mut self, time: Millis) -> Option<SkippedWindows> {
        let first = next_window(self.last_window, self.holding.as_ref()?)?;
        let last = self.clock.window(time).checked_sub(1)?;
        self.observe_last_window(last);
        let reason = "their reports may be lost with the history of the store";
        (first <= last).then_some(SkippedWindows { first, last, reason })
    }

    /// Takes note of an era of the store that began while this daemon held the duties. It has begun all
    /// reports since its claim itself, so none is unknown to it; the object has to say so.
    pub fn observe_era(&mut self, number: u64) {
        let Some(holding) = self.holding.as_mut().filter(|h| h.progress.is_some()) else { return };
        if holding.era.replace(number) != Some(number)
            && matches!(holding.progress, Some(Progress::Idle))
        {
            holding.progress = Some(Progress::Ended);
        }
    }

    /// Stops to hold the duties.
    pub fn stop(&mut self) {
        self.holding = None;
    }

    /// Whether this daemon holds the duties.
    pub fn is_holding(&self) -> bool {
        self.holding.is_some()
    }

    /// The last window whose report has begun, as far as this daemon knows.
    pub fn last_window(&self) -> Option<u64> {
        self.last_window
    }

    /// Records that the report of a window has begun, as a notice, a reply or a report of a daemon says.
    pub fn observe_last_window(&mut self, window: u64) {
        if self.last_window.is_some_and(|last| window <= last) {
            return;
        }
        self.last_window = Some(window);
        if let Some(holding) = &mut self.holding {
            holding.forget_until(window);
        }
    }

    /// Merges the report of a daemon. Returns false, and takes no counts, if this daemon does not hold the
    /// duties or has got a later report of that daemon.
    pub fn receive(&mut self, report: &DutyReport, now: Millis) -> bool {
        if let Some(window) = report.last_window {
            self.observe_last_window(window);
        }
        let last_window = self.last_window;
        let newest = self.clock.window(now) + MAX_CLOCK_LEAD;
        let oldest = self.oldest_window(now);
        let Some(holding) = &mut self.holding else { return false };
        if !holding.record_daemon(report, now) {
            return false;
        }
        let begun = last_window.max(holding.written_window());
        for window in &report.windows {
            let has_begun = begun.is_some_and(|begun| window.number <= begun);
            if !has_begun && (oldest..=newest).contains(&window.number) {
                let id = (report.name.clone(), report.incarnation);
                let counts = holding.windows.entry(window.number).or_default();
                counts.insert(id, window.counts.clone());
            }
        }
        true
    }

    /// Drops windows that are too old to be reported. While a report has not ended, the next windows wait.
    pub fn expire(&mut self, now: Millis) -> Option<SkippedWindows> {
        let oldest = self.oldest_window(now);
        let holding = self.holding.as_mut()?;
        let silent_since = self.clock.start(oldest);
        holding.daemons.retain(|_, daemon| daemon.reported_at >= silent_since);
        holding.windows.retain(|window, _| *window >= oldest);
        let first = next_window(self.last_window, holding)?;
        if !holding.may_begin() || first >= oldest {
            return None;
        }
        self.observe_last_window(oldest - 1);
        Some(SkippedWindows { first, last: oldest - 1, reason: "no report could begin in time" })
    }

    /// The first window that is kept.
    fn oldest_window(&self, now: Millis) -> u64 {
        (self.clock.window(now) + 1).saturating_sub(MAX_WINDOWS as u64)
    }

    /// Begins the report of the next window if its counts are complete and the previous report has ended. It
    /// is part of [`UsageReports::state_to_write`] from then on. Returns which accounts were left out.
    pub fn begin_report(&mut self, now: Millis) -> Option<UsageLoss> {
        let window = self.complete_window(now)?;
        let holding = self.holding.as_mut()?;
        let (counts, is_cut) = holding.merged(window);
        holding.progress = Some(Progress::Writing(UsageWindow { number: window, counts }));
        is_cut.then_some(UsageLoss::Accounts(window))
    }

    /// The state that has to be written to the store before the report is sent, or after it has ended.
    pub fn state_to_write(&self) -> Option<UsageState> {
        let holding = self.holding.as_ref()?;
        let era = holding.era;
        match holding.progress.as_ref()? {
            Progress::Idle | Progress::Sending { .. } => None,
            Progress::Writing(report) => {
                let counts = report.counts.clone();
                Some(UsageState { window: report.number, counts, is_accepted: false, era })
            }
            Progress::Ended => {
                let window = self.last_window?;
                Some(UsageState { window, counts: BTreeMap::new(), is_accepted: true, era })
            }
        }
    }

    /// Records what the object in the store holds, after this holder has written it or read it back.
    pub fn confirm(&mut self, state: &UsageState) {
        if let Some(Holding { progress: Some(progress), era, .. }) = &mut self.holding {
            match progress {
                Progress::Writing(report) if report.number == state.window => {
                    *progress = Progress::Sending { report: state.into(), sent_at: None };
                }
                Progress::Ended
                    if state.is_accepted
                        && state.era == *era
                        && self.last_window == Some(state.window) =>
                {
                    *progress = Progress::Idle;
                }
                _ => {}
            }
        }
        self.observe_last_window(state.window);
    }

    /// The report to be sent: what the store holds, until it has ended.
    pub fn report(&self) -> Option<&UsageWindow> {
        match self.holding.as_ref()?.progress.as_ref()? {
            Progress::Sending { report, .. } => Some(report),
            _ => None,
        }
    }

    /// Records how the platform responded to the report of a window that was sent at `sent`. Returns the
    /// window if its report is given up.
    pub fn record_outcome(
        &mut self,
        window: u64,
        outcome: ReportOutcome,
        sent: Millis,
        now: Millis,
    ) -> Option<SkippedWindows> {
        let max_time = Millis(self.cfg.late.0 * MAX_CALL_TIME_FACTOR);
        let progress = self.holding.as_mut()?.progress.as_mut()?;
        let Progress::Sending { report, sent_at } = progress else { return None };
        if report.number != window {
            return None;
        }
        let first_sent = *sent_at.get_or_insert(sent);
        match outcome {
            ReportOutcome::Accepted => *progress = Progress::Ended,
            ReportOutcome::Unclear if now.since(first_sent) >= max_time => {
                *progress = Progress::Ended;
                let reason = "the platform did not accept the report";
                return Some(SkippedWindows { first: window, last: window, reason });
            }
            ReportOutcome::NotAccepted | ReportOutcome::Unclear => {}
        }
        None
    }

    /// Whether the report of a window is late at `now`.
    pub fn is_late(&self, window: u64, now: Millis) -> bool {
        now > self.clock.end(window) + self.cfg.late
    }

    /// The next window if its counts are complete, or do not become so in time.
    fn complete_window(&self, now: Millis) -> Option<u64> {
        let holding = self.holding.as_ref()?;
        let window = next_window(self.last_window, holding)?;
        let end = self.clock.end(window);
        if !holding.may_begin() || now < end || now < holding.complete_at {
            return None;
        }
        let max_wait = Millis(self.cfg.late.0 * MAX_WAIT_PERCENT / 100);
        let heard_since = self.clock.start(window.saturating_sub(1));
        let is_complete = holding.has_final_counts(window, heard_since);
        (is_complete || now >= end + max_wait).then_some(window)
    }
}

impl Holding {
    /// Whether the next report may begin.
    fn may_begin(&self) -> bool {
        matches!(self.progress, Some(Progress::Idle | Progress::Ended))
    }

    /// The window whose report is being written.
    fn written_window(&self) -> Option<u64> {
        match &self.progress {
            Some(Progress::Writing(report)) => Some(report.number),
            _ => None,
        }
    }

    /// Drops what has ended when the report of a window has begun.
    fn forget_until(&mut self, last_window: u64) {
        self.windows.retain(|window, _| *window > last_window);
        let has_ended = match &self.progress {
            // Others may have read what this holder has written, before it knows that it has.
            Some(Progress::Writing(report) | Progress::Sending { report, .. }) => {
                report.number < last_window
            }
            _ => false,
        };
        if has_ended {
            self.progress = Some(Progress::Ended);
        }
    }

    /// Records how far a daemon has reported. Returns false if the report is older than the last one.
    fn record_daemon(&mut self, report: &DutyReport, now: Millis) -> bool {
        let known = self.daemons.get(&report.name);
        let known = known.filter(|daemon| daemon.incarnation == report.incarnation);
        if known.is_some_and(|daemon| report.sequence <= daemon.sequence) {
            return false;
        }
        if report.is_last {
            self.daemons.remove(&report.name);
            return true;
        }
        let daemon = Daemon {
            incarnation: report.incarnation,
            sequence: report.sequence,
            current_window: report.current_window,
            reported_at: now,
        };
        self.daemons.insert(report.name.clone(), daemon);
        true
    }

    /// Whether all daemons that reported since a point in time did so after the end of a window.
    fn has_final_counts(&self, window: u64, since: Millis) -> bool {
        let mut reporting = self.daemons.values().filter(|daemon| daemon.reported_at >= since);
        reporting.all(|daemon| daemon.current_window > window)
    }

    /// The counts of a window by account, and whether accounts were left out.
    fn merged(&self, window: u64) -> (BTreeMap<String, u64>, bool) {
        let (mut merged, mut is_cut) = (BTreeMap::new(), false);
        let daemons = self.windows.get(&window).into_iter().flat_map(BTreeMap::values);
        for (account, count) in daemons.flatten() {
            if let Some(total) = merged.get_mut(account) {
                *total += count;
            } else if merged.len() < MAX_ACCOUNTS {
                merged.insert(account.clone(), *count);
            } else {
                is_cut = true;
            }
        }
        (merged, is_cut)
    }
}

/// The window to be reported next: the one after the last, or the first that was counted.
fn next_window(last_window: Option<u64>, holding: &Holding) -> Option<u64> {
    match last_window {
        Some(last) => last.checked_add(1),
        None => {
            let counted = holding.windows.first_key_value().map(|(window, _)| *window);
            Some(counted.map_or(holding.first_window, |window| window.min(holding.first_window)))
        }
    }
}
