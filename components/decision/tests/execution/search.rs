//! Exhaustive search over the interleavings of a few attempts and faults.

use crate::model::{Budget, Defect, Model, Transition};
use rstest::rstest;
use std::collections::{BTreeSet, VecDeque};

/// Visits every reachable state; returns their number, or the first violation with its path.
fn search(model: Model) -> Result<usize, (String, Vec<Transition>)> {
    let mut seen = BTreeSet::from([model.clone()]);
    let mut queue = VecDeque::from([(model, Vec::new())]);
    while let Some((model, path)) = queue.pop_front() {
        for transition in model.enabled_transitions() {
            let mut next = model.clone();
            let path: Vec<Transition> = path.iter().copied().chain([transition]).collect();
            if let Err(violation) = next.apply(transition) {
                return Err((violation, path));
            }
            if seen.insert(next.clone()) {
                queue.push_back((next, path));
            }
        }
    }
    Ok(seen.len())
}

const ONE_OF_EACH: Budget =
    Budget { attempts: 2, overlaps: 1, lost: 1, unsent: 2, crashes: 1, expiries: 1, restores: 0 };

#[rstest]
#[case::one_of_each_fault(ONE_OF_EACH)]
#[case::two_lost_responses(Budget { lost: 2, unsent: 0, ..ONE_OF_EACH })]
#[case::store_restored(Budget { restores: 1, unsent: 1, ..ONE_OF_EACH })]
#[case::three_attempts(Budget { attempts: 3, overlaps: 2, unsent: 0, crashes: 0, ..ONE_OF_EACH })]
fn no_reachable_state_has_a_second_run_or_a_false_response(#[case] budget: Budget) {
    let states = search(Model::new(Defect::None, budget)).unwrap();
    println!("{states} states");
    assert!(states > 1_000);
}

#[rstest]
#[case(Defect::NonceUnchecked)]
#[case(Defect::CreateUnconditional)]
#[case(Defect::AnyoneMarksNotRun)]
#[case(Defect::NotRunReopened)]
#[case(Defect::AgeNotRechecked)]
#[case(Defect::FirstAssumed)]
#[case(Defect::LostWriteTrusted)]
#[case(Defect::LostCallResent)]
#[case(Defect::StoreVersionUnchecked)]
fn search_finds_a_violation_for_each_defect(#[case] defect: Defect) {
    let restores = u32::from(defect == Defect::StoreVersionUnchecked);
    let budget = Budget { restores, ..ONE_OF_EACH };
    let (violation, path) = search(Model::new(defect, budget)).unwrap_err();
    println!("{defect:?}: {violation} after {path:?}");
}
