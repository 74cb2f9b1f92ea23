//! How requests are counted by window, and how the holder reports each window once.

use decision::duties::{
    MAX_ACCOUNTS, MAX_WINDOWS, ReportOutcome, SkippedWindows, UsageConfig, UsageCounts, UsageLoss,
    UsageReports, UsageState, WindowClock, report_interval,
};
use decision::{Millis, StoreEra};
use messages::duties::{DutyReport, UsageWindow};
use rstest::rstest;
use std::collections::BTreeMap;

const WINDOW_MS: u64 = 5_000;
/// Time until all daemons have reported to a new holder.
const REPORT_TIME: Millis = Millis(2_500);

fn counts(counts: &[(&str, u64)]) -> BTreeMap<String, u64> {
    counts.iter().map(|(account, count)| (account.to_string(), *count)).collect()
}

fn window(number: u64, of: &[(&str, u64)]) -> UsageWindow {
    UsageWindow { number, counts: counts(of) }
}

/// The start of a window, on clocks that show Unix time.
fn start(window: u64) -> Millis {
    Millis(window * WINDOW_MS)
}

fn reports() -> UsageReports {
    let clock = WindowClock::new(Millis(0), Millis(0), Millis(WINDOW_MS));
    UsageReports::new(UsageConfig { late: Millis(10_000) }, clock)
}

/// The reports of a holder since window 90, which has reported all windows until 99.
fn holder() -> UsageReports {
    successor(Some(&ended(99)), start(90))
}

/// A daemon that took over from a holder that left this state in the store.
fn successor(state: Option<&UsageState>, now: Millis) -> UsageReports {
    let mut holder = reports();
    holder.start(REPORT_TIME, now);
    holder.take_over(state, None);
    holder
}

/// The state when the report of a window has been accepted.
fn ended(window: u64) -> UsageState {
    UsageState { window, is_accepted: true, ..UsageState::default() }
}

/// A report that a daemon makes in window `current`.
fn report(name: &str, sequence: u64, current: u64, windows: Vec<UsageWindow>) -> DutyReport {
    DutyReport {
        name: name.to_owned(),
        data_centre: String::from("a"),
        incarnation: 1,
        sequence,
        current_window: current,
        last_window: None,
        is_last: false,
        windows,
        covered_ms: 0,
        services: Vec::new(),
    }
}

/// Writes what the holder has to write, and returns the report that may be sent then.
fn begin(holder: &mut UsageReports, now: Millis) -> Option<UsageWindow> {
    holder.begin_report(now);
    let state = holder.state_to_write().filter(|state| !state.is_accepted)?;
    assert_eq!(holder.report(), None, "sent before it was written");
    holder.confirm(&state);
    assert_eq!(holder.report().unwrap().counts, state.counts);
    holder.report().cloned()
}

/// Begins the next report and has it accepted.
fn accept(holder: &mut UsageReports, now: Millis) -> Option<UsageWindow> {
    let report = begin(holder, now)?;
    holder.record_outcome(report.number, ReportOutcome::Accepted, now, now);
    Some(report)
}

#[test]
fn window_is_reported_as_soon_as_all_daemons_have_reported_after_its_end() {
    let mut holder = holder();
    for name in ["i-1", "i-2"] {
        holder.receive(&report(name, 1, 100, vec![window(100, &[("hule", 3)])]), start(100));
    }
    let end = start(101);
    holder.receive(&report("i-1", 2, 101, vec![window(100, &[("hule", 4)])]), end + Millis(200));
    assert_eq!(
        accept(&mut holder, end + Millis(300)),
        None,
        "a daemon has not reported its last requests"
    );
    holder.receive(
        &report("i-2", 2, 101, vec![window(100, &[("hule", 3), ("fida", 1)])]),
        end + Millis(400),
    );
    let reported = accept(&mut holder, end + Millis(500));
    assert_eq!(reported, Some(window(100, &[("fida", 1), ("hule", 7)])));
    assert_eq!(holder.state_to_write(), Some(ended(100)), "the store need not keep the counts");
    holder.confirm(&ended(100));
    assert_eq!(holder.state_to_write(), None);
}

