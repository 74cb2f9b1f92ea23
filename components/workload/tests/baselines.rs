//! The driver itself: the same seed gives the same measure.

use rstest::rstest;
use workload::{Baseline, Choice, Measure, Order, Scenario, run};

fn short(mut scenario: Scenario) -> Scenario {
    scenario.phases.iter_mut().for_each(|p| p.until = p.until.min(15_000));
    scenario.until = 40_000;
    scenario
}

fn measure(scenario: &Scenario, order: Order, choice: Choice) -> Measure {
    run(scenario, 7, |v| Baseline::new(order, choice, v))
}

#[rstest]
#[case::random(Choice::Random)]
#[case::round_robin(Choice::RoundRobin)]
#[case::least_outstanding(Choice::LeastOutstanding)]
fn can_repeat_a_run_from_its_seed(#[case] choice: Choice) {
    let scenario = short(Scenario::dawn());
    let first = measure(&scenario, Order::Fifo, choice);
    let second = measure(&scenario, Order::Fifo, choice);
    assert_eq!(format!("{first:?}"), format!("{second:?}"));
}

#[test]
fn can_answer_every_request_below_capacity() {
    let measure = measure(&short(Scenario::calm()), Order::Tier, Choice::LeastOutstanding);
    for class in &measure.classes {
        assert_eq!(class.finished, class.requests);
    }
    assert_eq!(measure.wasted, 0);
}

#[test]
fn can_serve_the_highest_tier_first() {
    let scenario = Scenario::dawn();
    let fifo = measure(&scenario, Order::Fifo, Choice::LeastOutstanding);
    let tiers = measure(&scenario, Order::Tier, Choice::LeastOutstanding);
    assert!(tiers.attainment(0) > fifo.attainment(0));
}
