//! Seeded random runs with faults and retrying callers.

use crate::model::{Budget, Defect, Delivery, Model, Transition};
use errors::Verdict;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use rstest::rstest;

const SEED: u64 = 5;
const STEP_LIMIT: usize = 1_000;

fn executions() -> u32 {
    let requested = std::env::var("CHERVILSPUR_EXECUTIONS").ok().and_then(|v| v.parse().ok());
    requested.unwrap_or(1_000)
}

fn is_fault(transition: &Transition) -> bool {
    !matches!(
        transition,
        Transition::Step(_, Delivery::Normal) | Transition::DeliverWrite | Transition::DeliverCall
    )
}

/// Runs one key until no transition is left; returns the last verdict that its caller received.
fn run_key(rng: &mut Pcg64Mcg, budget: Budget) -> Option<Verdict> {
    let mut model = Model::new(Defect::None, budget);
    model.apply(Transition::Start).unwrap();
    for _ in 0..STEP_LIMIT {
        let mut transitions = model.enabled_transitions();
        if rng.random_range(0..10) < 6 && transitions.iter().any(|t| !is_fault(t)) {
            transitions.retain(|t| !is_fault(t));
        }
        if transitions.is_empty() {
            break;
        }
        let transition = transitions[rng.random_range(0..transitions.len())];
        model.apply(transition).unwrap();
    }
    assert!(
        model.enabled_transitions().is_empty(),
        "transitions are left after {STEP_LIMIT} steps"
    );
    model.last_verdict
}

const NO_FAULTS: Budget =
    Budget { attempts: 4, overlaps: 0, lost: 0, unsent: 0, crashes: 0, expiries: 0, restores: 0 };

#[rstest]
#[case::no_fault(NO_FAULTS)]
#[case::overlapping_attempts(Budget { overlaps: 3, ..NO_FAULTS })]
#[case::killed(Budget { crashes: 1, ..NO_FAULTS })]
#[case::response_lost(Budget { lost: 1, ..NO_FAULTS })]
#[case::store_or_endpoint_down(Budget { unsent: 12, ..NO_FAULTS })]
#[case::expired(Budget { expiries: 1, ..NO_FAULTS })]
#[case::store_restored(Budget { restores: 1, ..NO_FAULTS })]
#[case::all_faults(Budget { overlaps: 2, lost: 3, unsent: 6, crashes: 2, expiries: 1, restores: 1, ..NO_FAULTS })]
fn calls_run_at_most_once_under_random_faults(#[case] budget: Budget) {
    let mut rng = Pcg64Mcg::seed_from_u64(SEED);
    let mut unclear = 0;
    let count = executions();
    for _ in 0..count {
        let verdict = run_key(&mut rng, budget);
        unclear += u32::from(!matches!(verdict, Some(Verdict::Ran | Verdict::NotRun)));
    }
    let share = f64::from(unclear) / f64::from(count);
    println!("{budget:?}: {count} executions, {share:.4} without a clear verdict");
}