/// Its last second is missing, but not the whole window, and the report is not late.
#[test]
fn window_is_reported_without_the_last_second_of_a_daemon_that_was_killed() {
    let mut holder = holder();
    holder.receive(
        &report("i-1", 1, 100, vec![window(100, &[("hule", 40)])]),
        start(100) + Millis(4_000),
    );
    holder.receive(&report("i-2", 1, 100, vec![]), start(100) + Millis(4_100));
    holder.receive(&report("i-2", 2, 101, vec![window(100, &[("hule", 10)])]), start(101));
    assert_eq!(accept(&mut holder, start(101) + Millis(5_999)), None);
    let due = start(101) + Millis(6_000);
    assert_eq!(accept(&mut holder, due), Some(window(100, &[("hule", 50)])));
    assert!(!holder.is_late(100, due));
}

/// A restarted process counts from zero, and what its predecessor counted must not be replaced.
#[test]
fn counts_of_a_restarted_daemon_are_added_to_those_of_its_predecessor() {
    let mut holder = holder();
    holder.receive(&report("i-1", 9, 100, vec![window(100, &[("hule", 5)])]), start(100));
    let restarted =
        DutyReport { incarnation: 2, ..report("i-1", 1, 101, vec![window(100, &[("hule", 2)])]) };
    holder.receive(&restarted, start(101));
    assert_eq!(accept(&mut holder, start(101)), Some(window(100, &[("hule", 7)])));
}

/// A request of a daemon that timed out may arrive after the next one.
#[test]
fn delayed_report_does_not_replace_a_later_one() {
    let mut holder = holder();
    assert!(holder.receive(&report("i-1", 2, 101, vec![window(100, &[("hule", 9)])]), start(101)));
    assert!(!holder.receive(&report("i-1", 1, 100, vec![window(100, &[("hule", 1)])]), start(101)));
    assert_eq!(accept(&mut holder, start(101)), Some(window(100, &[("hule", 9)])));
}

#[test]
fn daemon_that_stops_as_planned_delays_no_report() {
    let mut holder = holder();
    holder.receive(&report("i-2", 1, 100, vec![]), start(100));
    holder.receive(&report("i-1", 1, 100, vec![]), start(100));
    let last =
        DutyReport { is_last: true, ..report("i-1", 2, 100, vec![window(100, &[("hule", 1)])]) };
    holder.receive(&last, start(100) + Millis(100));
    holder.receive(&report("i-2", 2, 101, vec![]), start(101));
    assert_eq!(accept(&mut holder, start(101)), Some(window(100, &[("hule", 1)])));
}

/// The predecessor may have sent the report, also if it was never accepted.
#[test]
fn successor_resends_the_stored_report_and_then_continues_with_the_next_window() {
    let mut first = holder();
    first.receive(&report("i-1", 1, 101, vec![window(100, &[("hule", 8)])]), start(101));
    let sent = begin(&mut first, start(101)).unwrap();
    let counts = sent.counts.clone();
    let stored = UsageState { window: 100, counts, ..UsageState::default() };
    let claimed = start(102);
    let mut second = successor(Some(&stored), claimed);
    assert_eq!(second.report(), Some(&sent));
    // The daemon was not told that the report of window 100 has begun, and has counted on.
    let windows = vec![window(100, &[("hule", 9)]), window(101, &[("hule", 2)])];
    second.receive(&report("i-1", 2, 102, windows), claimed + Millis(500));
    assert_eq!(begin(&mut second, claimed + Millis(600)), None);
    second.record_outcome(100, ReportOutcome::Accepted, claimed, claimed);
    assert_eq!(begin(&mut second, claimed + REPORT_TIME), Some(window(101, &[("hule", 2)])));
}

/// At the takeover, it has heard from no daemon, and the counts of all would be missing.
#[test]
fn successor_waits_until_the_daemons_have_had_time_to_report_to_it() {
    let mut holder = successor(Some(&ended(98)), start(103));
    assert_eq!(accept(&mut holder, start(103) + Millis(2_499)), None);
    holder.receive(
        &report("i-1", 1, 103, vec![window(99, &[("hule", 1)])]),
        start(103) + Millis(2_499),
    );
    assert_eq!(accept(&mut holder, start(103) + REPORT_TIME), Some(window(99, &[("hule", 1)])));
}

