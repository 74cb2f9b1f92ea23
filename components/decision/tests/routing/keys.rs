use decision::Millis;
use decision::routing::{Freshness, RetryBudget, RetryBudgetConfig};
use rstest::rstest;

const BOUND: Millis = Millis(5_000);

#[rstest]
#[case(4_000, true)]
#[case(4_700, true)]
#[case(4_800, false)]
#[case(60_000, false)]
fn trusts_keys_only_within_the_bound(#[case] now: u64, #[case] trusted: bool) {
    let mut freshness = Freshness::default();
    freshness.confirm(Millis(0));
    assert_eq!(freshness.is_within(BOUND, Millis(now)), trusted);
}

#[test]
fn trusts_no_keys_before_the_first_proof() {
    assert!(!Freshness::default().is_within(BOUND, Millis(0)));
}

#[test]
fn keeps_the_latest_proof_when_an_older_one_arrives_late() {
    let mut freshness = Freshness::default();
    freshness.confirm(Millis(3_000));
    freshness.confirm(Millis(1_000));
    assert_eq!(freshness.age(Millis(4_000)), Some(Millis(1_000)));
}

#[test]
fn keeps_the_retries_of_all_daemons_within_the_shared_budget() {
    let terms = RetryBudgetConfig { ratio: 0.2, window: Millis(10_000), extra: 54.0 };
    let mut daemons = vec![RetryBudget::new(terms); 7];
    let mut taken = 0;
    for now in (0..10_000).step_by(100).map(Millis) {
        for daemon in &mut daemons {
            daemon.record_request("pool", now);
            taken += usize::from((0..10).any(|_| daemon.try_spend("pool", Some(7), now)));
        }
    }
    let requests = 7 * 100;
    assert!(taken as f64 <= 0.2 * f64::from(requests) + 54.0, "{taken}");
    assert!(taken > 100, "{taken}");
}

#[test]
fn uses_no_extra_retries_while_the_number_of_daemons_is_unknown() {
    let mut budget = RetryBudget::new(RetryBudgetConfig::default());
    budget.record_request("pool", Millis(0));
    assert!(!budget.try_spend("pool", None, Millis(0)));
    (0..9).for_each(|_| budget.record_request("pool", Millis(1)));
    assert!(budget.try_spend("pool", None, Millis(2)));
}

#[test]
fn forgets_retries_that_left_the_window() {
    let mut budget =
        RetryBudget::new(RetryBudgetConfig { extra: 1.0, ..RetryBudgetConfig::default() });
    assert!(budget.try_spend("pool", Some(1), Millis(0)));
    assert!(!budget.try_spend("pool", Some(1), Millis(9_999)));
    assert!(budget.try_spend("pool", Some(1), Millis(10_001)));
}
