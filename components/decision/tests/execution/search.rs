//! Every interleaving of the record's protocol at small size.

use crate::model::{Broken, Budget, Choice, World};
use rstest::rstest;
use std::collections::{BTreeSet, VecDeque};

/// Visits every state; returns how many there are, or the steps to the first violation.
fn search(world: World) -> Result<usize, (String, Vec<Choice>)> {
    let mut seen = BTreeSet::from([world.clone()]);
    let mut open = VecDeque::from([(world, Vec::new())]);
    while let Some((world, path)) = open.pop_front() {
        for choice in world.choices() {
            let mut next = world.clone();
            let path: Vec<Choice> = path.iter().copied().chain([choice]).collect();
            if let Err(text) = next.apply(choice) {
                return Err((text, path));
            }
            if seen.insert(next.clone()) {
                open.push_back((next, path));
            }
        }
    }
    Ok(seen.len())
}

const ONE_OF_EACH: Budget =
    Budget { attempts: 2, overlaps: 1, lost: 1, unsent: 2, crashes: 1, expiries: 1, restores: 0 };

#[rstest]
#[case::one_of_each_fault(ONE_OF_EACH)]
#[case::two_lost_answers(Budget { lost: 2, unsent: 0, ..ONE_OF_EACH })]
#[case::a_store_that_goes_back(Budget { restores: 1, unsent: 1, ..ONE_OF_EACH })]
#[case::three_attempts(Budget { attempts: 3, overlaps: 2, unsent: 0, crashes: 0, ..ONE_OF_EACH })]
fn can_visit_every_state_without_a_second_run_or_a_false_refusal(#[case] budget: Budget) {
    let states = search(World::new(Broken::Nothing, budget)).unwrap();
    println!("{states} states");
    assert!(states > 1_000);
}

#[rstest]
#[case(Broken::NonceUnchecked)]
#[case(Broken::CreateUnconditional)]
#[case(Broken::AnyoneMarksNotRun)]
#[case(Broken::NotRunReopened)]
#[case(Broken::AgeNotRechecked)]
#[case(Broken::FirstAssumed)]
#[case(Broken::LostWriteTrusted)]
#[case(Broken::LostCallResent)]
#[case(Broken::StoreVersionUnchecked)]
fn errors_when_a_mechanism_is_taken_out(#[case] broken: Broken) {
    let restores = u32::from(broken == Broken::StoreVersionUnchecked);
    let budget = Budget { restores, ..ONE_OF_EACH };
    let (text, path) = search(World::new(broken, budget)).unwrap_err();
    println!("{broken:?}: {text} after {path:?}");
}