#[test]
fn windows_wait_in_order_while_the_platform_is_down() {
    let mut holder = holder();
    let mut counts = UsageCounts::default();
    counts.record("hule", 100);
    holder.receive(&report("i-1", 1, 101, counts.windows()), start(101));
    let first = begin(&mut holder, start(101)).unwrap();
    for current in 102..110 {
        counts.record("hule", current - 1);
        counts.observe_last_window(holder.last_window().unwrap());
        holder.receive(&report("i-1", current, current, counts.windows()), start(current));
        let given_up =
            holder.record_outcome(100, ReportOutcome::NotAccepted, start(101), start(current));
        assert_eq!(given_up, None);
        assert_eq!(holder.expire(start(current)), None);
        assert_eq!(begin(&mut holder, start(current)), None, "one report at a time");
        assert_eq!(holder.report(), Some(&first));
    }
    holder.record_outcome(100, ReportOutcome::Accepted, start(109), start(109));
    let reported: Vec<u64> = std::iter::from_fn(|| accept(&mut holder, start(109)))
        .map(|report| report.number)
        .collect();
    assert_eq!(reported, Vec::from_iter(101..109));
    assert!(holder.is_late(105, start(109)));
}

/// The platform may have accepted the report, and later ones must not wait for it without end.
#[test]
fn report_without_a_clear_response_is_given_up_after_three_times_the_time_until_it_is_due() {
    let mut holder = holder();
    holder.receive(&report("i-1", 1, 101, vec![]), start(101));
    let report = begin(&mut holder, start(101)).unwrap();
    let sent = start(101);
    let mut outcome = |at| holder.record_outcome(report.number, ReportOutcome::Unclear, at, at);
    assert_eq!(outcome(sent), None);
    assert_eq!(outcome(sent + Millis(29_999)), None);
    let skipped = outcome(sent + Millis(30_000)).unwrap();
    assert_eq!((skipped.first, skipped.last), (100, 100));
    assert_eq!(accept(&mut holder, sent + Millis(30_000)).unwrap().number, 101);
}

#[test]
fn counts_wait_at_the_daemons_while_the_store_is_down() {
    let mut first = holder();
    let mut counts = UsageCounts::default();
    counts.record("hule", 100);
    first.receive(&report("i-1", 1, 101, counts.windows()), start(101));
    first.begin_report(start(101));
    assert_eq!(first.state_to_write().unwrap().window, 100);
    assert_eq!(first.report(), None, "not written, so not sent");
    assert_eq!(first.last_window(), Some(99), "the daemons keep the window");
    first.stop();
    counts.record("hule", 101);
    counts.record("hule", 103);
    let mut second = successor(Some(&ended(99)), start(104));
    second.receive(&report("i-1", 2, 104, counts.windows()), start(104) + Millis(100));
    let now = start(104) + REPORT_TIME;
    let reported = Vec::from_iter(std::iter::from_fn(|| accept(&mut second, now)));
    let hule = &[("hule", 1)];
    assert_eq!(
        reported,
        [window(100, hule), window(101, hule), window(102, &[]), window(103, hule)]
    );
}

/// What was begun since may have been accepted with other counts.
#[test]
fn windows_that_an_older_copy_of_the_store_does_not_know_are_not_reported_again() {
    let copy = UsageState { window: 97, counts: counts(&[("hule", 1)]), ..UsageState::default() };
    let mut holder = reports();
    holder.observe_last_window(99);
    holder.start(REPORT_TIME, start(102));
    holder.take_over(Some(&copy), None);
    assert_eq!(holder.report(), None, "a later report has begun, so that of window 97 has ended");
    // A daemon has got a reply of the predecessor later than any other.
    let told = DutyReport {
        last_window: Some(100),
        ..report("i-1", 1, 102, vec![window(101, &[("hule", 3)])])
    };
    holder.receive(&told, start(102));
    holder.receive(&report("i-2", 1, 102, vec![window(100, &[("hule", 7)])]), start(102));
    assert_eq!(accept(&mut holder, start(102) + REPORT_TIME), Some(window(101, &[("hule", 3)])));
}

/// Guards against a second report of a window, with other counts, by a holder that nobody can tell of the
/// first one. What certainly has not begun is still reported.
#[rstest]
#[case::written_in_an_earlier_era(Some(1), 102)]
#[case::written_by_an_earlier_build(None, 102)]
#[case::written_in_the_latest_era(Some(2), 100)]
fn windows_that_ended_before_the_store_came_back_are_not_reported(
    #[case] era: Option<u64>,
    #[case] first: u64,
) {
    let state = UsageState { era, ..ended(99) };
    let mut holder = reports();
    holder.start(REPORT_TIME, start(103));
    let came_back = start(102) + Millis(1);
    let skipped = holder.take_over(Some(&state), Some(StoreEra { number: 2, known_at: came_back }));
    assert_eq!(
        skipped.map(|skipped| (skipped.first, skipped.last + 1)),
        match first {
            100 => None,
            _ => Some((100, first)),
        }
    );
    let windows = (100..=102).map(|number| window(number, &[("hule", number)]));
    holder.receive(&report("i-1", 1, 103, windows.collect()), start(103));
    let now = start(103) + REPORT_TIME;
    let reported = accept(&mut holder, now);
    assert_eq!(reported, Some(window(first, &[("hule", first)])));
    assert_eq!(holder.state_to_write().unwrap().era, Some(2));
}

