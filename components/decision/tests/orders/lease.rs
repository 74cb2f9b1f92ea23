use decision::Millis;
use decision::execution::WriteResult;
use decision::orders::{HeldLease, Lease, LeaseConfig, LeaseEffect, LeaseRecord};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use rstest::rstest;

const RUNS: u64 = 300;
const STEPS: u32 = 400;

/// A defect put into the simulation, to show that the checks detect it.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Defect {
    None,
    WriteUnconditional,
    TermNotWaited,
}

/// The lease's object in the store, with a delayed write that may still be applied.
#[derive(Default)]
struct Object {
    value: Option<(u64, LeaseRecord)>,
    version: u64,
    delayed: Option<(LeaseRecord, u64)>,
}

impl Object {
    fn write(&mut self, record: LeaseRecord, expected: u64, defect: Defect) -> WriteResult {
        let current = self.value.as_ref().map_or(0, |(version, _)| *version);
        if current != expected && defect != Defect::WriteUnconditional {
            return WriteResult::Conflict;
        }
        self.version += 1;
        self.value = Some((self.version, record));
        WriteResult::Written(self.version)
    }

    fn execute(&mut self, rng: &mut Pcg64Mcg, effect: LeaseEffect, defect: Defect) -> WriteResult {
        let LeaseEffect::Write(record, expected) = effect else { return WriteResult::Unsent };
        match rng.random_range(0..10) {
            0 => WriteResult::Unsent,
            1 => {
                self.write(record, expected, defect);
                WriteResult::Lost
            }
            2 => {
                self.delayed = Some((record, expected));
                WriteResult::Lost
            }
            _ => self.write(record, expected, defect),
        }
    }
}

/// Simulates three processes that contend for the lease; returns how often the holder changed.
fn contend(seed: u64, defect: Defect) -> Result<u32, String> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let cfg = LeaseConfig::default();
    let short_term = LeaseConfig { term: Millis(1_000), ..cfg };
    let config = |i| if defect == Defect::TermNotWaited && i > 0 { short_term } else { cfg };
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
        if let (0, Some((record, expected))) = (rng.random_range(0..5), object.delayed.clone()) {
            object.delayed = None;
            object.write(record, expected, defect);
        }
        if paused[i] <= now {
            step(&mut leases[i], &mut object, &mut rng, defect, &mut now);
        }
        let held: Vec<(usize, HeldLease)> =
            (0..3).filter_map(|i| Some((i, leases[i].held(now)?))).collect();
        if held.len() > 1 {
            return Err(format!("two holders at {now:?}: {held:?}"));
        }
        if let Some((i, held)) = held.first() {
            match last {
                Some((j, fence)) if j != *i && fence >= held.fence => {
                    return Err(format!(
                        "fencing number {} of a new holder is not above {fence}",
                        held.fence
                    ));
                }
                Some((j, _)) if j != *i => changes += 1,
                _ => {}
            }
            last = Some((*i, held.fence));
        }
    }
    Ok(changes)
}

/// Advances one process; time passes between a write and its result.
fn step(
    lease: &mut Lease,
    object: &mut Object,
    rng: &mut Pcg64Mcg,
    defect: Defect,
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
    let result = object.execute(rng, effect, defect);
    *now = *now + Millis(rng.random_range(1..2_000));
    lease.on_write(result, *now);
}

#[test]
fn lease_has_at_most_one_holder() {
    let changes: u32 = (0..RUNS).map(|seed| contend(seed, Defect::None).unwrap()).sum();
    println!("{RUNS} runs, {changes} changes of the holder");
    assert!(changes > 100);
}

#[rstest]
#[case(Defect::WriteUnconditional)]
#[case(Defect::TermNotWaited)]
fn simulation_finds_a_violation_for_each_defect(#[case] defect: Defect) {
    let found = (0..RUNS).find_map(|seed| contend(seed, defect).err());
    println!("{defect:?}: {}", found.unwrap());
}

/// The lease is acquired at 1,000 ms and expires at 16,000 ms; an order takes at most 4,000 ms.
#[rstest]
#[case::at_once(1_000, false, false, false)]
#[case::earlier_orders_done(5_000, false, false, true)]
#[case::earlier_orders_done_and_destructive(5_000, false, true, true)]
#[case::in_time(12_000, false, true, true)]
#[case::too_late_for_destructive(12_001, false, true, false)]
#[case::late_but_not_destructive(15_999, false, false, true)]
#[case::expired(16_000, false, false, false)]
#[case::checked_at_once(1_000, true, false, true)]
#[case::checked_and_destructive_at_once(1_000, true, true, false)]
#[case::checked_in_time(12_000, true, true, true)]
#[case::checked_and_expired(16_000, true, false, false)]
fn holder_may_order_only_while_no_other_holder_may(
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
fn released_lease_is_acquired_without_waiting_for_its_expiry() {
    let mut lease = Lease::new(LeaseConfig::default(), "p0");
    lease.on_read(None, Millis(0));
    lease.on_write(WriteResult::Written(7), Millis(0));
    let effect = lease.release(Millis(1));
    assert_eq!(effect, Some(LeaseEffect::Write(LeaseRecord::default(), 7)));
    let mut next = Lease::new(LeaseConfig::default(), "p1");
    let effect = next.on_read(Some((8, LeaseRecord::default())), Millis(0));
    assert!(matches!(effect, Some(LeaseEffect::Write(_, 8))));
}
