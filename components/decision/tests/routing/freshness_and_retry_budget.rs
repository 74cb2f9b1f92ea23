use decision::Millis;
use decision::routing::{Freshness, RetryBudget, RetryBudgetConfig};
use rstest::rstest;

const REVOCATION_BOUND: Millis = Millis(5_000);

#[rstest]
#[case(4_000, true)]
#[case(4_700, true)]
#[case(4_800, false)]
#[case(60_000, false)]
fn keys_are_trusted_only_within_the_revocation_bound(#[case] now: u64, #[case] trusted: bool) {
    let mut freshness = Freshness::default();
    freshness.confirm(Millis(0));
    assert_eq!(freshness.is_within(REVOCATION_BOUND, Millis(now)), trusted);
}

#[test]
fn keys_are_not_trusted_before_the_first_confirmation() {
    assert!(!Freshness::default().is_within(REVOCATION_BOUND, Millis(0)));
}

#[test]
fn late_arrival_of_an_older_confirmation_has_no_effect() {
    let mut freshness = Freshness::default();
    freshness.confirm(Millis(3_000));
    freshness.confirm(Millis(1_000));
    assert_eq!(freshness.age(Millis(4_000)), Some(Millis(1_000)));
}

fn freshness_with_responses_at(times: &[u64]) -> Freshness {
    let mut freshness = Freshness::default();
    for at in times {
        freshness.observe_response(Millis(*at));
    }
    freshness
}

#[rstest]
#[case(&[1_000, 2_100, 3_200], 4_000, Some(3_000))]
#[case(&[1_000, 2_100, 4_100], 4_200, Some(100))]
#[case(&[1_000, 2_100], 4_100, None)]
#[case(&[], 4_100, None)]
fn gap_in_which_entries_could_expire_ends_the_continuity_of_responses(
    #[case] responses: &[u64],
    #[case] now: u64,
    #[case] expected: Option<u64>,
) {
    let freshness = freshness_with_responses_at(responses);
    assert_eq!(freshness.continuous_for(Millis(now)), expected.map(Millis));
}

/// A watch of the configuration takes 1.1 s, so a daemon that reads the store gets a response that
/// often, while its confirmation, counted from the call, is up to 2.2 s old.
#[test]
fn daemon_that_watches_the_store_knows_at_any_time_that_it_is_available() {
    let mut freshness = freshness_with_responses_at(&[1_000]);
    for now in (1_010..30_000).step_by(10).map(Millis) {
        if now.0 % 1_100 == 0 {
            assert_eq!(freshness.observe_response(now), None);
        }
        assert_eq!(freshness.continuous_for(now), Some(now - Millis(1_000)));
    }
}

#[test]
fn response_after_a_gap_in_which_entries_could_expire_tells_when_it_began() {
    let mut freshness = freshness_with_responses_at(&[1_000, 2_100]);
    assert_eq!(freshness.observe_response(Millis(4_099)), None);
    assert_eq!(freshness.observe_response(Millis(6_099)), Some(Millis(4_099)));
    // A response that another daemon got before that.
    assert_eq!(freshness.observe_response(Millis(5_000)), None);
}

#[rstest]
#[case(5_200, true)]
#[case(5_199, false)]
fn store_was_available_if_confirmed_since_entries_of_an_earlier_outage_were_back(
    #[case] continuous_for: u64,
    #[case] proven: bool,
) {
    let (lost_at, now) = (Millis(20_000), Millis(23_000));
    assert_eq!(Freshness::proves_availability(Millis(continuous_for), lost_at, now), proven);
}

#[test]
fn retries_of_all_daemons_stay_within_the_shared_budget() {
    let cfg = RetryBudgetConfig { ratio: 0.2, window: Millis(10_000), extra: 54.0 };
    let mut daemons = vec![RetryBudget::new(cfg); 7];
    let mut retries = 0;
    for now in (0..10_000).step_by(100).map(Millis) {
        for daemon in &mut daemons {
            daemon.record_request("pool", now);
            retries += usize::from((0..10).any(|_| daemon.try_spend("pool", Some(7), now)));
        }
    }
    let requests = 7 * 100;
    assert!(retries as f64 <= 0.2 * f64::from(requests) + 54.0, "{retries} retries");
    assert!(retries > 100, "{retries} retries");
}

