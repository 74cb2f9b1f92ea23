//! How the limits that endpoints state are divided among daemons.

use decision::Millis;
use decision::routing::EndpointLimits;
use messages::feed::Rank;
use rstest::rstest;

const STEP_MS: u64 = 10;
/// Time for which the daemons of a simulation have requests without end.
const DURATION_MS: u64 = 120_000;
/// The length of the windows in which requests are counted.
const WINDOW_MS: u64 = 4_000;

fn ranked(position: u32, daemons: u32) -> EndpointLimits {
    let mut limits = EndpointLimits::default();
    limits.set_rank(Rank { position, daemons });
    limits
}

/// The times at which daemons send requests to an endpoint, as soon as they may.
fn sends(daemons: &mut [EndpointLimits], from_ms: u64, until_ms: u64) -> Vec<u64> {
    let mut sends = Vec::new();
    for now in (from_ms..until_ms).step_by(STEP_MS as usize) {
        for daemon in daemons.iter_mut() {
            if daemon.admits("e", true, Millis(now)) {
                daemon.record_send("e", Millis(now));
                sends.push(now);
            }
        }
    }
    sends
}

fn most_in_window(sends: &[u64]) -> usize {
    let in_window =
        |start: u64| sends.iter().filter(|at| (start..start + WINDOW_MS).contains(at)).count();
    sends.iter().map(|start| in_window(*start)).max().unwrap_or(0)
}

/// What the platform allows in a window: one and a half times the limit, and five more.
fn allowed(per_second: f64) -> f64 {
    1.5 * per_second * WINDOW_MS as f64 / 1_000.0 + 5.0
}

#[rstest]
fn daemons_together_keep_to_a_limit_and_use_it(
    #[values(0.3, 1.1, 2.5, 10.0)] per_second: f64,
    #[values(1, 2, 7, 50, 300)] daemons: u32,
) {
    let mut fleet: Vec<_> = (0..daemons).map(|n| ranked(n, daemons)).collect();
    fleet.iter_mut().for_each(|daemon| daemon.apply("e", Some(per_second), Millis(0)));
    let sends = sends(&mut fleet, 0, DURATION_MS);
    let most = most_in_window(&sends) as f64;
    assert!(most <= allowed(per_second), "{most} in a window, {} allowed", allowed(per_second));
    let used = sends.len() as f64 / (per_second * DURATION_MS as f64 / 1_000.0);
    assert!((0.9..1.1).contains(&used), "{used} of the limit is used");
}

/// Half of the daemons learn of a lost one, and so of new ranks, two seconds before the others.
#[rstest]
fn limit_is_kept_while_ranks_change(
    #[values(1.1, 2.5)] per_second: f64,
    #[values(2, 7, 50)] daemons: u32,
) {
    let mut fleet: Vec<_> = (0..daemons).map(|n| ranked(n, daemons)).collect();
    fleet.iter_mut().for_each(|daemon| daemon.apply("e", Some(per_second), Millis(0)));
    let mut all = sends(&mut fleet, 0, 20_000);
    // The daemon with the first position is lost.
    fleet.remove(0);
    let new_rank = |n: usize| Rank { position: n as u32, daemons: daemons - 1 };
    (0..fleet.len() / 2).for_each(|n| fleet[n].set_rank(new_rank(n)));
    all.extend(sends(&mut fleet, 20_000, 22_000));
    (0..fleet.len()).for_each(|n| fleet[n].set_rank(new_rank(n)));
    all.extend(sends(&mut fleet, 22_000, 40_000));
    let most = most_in_window(&all) as f64;
    assert!(most <= allowed(per_second), "{most} in a window, {} allowed", allowed(per_second));
}

#[test]
fn rights_are_not_saved_up() {
    let mut daemon = ranked(0, 1);
    daemon.apply("e", Some(1.0), Millis(0));
    assert!(daemon.admits("e", true, Millis(60_000)));
    daemon.record_send("e", Millis(60_000));
    assert!(!daemon.admits("e", true, Millis(60_900)));
    assert!(daemon.admits("e", true, Millis(61_000)));
}

#[test]
fn daemon_without_a_rank_or_of_another_data_centre_sends_nothing() {
    let mut daemon = EndpointLimits::default();
    daemon.apply("e", Some(100.0), Millis(0));
    assert!(!daemon.admits("e", true, Millis(100_000)));
    daemon.set_rank(Rank { position: 0, daemons: 1 });
    assert!(daemon.admits("e", true, Millis(100_000)));
    assert!(!daemon.admits("e", false, Millis(100_000)));
    assert!(daemon.admits("other", false, Millis(100_000)));
}

#[test]
fn endpoint_that_takes_nothing_is_asked_once_a_minute() {
    let mut fleet: Vec<_> = (0..50).map(|n| ranked(n, 50)).collect();
    fleet.iter_mut().for_each(|daemon| daemon.apply("e", Some(0.0), Millis(0)));
    assert_eq!(sends(&mut fleet, 0, 59_990).len(), 0);
    assert_eq!(sends(&mut fleet, 59_990, 119_990).len(), 1);
}

#[test]
fn older_statement_does_not_replace_a_newer_one() {
    let mut daemon = ranked(0, 1);
    assert!(daemon.observe("e", Some(2.0), Millis(5_000)));
    daemon.apply("e", None, Millis(4_000));
    assert_eq!(daemon.stated("e"), Some(2.0));
    daemon.apply("e", None, Millis(6_000));
    assert_eq!(daemon.stated("e"), None);
    daemon.apply("e", Some(2.0), Millis(5_500));
    assert!(daemon.admits("e", true, Millis(6_000)));
}

#[test]
fn changes_are_reported_at_intervals() {
    let mut daemon = ranked(0, 1);
    assert!(!daemon.observe("e", None, Millis(0)));
    assert!(daemon.observe("e", Some(2.0), Millis(1_000)));
    assert!(!daemon.observe("e", Some(2.0), Millis(1_100)));
    assert!(!daemon.observe("e", Some(1.9), Millis(1_200)));
    assert!(daemon.observe("e", Some(1.9), Millis(1_600)));
    assert!(!daemon.observe("e", Some(1.9), Millis(60_000)));
    assert!(daemon.observe("e", Some(1.9), Millis(61_600)));
}

#[test]
fn limit_of_a_restarted_endpoint_is_discarded() {
    let mut daemon = ranked(0, 1);
    daemon.observe("e", Some(0.1), Millis(0));
    daemon.reset("e");
    assert!(daemon.is_empty() && daemon.admits("e", false, Millis(1)));
}
