//! The quotas of log lines about single requests.

use decision::Millis;
use gateway::{LineKind, LogQuota, OmittedLines};

fn admitted(quota: &mut LogQuota, kind: LineKind, lines: u32, now: Millis) -> u32 {
    (0..lines).map(|_| u32::from(quota.admits(kind, now))).sum()
}

#[test]
fn routine_lines_do_not_use_up_the_quota_of_failures() {
    let mut quota = LogQuota::default();
    let now = Millis(5_000);
    assert_eq!(admitted(&mut quota, LineKind::Routine, 5_000, now), 300);
    assert_eq!(admitted(&mut quota, LineKind::Failure, 400, now), 400);
}

#[test]
fn quota_counts_omitted_lines_and_resets_each_second() {
    let mut quota = LogQuota::default();
    admitted(&mut quota, LineKind::Routine, 310, Millis(5_000));
    assert_eq!(admitted(&mut quota, LineKind::Failure, 650, Millis(5_400)), 600);
    assert_eq!(quota.take_omitted(Millis(5_900)), OmittedLines::default());
    let omitted = OmittedLines { routine: 10, failures: 50 };
    assert_eq!(quota.take_omitted(Millis(6_000)), omitted);
    assert_eq!(quota.take_omitted(Millis(6_100)), OmittedLines::default());
    assert!(quota.admits(LineKind::Failure, Millis(6_100)));
}
