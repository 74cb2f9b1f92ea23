//! A single fault before each step of an attempt, then retries by the caller.

use crate::model::{Budget, Defect, Delivery, Model, Transition};
use errors::Verdict;
use rstest::rstest;

#[derive(Clone, Copy, Debug)]
enum Fault {
    Killed,
    PausedDuringRetry,
    PausedPastRetention,
    RequestLost,
    ResponseLost,
    Delayed,
    Unreachable,
    ResponseLostAndKilled,
}

const BUDGET: Budget =
    Budget { attempts: 4, overlaps: 1, lost: 2, unsent: 99, crashes: 2, expiries: 1, restores: 0 };

/// Advances attempt `i` by up to `steps` effects; each meets `delivery` where the budget allows.
fn advance(model: &mut Model, i: usize, steps: usize, delivery: Delivery) {
    for _ in 0..steps {
        let transitions = model.enabled_transitions();
        let normal = Transition::Step(i, Delivery::Normal);
        if !transitions.contains(&normal) {
            return;
        }
        let faulty = Transition::Step(i, delivery);
        model.apply(if transitions.contains(&faulty) { faulty } else { normal }).unwrap();
    }
}

fn apply_if_possible(model: &mut Model, transition: Transition) {
    if model.enabled_transitions().contains(&transition) {
        model.apply(transition).unwrap();
    }
}

fn inject(model: &mut Model, fault: Fault) {
    match fault {
        Fault::Killed => apply_if_possible(model, Transition::Crash(0)),
        Fault::PausedDuringRetry => run_attempt(model, 1),
        Fault::PausedPastRetention => {
            run_attempt(model, 1);
            model.apply(Transition::Expire).unwrap();
        }
        Fault::RequestLost => advance(model, 0, 1, Delivery::RequestLost),
        Fault::ResponseLost => advance(model, 0, 1, Delivery::ResponseLost),
        Fault::Delayed => advance(model, 0, 1, Delivery::Delayed),
        Fault::Unreachable => advance(model, 0, 99, Delivery::Unsent),
        Fault::ResponseLostAndKilled => {
            advance(model, 0, 1, Delivery::ResponseLost);
            apply_if_possible(model, Transition::Crash(0));
        }
    }
}

fn run_attempt(model: &mut Model, i: usize) {
    apply_if_possible(model, Transition::Start);
    advance(model, i, 99, Delivery::Normal);
}

/// Injects a fault after `point` steps; returns the number of runs and the caller's last verdict.
fn outcome(point: usize, fault: Fault) -> (u32, Option<Verdict>) {
    let mut model = Model::new(Defect::None, BUDGET);
    model.apply(Transition::Start).unwrap();
    advance(&mut model, 0, point, Delivery::Normal);
    inject(&mut model, fault);
    advance(&mut model, 0, 99, Delivery::Normal);
    for i in 1..BUDGET.attempts {
        apply_if_possible(&mut model, Transition::DeliverWrite);
        apply_if_possible(&mut model, Transition::DeliverCall);
        run_attempt(&mut model, i);
    }
    (model.runs, model.last_verdict)
}

const RAN: Option<Verdict> = Some(Verdict::Ran);
const NOT_RUN: Option<Verdict> = Some(Verdict::NotRun);
const MAY_HAVE_RUN: Option<Verdict> = Some(Verdict::MayHaveRun);

/// The points are: before the record's creation, the send, the response and the record's update.
#[rstest]
#[case(Fault::Killed, [(1, RAN), (0, MAY_HAVE_RUN), (1, MAY_HAVE_RUN), (1, RAN)])]
#[case(Fault::PausedDuringRetry, [(1, RAN), (1, RAN), (1, RAN), (1, RAN)])]
#[case(Fault::PausedPastRetention, [(1, RAN), (1, MAY_HAVE_RUN), (1, MAY_HAVE_RUN), (1, RAN)])]
#[case(Fault::RequestLost, [(1, RAN), (0, MAY_HAVE_RUN), (1, RAN), (1, RAN)])]
#[case(Fault::ResponseLost, [(1, RAN), (1, MAY_HAVE_RUN), (1, RAN), (1, RAN)])]
#[case(Fault::Delayed, [(1, RAN), (1, MAY_HAVE_RUN), (1, RAN), (1, RAN)])]
#[case(Fault::Unreachable, [(0, NOT_RUN), (0, NOT_RUN), (1, RAN), (1, RAN)])]
#[case(Fault::ResponseLostAndKilled, [(0, MAY_HAVE_RUN), (1, MAY_HAVE_RUN), (1, RAN), (1, RAN)])]
fn every_single_fault_ends_with_a_correct_verdict(
    #[case] fault: Fault,
    #[case] expected: [(u32, Option<Verdict>); 4],
) {
    let actual: Vec<_> = (0..4).map(|point| outcome(point, fault)).collect();
    assert_eq!(actual, expected);
}