#[test]
fn extra_retries_are_not_used_while_the_number_of_daemons_is_unknown() {
    let mut budget = RetryBudget::new(RetryBudgetConfig::default());
    budget.record_request("pool", Millis(0));
    assert!(!budget.try_spend("pool", None, Millis(0)));
    (0..9).for_each(|_| budget.record_request("pool", Millis(1)));
    assert!(budget.try_spend("pool", None, Millis(2)));
}

#[test]
fn retries_before_the_window_no_longer_count() {
    let mut budget =
        RetryBudget::new(RetryBudgetConfig { extra: 1.0, ..RetryBudgetConfig::default() });
    assert!(budget.try_spend("pool", Some(1), Millis(0)));
    assert!(!budget.try_spend("pool", Some(1), Millis(9_999)));
    // The second retry may have arrived later than the first by the time of a connection attempt.
    assert!(!budget.try_spend("pool", Some(1), Millis(10_600)));
    assert!(budget.try_spend("pool", Some(1), Millis(10_601)));
}

/// Retries that arrive at any time within the time of a connection attempt after they were decided on.
#[test]
fn retries_that_arrive_late_stay_within_the_budget() {
    let cfg = RetryBudgetConfig { ratio: 0.0, window: Millis(10_000), extra: 54.0 };
    let mut budget = RetryBudget::new(cfg);
    let mut arrivals = Vec::new();
    for now in 0..40_000 {
        while budget.try_spend("pool", Some(1), Millis(now)) {
            // The first of a burst is the last to arrive.
            let delay = if now < 10_000 { 600 } else { 0 };
            arrivals.push(now + delay);
        }
    }
    for from in 0..30_000 {
        let repeats = arrivals.iter().filter(|at| (from..from + 10_000).contains(*at)).count();
        assert!(repeats <= 54, "{repeats} retries arrive from {from} to {} ms", from + 10_000);
    }
}

/// Most requests fail, so each process spends what it may within a part of the window.
#[test]
fn daemon_that_restarts_does_not_spend_the_part_of_its_predecessor_again() {
    let cfg = RetryBudgetConfig { ratio: 0.2, window: Millis(10_000), extra: 7.0 };
    let (mut requests, mut retries) = (Vec::new(), Vec::new());
    let mut budget = RetryBudget::new(cfg);
    for now in 0..100_000 {
        if [16_000, 40_000, 43_000].contains(&now) {
            budget = RetryBudget::after_restart(cfg, Millis(now));
        }
        if now % 20 == 0 {
            requests.push(now);
            budget.record_request("pool", Millis(now));
            if now > 10_000 && budget.try_spend("pool", Some(1), Millis(now)) {
                retries.push(now);
            }
        }
    }
    for from in 0..90_000 {
        let within =
            |times: &[u64]| times.iter().filter(|at| (from..from + 10_000).contains(*at)).count();
        let allowed = 0.2 * within(&requests) as f64 + 7.0;
        let repeats = within(&retries);
        assert!(repeats as f64 <= allowed, "{repeats} retries from {from} ms, {allowed} allowed");
    }
    assert!(retries.len() > requests.len() / 10, "{} retries", retries.len());
}

/// Guards against an endpoint whose entry expired in an outage and that is removed, since a call about
/// something else has hidden the outage.
#[test]
fn response_to_another_call_continues_the_availability_of_the_store_but_does_not_hide_a_gap() {
    let mut freshness = Freshness::default();
    freshness.observe_response(Millis(1_000));
    freshness.observe_availability(Millis(2_900));
    assert_eq!(freshness.observe_response(Millis(4_800)), None);
    freshness.observe_availability(Millis(6_800));
    assert_eq!(freshness.observe_response(Millis(6_900)), Some(Millis(4_800)));
}