/// The report that the copy holds may not have been accepted, and its counts cannot have changed since.
#[test]
fn report_in_an_older_copy_of_the_store_is_repeated_unchanged() {
    let counts = counts(&[("hule", 8)]);
    let copy = UsageState { window: 99, counts, era: Some(1), ..UsageState::default() };
    let mut holder = reports();
    holder.start(REPORT_TIME, start(102));
    holder.take_over(Some(&copy), Some(StoreEra { number: 2, known_at: start(102) }));
    assert_eq!(holder.report(), Some(&window(99, &[("hule", 8)])));
    assert_eq!(holder.last_window(), Some(101));
}

/// A holder that keeps the duties has begun all reports of the lost history itself. Its successor must see
/// that nothing is missing from the object.
#[test]
fn holder_that_keeps_the_duties_skips_no_window_and_has_the_era_written() {
    let mut holder = reports();
    holder.start(REPORT_TIME, start(99));
    let state = UsageState { era: Some(1), ..ended(98) };
    holder.take_over(Some(&state), Some(StoreEra { number: 1, known_at: start(90) }));
    holder.receive(&report("i-1", 1, 100, vec![window(99, &[("hule", 3)])]), start(100));
    holder.observe_era(2);
    assert_eq!(holder.state_to_write(), Some(UsageState { era: Some(2), ..state }));
    let reported = accept(&mut holder, start(100) + REPORT_TIME);
    assert_eq!(reported, Some(window(99, &[("hule", 3)])));
    holder.confirm(&ended(99));
    assert!(holder.state_to_write().is_some(), "what was stored has no era");
    holder.confirm(&UsageState { era: Some(2), ..ended(99) });
    assert_eq!(holder.state_to_write(), None);
}

/// The store may execute a write whose response was lost, after the holder has looked. Another content of
/// a second write would then be another report of the same window.
#[test]
fn report_does_not_change_once_it_may_have_been_written() {
    let mut holder = holder();
    holder.receive(&report("i-1", 1, 101, vec![window(100, &[("hule", 8)])]), start(101));
    holder.begin_report(start(101));
    let written = holder.state_to_write().unwrap();
    holder.confirm(&ended(99));
    holder.receive(&report("i-2", 1, 101, vec![window(100, &[("hule", 1)])]), start(101));
    holder.begin_report(start(101) + Millis(500));
    assert_eq!(holder.state_to_write().as_ref(), Some(&written));
    holder.confirm(&written);
    assert_eq!(holder.report(), Some(&window(100, &[("hule", 8)])));
}

/// A candidate reads the object before the holder learns that its write was carried out, and says so in its
/// report. The window would be lost if the holder took it for reported.
#[test]
fn report_that_others_know_of_before_its_write_is_confirmed_is_sent() {
    let mut holder = holder();
    holder.receive(&report("i-1", 1, 101, vec![window(100, &[("hule", 8)])]), start(101));
    holder.begin_report(start(101));
    let written = holder.state_to_write().unwrap();
    let told = DutyReport { last_window: Some(100), ..report("i-2", 1, 101, vec![]) };
    holder.receive(&told, start(101));
    holder.confirm(&written);
    assert_eq!(holder.report(), Some(&window(100, &[("hule", 8)])));
}

/// After an outage of the whole system, the windows of which nobody has counts are not reported one by one.
#[test]
fn windows_that_are_no_longer_kept_are_skipped() {
    let mut holder = successor(Some(&ended(10)), start(100));
    let skipped = holder.expire(start(100)).unwrap();
    assert_eq!((skipped.first, skipped.last), (11, 88));
    assert_eq!(accept(&mut holder, start(100) + REPORT_TIME).unwrap().number, 89);
    assert_eq!(holder.expire(start(100)), None::<SkippedWindows>);
}

