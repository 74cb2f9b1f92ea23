use decision::Millis;
use decision::execution::WriteResult;
use decision::orders::{HeldLease, Lease, LeaseConfig, LeaseEffect, LeaseRecord};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use rstest::rstest;

const RUNS: u64 = 300;
const STEPS: u32 = 400;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Broken {
    Nothing,
    WriteUnconditional,
    TermNotWaited,
}

/// The lease's object, with a write that may still land.
#[derive(Default)]
struct Object {
    value: Option<(u64, LeaseRecord)>,
    version: u64,
    late: Option<(LeaseRecord, u64)>,
}

impl Object {
    fn write(&mut self, record: LeaseRecord, expected: u64, broken: Broken) -> WriteResult {
        let current = self.value.as_ref().map_or(0, |(version, _)| *version);
        if current != expected && broken != Broken::WriteUnconditional {
            return WriteResult::Conflict;
        }
        self.version += 1;
        self.value = Some((self.version, record));
        WriteResult::Written(self.version)
    }

    fn answer(&mut self, rng: &mut Pcg64Mcg, effect: LeaseEffect, broken: Broken) -> WriteResult {
        let LeaseEffect::Write(record, expected) = effect else { return WriteResult::Unsent };
        match rng.random_range(0..10) {
            0 => WriteResult::Unsent,
            1 => {
                self.write(record, expected, broken);
                WriteResult::Lost
            }
            2 => {
                self.late = Some((record, expected));
                WriteResult::Lost
            }
            _ => self.write(record, expected, broken),
        }
    }
}

/// Lets three processes contend; returns how often the holder changed.
fn contend(seed: u64, broken: Broken) -> Result<u32, String> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let cfg = LeaseConfig::default();
    let hasty = LeaseConfig { term: Millis(1_000), ..cfg };
    let config = |i| if broken == Broken::TermNotWaited && i > 0 { hasty } else { cfg };
    let mut leases: Vec<Lease> = (0..3).map(|i| Lease::new(config(i), &format!("p{i}"))).collect();
    let mut object = Object::default();
    let mut paused = [Millis(0); 3];
    let (mut now, mut last, mut changes) = (Millis(0), None, 0);
    for _ in 0..STEPS {
        now = now + Millis(rng.random_range(1..1_500));
        let i = rng.random_range(0..3);
        if rng.random_range(0..20) == 0 {
            paused[i] = now + Millis(rng.random_range(0..40_000));
        }
        if let (0, Some((record, expected))) = (rng.random_range(0..5), object.late.clone()) {
            object.late = None;
            object.write(record, expected, broken);
        }
        if paused[i] <= now {
            step(&mut leases[i], &mut object, &mut rng, broken, &mut now);
        }
        let held: Vec<(usize, HeldLease)> =
            (0..3).filter_map(|i| Some((i, leases[i].held(now)?))).collect();
        if held.len() > 1 {
            return Err(format!("two holders at {now:?}: {held:?}"));
        }
        if let Some((i, held)) = held.first() {
            match last {
                Some((j, fence)) if j != *i && fence >= held.fence => {
                    return Err(format!("fencing number {fence} after {}", held.fence));
                }
                Some((j, _)) if j != *i => changes += 1,
                _ => {}
            }
            last = Some((*i, held.fence));
        }
    }
    Ok(changes)
}

/// Lets a process act, with time passing between a write and its answer.
fn step(
    lease: &mut Lease,
    object: &mut Object,
    rng: &mut Pcg64Mcg,
    broken: Broken,
    now: &mut Millis,
) {
    let mut effect = lease.tick(*now);
    if effect == Some(LeaseEffect::Read) {
        effect = match rng.random_range(0..10) {
            0 => None,
            _ => lease.on_read(object.value.clone(), *now),
        };
    }
    let Some(effect) = effect else { return };
    let answer = object.answer(rng, effect, broken);
    *now = *now + Millis(rng.random_range(1..2_000));
    lease.on_write(answer, *now);
}

#[test]
fn can_have_one_holder_at_most() {
    let changes: u32 = (0..RUNS).map(|seed| contend(seed, Broken::Nothing).unwrap()).sum();
    println!("{RUNS} runs, {changes} changes of the holder");
    assert!(changes > 100);
}

#[rstest]
#[case(Broken::WriteUnconditional)]
#[case(Broken::TermNotWaited)]
fn errors_when_a_mechanism_is_taken_out(#[case] broken: Broken) {
    let found = (0..RUNS).find_map(|seed| contend(seed, broken).err());
    println!("{broken:?}: {}", found.unwrap());
}

/// The lease is had at 1,000 and lapses at 16,000; an order takes 4,000 at most.
#[rstest]
#[case::at_once(1_000, false, false, false)]
#[case::settled(5_000, false, false, true)]
#[case::settled_and_destructive(5_000, false, true, true)]
#[case::in_time(12_000, false, true, true)]
#[case::too_late_to_take_away(12_001, false, true, false)]
#[case::late_but_harmless(15_999, false, false, true)]
#[case::lapsed(16_000, false, false, false)]
#[case::checked_at_once(1_000, true, false, true)]
#[case::checked_and_destructive_at_once(1_000, true, true, false)]
#[case::checked_in_time(12_000, true, true, true)]
#[case::checked_and_lapsed(16_000, true, false, false)]
fn can_order_only_while_no_other_holder_can(
    #[case] at: u64,
    #[case] checks_fence: bool,
    #[case] destructive: bool,
    #[case] allowed: bool,
) {
    let mut lease = Lease::new(LeaseConfig::default(), "p0");
    assert_eq!(lease.tick(Millis(1_000)), Some(LeaseEffect::Read));
    let effect = lease.on_read(None, Millis(1_000));
    assert!(matches!(effect, Some(LeaseEffect::Write(_, 0))));
    lease.on_write(WriteResult::Written(7), Millis(1_000));
    let fence = lease.may_order(Millis(at), checks_fence, destructive);
    assert_eq!(fence, allowed.then_some(7));
}

#[test]
fn can_give_a_lease_up_at_a_planned_stop() {
    let mut lease = Lease::new(LeaseConfig::default(), "p0");
    lease.on_read(None, Millis(0));
    lease.on_write(WriteResult::Written(7), Millis(0));
    let effect = lease.release(Millis(1));
    assert_eq!(effect, Some(LeaseEffect::Write(LeaseRecord::default(), 7)));
    let mut next = Lease::new(LeaseConfig::default(), "p1");
    let effect = next.on_read(Some((8, LeaseRecord::default())), Millis(0));
    assert!(matches!(effect, Some(LeaseEffect::Write(_, 8))));
}
