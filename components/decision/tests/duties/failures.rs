//! What happens when something fails: one test for each row of the design's table.

use crate::simulation::{Fault, LEASE, World};
use decision::duties::{LeaseChange, LossReason};
use rstest::rstest;

const DAEMONS: usize = 3;
/// The longest time from the last renewal of a holder to the first call of its successor: one and a
/// half leases without a change, half a lease between reads, the random delay, one lease after the
/// claim, and a second for calls to the store.
const TAKEOVER_TIME: u64 = LEASE * 3 / 2 + LEASE / 2 + LEASE / 6 + LEASE + 1_000;

/// A world with a holder, which has renewed its lease for some time.
fn world_with_holder(seed: u64) -> (World, usize) {
    let mut world = World::new(DAEMONS, seed);
    let first = world.run_until(2 * LEASE, |world| world.holder().is_some());
    assert!(first.is_some(), "a new deployment has a holder soon: {:?}", world.changes);
    world.run(10_000);
    let holder = world.holder().unwrap();
    (world, holder)
}

fn others_act(world: &World, holder: usize) -> bool {
    world.holder().is_some_and(|number| number != holder)
}

#[rstest]
fn killed_holder_is_replaced(#[values(1, 2, 3)] seed: u64) {
    let (mut world, holder) = world_with_holder(seed);
    world.fail(Fault::Kill(holder, 60_000));
    let time = world.run_until(TAKEOVER_TIME, |world| world.holder().is_some());
    assert!(time.is_some_and(|time| time >= LEASE * 2), "{time:?}");
    world.check_calls().unwrap();
}

/// The process of the holder starts again before the lease has expired, under the same name.
#[rstest]
fn restarted_holder_does_not_continue_with_its_former_token(#[values(1, 2, 3)] seed: u64) {
    let (mut world, holder) = world_with_holder(seed);
    let token = world.token(holder);
    world.fail(Fault::Kill(holder, 200));
    world.run(200);
    assert_eq!(world.holder(), None);
    assert!(world.run_until(TAKEOVER_TIME, |world| world.holder().is_some()).is_some());
    assert!(world.token(world.holder().unwrap()) > token);
}

#[rstest]
fn frozen_holder_does_not_act_when_it_resumes(#[values(1, 2, 3)] seed: u64) {
    let (mut world, holder) = world_with_holder(seed);
    world.fail(Fault::Freeze(holder, 15_000));
    assert!(world.run_until(TAKEOVER_TIME, |world| others_act(world, holder)).is_some());
    world.run(20_000);
    assert!(others_act(&world, holder), "the successor remains the holder: {:?}", world.changes);
    world.check_calls().unwrap();
}

/// A freeze that ends before anyone else claims the duties.
#[rstest]
fn holder_that_was_frozen_for_a_lease_gets_a_new_token(#[values(1, 2, 3)] seed: u64) {
    let (mut world, holder) = world_with_holder(seed);
    let token = world.token(holder);
    world.fail(Fault::Freeze(holder, LEASE + 100));
    world.run(LEASE + 100);
    assert_eq!(world.token(holder), None);
    assert!(world.run_until(TAKEOVER_TIME, |world| world.holder().is_some()).is_some());
    assert!(world.token(world.holder().unwrap()) > token);
    world.check_calls().unwrap();
}

#[rstest]
fn holder_without_the_store_stops_and_is_replaced(#[values(1, 2, 3)] seed: u64) {
    let (mut world, holder) = world_with_holder(seed);
    world.fail(Fault::CutFromStore(holder, 60_000));
    world.run(LEASE);
    assert_eq!(world.token(holder), None);
    assert!(world.run_until(TAKEOVER_TIME, |world| others_act(world, holder)).is_some());
    world.check_calls().unwrap();
}

