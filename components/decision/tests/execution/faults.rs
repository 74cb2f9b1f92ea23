//! One fault at each point between two steps.

use crate::model::{Broken, Budget, Choice, Fate, World};
use errors::Verdict;
use rstest::rstest;

#[derive(Clone, Copy, Debug)]
enum Fault {
    Killed,
    PausedAndWoken,
    PausedPastRetention,
    Silent,
    AnswerLost,
    AppliedLate,
    Down,
    AnswerLostAndKilled,
}

const BUDGET: Budget =
    Budget { attempts: 4, overlaps: 1, lost: 2, unsent: 99, crashes: 2, expiries: 1, restores: 0 };

/// Lets attempt `i` go on until it has nothing left to do or `steps` are done.
fn go(world: &mut World, i: usize, steps: usize, fate: Fate) {
    for _ in 0..steps {
        let choices = world.choices();
        let good = Choice::Step(i, Fate::Good);
        if !choices.contains(&good) {
            return;
        }
        let wanted = Choice::Step(i, fate);
        world.apply(if choices.contains(&wanted) { wanted } else { good }).unwrap();
    }
}

fn apply_if_possible(world: &mut World, choice: Choice) {
    if world.choices().contains(&choice) {
        world.apply(choice).unwrap();
    }
}

fn inject(world: &mut World, fault: Fault) {
    match fault {
        Fault::Killed => apply_if_possible(world, Choice::Crash(0)),
        Fault::PausedAndWoken => another_attempt(world, 1),
        Fault::PausedPastRetention => {
            another_attempt(world, 1);
            world.apply(Choice::Expire).unwrap();
        }
        Fault::Silent => go(world, 0, 1, Fate::LostDropped),
        Fault::AnswerLost => go(world, 0, 1, Fate::LostApplied),
        Fault::AppliedLate => go(world, 0, 1, Fate::LostLate),
        Fault::Down => go(world, 0, 99, Fate::Unsent),
        Fault::AnswerLostAndKilled => {
            go(world, 0, 1, Fate::LostApplied);
            apply_if_possible(world, Choice::Crash(0));
        }
    }
}

fn another_attempt(world: &mut World, i: usize) {
    apply_if_possible(world, Choice::Start);
    go(world, i, 99, Fate::Good);
}

/// Applies a fault after `point` steps and returns the runs and what the caller learnt in the end.
fn outcome(point: usize, fault: Fault) -> (u32, Option<Verdict>) {
    let mut world = World::new(Broken::Nothing, BUDGET);
    world.apply(Choice::Start).unwrap();
    go(&mut world, 0, point, Fate::Good);
    inject(&mut world, fault);
    go(&mut world, 0, 99, Fate::Good);
    for i in 1..BUDGET.attempts {
        apply_if_possible(&mut world, Choice::LandWrite);
        apply_if_possible(&mut world, Choice::LandCall);
        another_attempt(&mut world, i);
    }
    (world.runs, world.told)
}

const RAN: Option<Verdict> = Some(Verdict::Ran);
const NOT_RUN: Option<Verdict> = Some(Verdict::NotRun);
const UNCLEAR: Option<Verdict> = Some(Verdict::MayHaveRun);

/// The points are: before the create, the send, the answer and the outcome's write.
#[rstest]
#[case(Fault::Killed, [(1, RAN), (0, UNCLEAR), (1, UNCLEAR), (1, RAN)])]
#[case(Fault::PausedAndWoken, [(1, RAN), (1, RAN), (1, RAN), (1, RAN)])]
#[case(Fault::PausedPastRetention, [(1, RAN), (1, UNCLEAR), (1, UNCLEAR), (1, RAN)])]
#[case(Fault::Silent, [(1, RAN), (0, UNCLEAR), (1, RAN), (1, RAN)])]
#[case(Fault::AnswerLost, [(1, RAN), (1, UNCLEAR), (1, RAN), (1, RAN)])]
#[case(Fault::AppliedLate, [(1, RAN), (1, UNCLEAR), (1, RAN), (1, RAN)])]
#[case(Fault::Down, [(0, NOT_RUN), (0, NOT_RUN), (1, RAN), (1, RAN)])]
#[case(Fault::AnswerLostAndKilled, [(0, UNCLEAR), (1, UNCLEAR), (1, RAN), (1, RAN)])]
fn can_end_each_fault_with_a_true_verdict(
    #[case] fault: Fault,
    #[case] expected: [(u32, Option<Verdict>); 4],
) {
    let found: Vec<_> = (0..4).map(|point| outcome(point, fault)).collect();
    assert_eq!(found, expected);
}
