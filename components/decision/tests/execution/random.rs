//! Seeded runs that mix the faults with callers that come back.

use crate::model::{Broken, Budget, Choice, Fate, World};
use errors::Verdict;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use rstest::rstest;

const SEED: u64 = 5;
const STEP_LIMIT: usize = 1_000;

fn executions() -> u32 {
    let asked = std::env::var("CHERVILSPUR_EXECUTIONS").ok().and_then(|v| v.parse().ok());
    asked.unwrap_or(1_000)
}

fn is_fault(choice: &Choice) -> bool {
    !matches!(choice, Choice::Step(_, Fate::Good) | Choice::LandWrite | Choice::LandCall)
}

/// Runs one key to its end and returns what its caller was told last.
fn run_key(rng: &mut Pcg64Mcg, budget: Budget) -> Option<Verdict> {
    let mut world = World::new(Broken::Nothing, budget);
    world.apply(Choice::Start).unwrap();
    for _ in 0..STEP_LIMIT {
        let mut choices = world.choices();
        if rng.random_range(0..10) < 6 && choices.iter().any(|c| !is_fault(c)) {
            choices.retain(|c| !is_fault(c));
        }
        if choices.is_empty() {
            break;
        }
        let choice = choices[rng.random_range(0..choices.len())];
        world.apply(choice).unwrap();
    }
    assert!(world.choices().is_empty(), "the key did not come to an end");
    world.told
}

const ATTEMPTS: Budget =
    Budget { attempts: 4, overlaps: 0, lost: 0, unsent: 0, crashes: 0, expiries: 0, restores: 0 };

#[rstest]
#[case::no_fault(ATTEMPTS)]
#[case::caller_impatient(Budget { overlaps: 3, ..ATTEMPTS })]
#[case::killed(Budget { crashes: 1, ..ATTEMPTS })]
#[case::answer_lost(Budget { lost: 1, ..ATTEMPTS })]
#[case::store_or_endpoint_down(Budget { unsent: 12, ..ATTEMPTS })]
#[case::expired(Budget { expiries: 1, ..ATTEMPTS })]
#[case::store_went_back(Budget { restores: 1, ..ATTEMPTS })]
#[case::all_mixed(Budget { overlaps: 2, lost: 3, unsent: 6, crashes: 2, expiries: 1, restores: 1, ..ATTEMPTS })]
fn can_run_keys_under_faults(#[case] budget: Budget) {
    let mut rng = Pcg64Mcg::seed_from_u64(SEED);
    let mut unclear = 0;
    let count = executions();
    for _ in 0..count {
        let told = run_key(&mut rng, budget);
        unclear += u32::from(!matches!(told, Some(Verdict::Ran | Verdict::NotRun)));
    }
    let share = f64::from(unclear) / f64::from(count);
    println!("{budget:?}: {count} executions, {share:.4} without a clear verdict");
}
