//! Randomised runs with the scheduler's invariants asserted inside the program.

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
fn can_hold_every_invariant_in_a_random_run(#[values(1, 2, 3, 4, 5, 6, 7, 8, 9, 10)] seed: u64) {
    let measure = measure(&Scenario::random(seed), seed, Mechanisms::default());
    assert_eq!(measure.violations, 0);
}

/// Seeds in which slack above a class ends before its share has come to a start.
#[rstest]
fn can_hold_the_floors_under_all_faults_together(#[values(6, 9)] seed: u64) {
    let scenario = Scenario::by_name("together").expect("a known scenario");
    let measure = measure(&scenario, seed, Mechanisms::default());
    assert_eq!(measure.violations, 0);
}

#[test]
fn can_repeat_a_run_of_the_scheduler_from_its_seed() {
    let scenario = Scenario::random(3);
    let first = measure(&scenario, 3, Mechanisms::default());
    let second = measure(&scenario, 3, Mechanisms::default());
    assert_eq!(format!("{first:?}"), format!("{second:?}"));
}

#[test]
#[should_panic(expected = "refused while a lower one ran here")]
fn errors_when_lower_tiers_do_not_give_way() {
    let mechanisms = mechanisms("no_preemption").expect("a known variant");
    measure(&Scenario::dawn(), 1, mechanisms);
}

/// A patient class fills the pool for longer than the finish window of the class below it.
fn patient_flood() -> Scenario {
    let mut scenario = Scenario::dawn();
    let classes = &mut scenario.site.classes;
    (classes[2].first_token, classes[2].finish) = (100_000, 120_000);
    (classes[3].first_token, classes[3].finish) = (10_000, 15_000);
    scenario.phases[2].load = 2.0;
    scenario.until = 60_000;
    scenario
}

#[test]
fn can_serve_a_floor_below_a_patient_flood() {
    let measure = measure(&patient_flood(), 1, Mechanisms::default());
    assert_eq!(measure.classes[3].served_windows, measure.classes[3].windows);
}

#[test]
#[should_panic(expected = "has not had its floor")]
fn errors_when_a_class_gets_no_floor() {
    let mechanisms = mechanisms("no_floors").expect("a known variant");
    measure(&patient_flood(), 1, mechanisms);
}
