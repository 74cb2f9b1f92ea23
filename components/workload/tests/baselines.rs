//! Tests of the simulation with the baseline schedulers.

use rstest::rstest;
use workload::{Baseline, Choice, Measure, Order, Scenario, run};

fn shortened(mut scenario: Scenario) -> Scenario {
    scenario.phases.iter_mut().for_each(|p| p.until_ms = p.until_ms.min(15_000));
    scenario.end_ms = 40_000;
    scenario
}

fn measure(scenario: &Scenario, order: Order, choice: Choice) -> Measure {
    run(scenario, 7, |v| Baseline::new(order, choice, v))
}

#[rstest]
#[case::random(Choice::Random)]
#[case::round_robin(Choice::RoundRobin)]
#[case::least_outstanding(Choice::LeastOutstanding)]
fn baseline_runs_with_the_same_seed_give_the_same_results(#[case] choice: Choice) {
    let scenario = shortened(Scenario::dawn());
    let first = measure(&scenario, Order::Fifo, choice);
    let second = measure(&scenario, Order::Fifo, choice);
    assert_eq!(format!("{first:?}"), format!("{second:?}"));
}

#[test]
fn every_request_finishes_below_capacity() {
    let measure = measure(&shortened(Scenario::calm()), Order::Tier, Choice::LeastOutstanding);
    for class in &measure.classes {
        assert_eq!(class.finished, class.requests);
    }
    assert_eq!(measure.wasted_tokens, 0);
}

#[test]
fn queue_order_by_tier_raises_the_attainment_of_the_highest_tier() {
    let scenario = Scenario::dawn();
    let fifo = measure(&scenario, Order::Fifo, Choice::LeastOutstanding);
    let tiers = measure(&scenario, Order::Tier, Choice::LeastOutstanding);
    assert!(tiers.attainment(0) > fifo.attainment(0));
}