#[rstest]
fn nobody_acts_while_the_store_is_down(#[values(1, 2, 3)] seed: u64) {
    let (mut world, holder) = world_with_holder(seed);
    world.fail(Fault::StoreDown(30_000));
    world.run(LEASE);
    let calls = world.calls.len();
    world.run(30_000 - LEASE);
    assert_eq!(world.calls.len(), calls);
    let expired = |(_, number, change): &(u64, usize, LeaseChange)| {
        let is_expired = matches!(change, LeaseChange::Lost { reason: LossReason::Expired, .. });
        *number == holder && is_expired
    };
    assert!(world.changes.iter().any(expired), "{:?}", world.changes);
    // The former holder finds its own claim, so that nobody waits for it.
    let time = world.run_until(TAKEOVER_TIME, |world| world.holder().is_some());
    assert!(time.is_some_and(|time| time <= LEASE * 2 + 1_000), "{time:?}");
    world.check_calls().unwrap();
}

/// Guards against a pause of calls whenever the store fails for a moment.
#[rstest]
fn holder_continues_after_a_short_outage_of_the_store(#[values(1, 2, 3)] seed: u64) {
    let (mut world, holder) = world_with_holder(seed);
    let token = world.token(holder);
    world.fail(Fault::StoreDown(LEASE / 3));
    world.run(LEASE);
    assert_eq!(world.token(holder), token);
}

/// The copy names a former holder, which still runs, or the same holder, or nobody.
#[rstest]
fn tokens_increase_when_the_store_comes_back_as_an_older_copy(
    #[values(1, 2, 3)] seed: u64,
    #[values(500, 12_000, 45_000)] age: u64,
) {
    let (mut world, first) = world_with_holder(seed);
    world.fail(Fault::Freeze(first, 12_000));
    world.run(20_000);
    let second = world.holder().unwrap();
    assert_ne!(second, first);
    world.fail(Fault::OlderCopy(age));
    assert!(world.run_until(TAKEOVER_TIME * 2, |world| world.holder().is_some()).is_some());
    world.run(20_000);
    assert!(world.holder().is_some());
    world.check_calls().unwrap();
}

/// The former holder in the older copy has learnt nothing of its successor, which is cut off from the
/// store and may act until its lease expires.
#[rstest]
fn former_holder_in_an_older_copy_waits_for_the_lease_of_its_successor(
    #[values(1, 2, 3, 4, 5, 6)] seed: u64,
) {
    let (mut world, first) = world_with_holder(seed);
    world.fail(Fault::CutFromStore(first, 12_000));
    world.fail(Fault::CutFromPeers(first, 60_000));
    world.run(11_900);
    let second = world.holder().unwrap();
    world.fail(Fault::CutFromStore(second, 30_000));
    world.fail(Fault::OlderCopy(11_000));
    world.run(30_000);
    world.check_calls().unwrap();
}

#[rstest]
fn holder_reads_back_what_a_lost_response_left(#[values(1, 2, 3)] seed: u64) {
    let (mut world, holder) = world_with_holder(seed);
    let token = world.token(holder);
    world.fail(Fault::LostResponses(LEASE / 3));
    world.run(LEASE * 2);
    assert_eq!(world.token(holder), token, "{:?}", world.changes);
}

/// All responses are lost for the time of several claims, or writes are carried out seconds later.
#[rstest]
#[case::lost(Fault::LostResponses(20_000))]
#[case::late(Fault::LateWrites(20_000))]
fn claims_without_a_response_lead_to_one_holder(
    #[case] fault: Fault,
    #[values(1, 2, 3)] seed: u64,
) {
    let (mut world, holder) = world_with_holder(seed);
    world.fail(Fault::Kill(holder, 10_000));
    world.fail(fault);
    world.run(25_000);
    assert!(world.run_until(TAKEOVER_TIME, |world| world.holder().is_some()).is_some());
    world.run(10_000);
    world.check_calls().unwrap();
}

#[rstest]
fn released_duties_are_claimed_at_once(#[values(1, 2, 3)] seed: u64) {
    let (mut world, holder) = world_with_holder(seed);
    world.fail(Fault::Stop(holder, 1_000));
    assert_eq!(world.token(holder), None);
    let time = world.run_until(TAKEOVER_TIME, |world| others_act(world, holder));
    let longest = LEASE / 2 + LEASE / 6 + LEASE + 500;
    assert!(time.is_some_and(|time| time >= LEASE && time <= longest), "{time:?}");
    let released = |(_, number, change): &(u64, usize, LeaseChange)| {
        *number == holder && matches!(change, LeaseChange::Released { .. })
    };
    assert!(world.changes.iter().any(released));
    world.check_calls().unwrap();
}
