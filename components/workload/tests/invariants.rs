//! Simulations of the scheduler that check its invariants at each tick.

use decision::load::{Mechanisms, Scheduler, SchedulerConfig};
use rstest::rstest;
use workload::{Measure, Scenario, mechanisms, run};

fn measure(scenario: &Scenario, seed: u64, mechanisms: Mechanisms) -> Measure {
    run(scenario, seed, |v| {
        Scheduler::new(SchedulerConfig {
            name: v.daemon.clone(),
            data_centre: v.data_centre.clone(),
            region: v.region.clone(),
            seed: v.seed,
            check_invariants: true,
            mechanisms,
            ..SchedulerConfig::default()
        })
    })
}

#[rstest]
fn random_scenarios_break_no_invariant(#[values(1, 2, 3, 4, 5, 6, 7, 8, 9, 10)] seed: u64) {
    let measure = measure(&Scenario::random(seed), seed, Mechanisms::default());
    assert_eq!(measure.violations, 0);
}

/// In these seeds the unused capacity of higher tiers ends before the floor of a class has accrued
/// credit for one start.
#[rstest]
fn simultaneous_faults_break_no_invariant(#[values(6, 9)] seed: u64) {
    let scenario = Scenario::by_name("together").expect("the scenario exists");
    let measure = measure(&scenario, seed, Mechanisms::default());
    assert_eq!(measure.violations, 0);
}

#[test]
fn scheduler_runs_with_the_same_seed_give_the_same_results() {
    let scenario = Scenario::random(3);
    let first = measure(&scenario, 3, Mechanisms::default());
    let second = measure(&scenario, 3, Mechanisms::default());
    assert_eq!(format!("{first:?}"), format!("{second:?}"));
}

#[test]
#[should_panic(expected = "refused while a lower one ran here")]
fn scheduler_without_preemption_breaks_the_invariant_of_tiers() {
    let mechanisms = mechanisms("no_preemption").expect("the ablation exists");
    measure(&Scenario::dawn(), 1, mechanisms);
}

/// A class with a long finish target overloads the pool for longer than the finish target of the
/// class one tier below it.
fn overload_with_long_target() -> Scenario {
    let mut scenario = Scenario::dawn();
    let classes = &mut scenario.site.classes;
    (classes[2].first_token_ms, classes[2].finish_ms) = (100_000, 120_000);
    (classes[3].first_token_ms, classes[3].finish_ms) = (10_000, 15_000);
    scenario.phases[2].load = 2.0;
    scenario.end_ms = 60_000;
    scenario
}

#[test]
fn floor_is_served_in_every_window_below_an_overloaded_tier() {
    let measure = measure(&overload_with_long_target(), 1, Mechanisms::default());
    assert_eq!(measure.classes[3].served_windows, measure.classes[3].windows);
}

#[test]
#[should_panic(expected = "has not had its floor")]
fn scheduler_without_floors_breaks_the_invariant_of_floors() {
    let mechanisms = mechanisms("no_floors").expect("the ablation exists");
    measure(&overload_with_long_target(), 1, mechanisms);
}
