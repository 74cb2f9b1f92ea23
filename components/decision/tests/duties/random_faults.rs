use crate::simulation::{Fault, LEASE, World};
use proptest::prelude::*;

const DAEMONS: usize = 5;
/// The time in which faults begin.
const FAULT_TIME: u64 = 60_000;
/// The time after the last fault within which there is a holder again: a write that was late restarts
/// the wait of the candidates, then one claims and waits.
const RECOVERY_TIME: u64 = 5 * LEASE;

fn fault() -> impl Strategy<Value = Fault> {
    let daemon = 0..DAEMONS;
    let time = prop_oneof![100_u64..1_500, 1_500_u64..10_000];
    prop_oneof![
        3 => (daemon.clone(), time.clone()).prop_map(|(d, t)| Fault::Freeze(d, t)),
        3 => (daemon.clone(), time.clone()).prop_map(|(d, t)| Fault::CutFromStore(d, t)),
        2 => (daemon.clone(), time.clone()).prop_map(|(d, t)| Fault::CutFromPeers(d, t)),
        2 => (daemon.clone(), time.clone()).prop_map(|(d, t)| Fault::Kill(d, t)),
        2 => daemon.prop_map(|d| Fault::Stop(d, 1_000)),
        1 => time.clone().prop_map(Fault::StoreDown),
        1 => time.clone().prop_map(Fault::LostResponses),
        1 => time.clone().prop_map(Fault::LateWrites),
        2 => (0_u64..30_000).prop_map(Fault::OlderCopy),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(400))]

    /// Guards against two holders that act at the same time or with the same token, and against
    /// daemons that wait for each other for ever.
    #[test]
    fn calls_of_holders_keep_their_order_whatever_fails(
        seed in any::<u64>(),
        mut faults in prop::collection::vec((0..FAULT_TIME, fault()), 0..25),
    ) {
        faults.sort_by_key(|(at, _)| *at);
        let mut world = World::new(DAEMONS, seed);
        for (at, fault) in faults {
            let at = at / 10 * 10;
            world.run(at.saturating_sub(world.now));
            world.fail(fault);
        }
        // All faults have ended after the longest of them.
        world.run(15_000);
        let recovery = world.run_until(RECOVERY_TIME, |world| world.holder().is_some());
        prop_assert!(recovery.is_some(), "no holder: {:?}", world.changes);
        world.run(LEASE);
        let checked = world.check_calls();
        prop_assert!(checked.is_ok(), "{checked:?} {:?}", world.changes);
    }
}