#[test]
fn first_holder_reports_from_the_first_window_that_a_daemon_has_counted() {
    let mut holder = successor(None, start(100));
    holder.receive(&report("i-1", 1, 101, vec![window(98, &[("hule", 1)])]), start(101));
    assert_eq!(accept(&mut holder, start(101)).unwrap().number, 98);
    assert_eq!(accept(&mut holder, start(101)).unwrap().number, 99);
}

#[test]
fn daemon_that_does_not_hold_the_duties_takes_no_report() {
    let mut follower = reports();
    assert!(!follower.receive(&report("i-1", 1, 100, vec![]), start(100)));
    assert_eq!(begin(&mut follower, start(102)), None);
    let mut former = holder();
    former.stop();
    assert!(!former.receive(&report("i-1", 1, 100, vec![]), start(100)));
    assert_eq!(former.report(), None);
}

/// The daemons learn of a claim before it may act, and the object may hold a report of the predecessor.
#[test]
fn claimant_takes_reports_but_begins_none_before_it_may_act() {
    let mut holder = reports();
    holder.start(REPORT_TIME, start(100));
    assert!(holder.receive(&report("i-1", 1, 101, vec![window(100, &[("hule", 2)])]), start(101)));
    assert_eq!(accept(&mut holder, start(101)), None);
    holder.take_over(Some(&ended(99)), None);
    assert_eq!(accept(&mut holder, start(101)), Some(window(100, &[("hule", 2)])));
}

#[test]
fn daemon_keeps_counts_until_their_report_has_begun() {
    let mut counts = UsageCounts::default();
    for window in [100, 100, 101] {
        assert_eq!(counts.record("hule", window), None);
    }
    assert_eq!(counts.windows(), [window(100, &[("hule", 2)]), window(101, &[("hule", 1)])]);
    counts.observe_last_window(100);
    counts.observe_last_window(99);
    counts.record("hule", 100);
    assert_eq!(counts.windows(), [window(101, &[("hule", 1)])]);
}

#[test]
fn report_is_due_after_requests_the_end_of_a_window_and_a_change_of_holder() {
    let mut counts = UsageCounts::default();
    assert!(counts.is_report_due(100, 7), "the holder does not know the daemon");
    counts.record_taken(counts.recorded(), 100, 7);
    assert!(!counts.is_report_due(100, 7));
    assert!(counts.is_report_due(101, 7));
    assert!(counts.is_report_due(100, 8));
    let recorded = counts.recorded();
    counts.record("hule", 100);
    counts.record_taken(recorded, 100, 7);
    assert!(counts.is_report_due(100, 7), "counted while the report was under way");
}

#[test]
fn daemons_report_once_a_second_and_more_than_a_hundred_of_them_less_often() {
    assert_eq!(report_interval(0), Millis(1_000));
    assert_eq!(report_interval(100), Millis(1_000));
    assert_eq!(report_interval(360), Millis(3_600));
}

/// Memory would grow without limit while no holder can act.
#[test]
fn daemon_drops_the_oldest_window_beyond_its_limit() {
    let mut counts = UsageCounts::default();
    let first = 100;
    for window in first..first + MAX_WINDOWS as u64 {
        assert_eq!(counts.record("hule", window), None);
    }
    assert_eq!(counts.record("hule", first + MAX_WINDOWS as u64), Some(UsageLoss::Window(first)));
    assert_eq!(counts.windows().len(), MAX_WINDOWS);
    assert_eq!(counts.windows()[0].number, first + 1);
}

#[test]
fn accounts_beyond_the_limit_of_a_window_are_left_out_and_stated_once() {
    let mut counts = UsageCounts::default();
    for account in 0..MAX_ACCOUNTS {
        assert_eq!(counts.record(&account.to_string(), 100), None);
    }
    assert_eq!(counts.record("one more", 100), Some(UsageLoss::Accounts(100)));
    assert_eq!(counts.record("another", 100), None);
    assert_eq!(counts.record("0", 100), None);
    assert_eq!(counts.windows()[0].counts.len(), MAX_ACCOUNTS);
    let mut holder = holder();
    holder.receive(&report("i-1", 1, 101, counts.windows()), start(101));
    holder.receive(&report("i-2", 1, 101, vec![window(100, &[("one more", 1)])]), start(101));
    assert_eq!(holder.begin_report(start(101)), Some(UsageLoss::Accounts(100)));
    assert_eq!(holder.state_to_write().unwrap().counts.len(), MAX_ACCOUNTS);
}
