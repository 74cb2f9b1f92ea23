//! The lowest tier that a pool admits, as shown to operators.

use decision::Millis;
use decision::load::{Arrival, Effect, EndpointInfo, EndpointState, Scheduler, SchedulerConfig};
use std::collections::{BTreeMap, BTreeSet};

const MODEL: &str = "campo-8b";

fn arrival(request: u64, tier: u8) -> Arrival {
    Arrival {
        request,
        tier,
        serves: String::from(MODEL),
        repeatable: true,
        first_token: Millis(500),
        finish: Millis(20_000),
        ..Arrival::default()
    }
}

#[test]
fn lowest_admitted_tier_follows_recent_refusals() {
    let mut scheduler =
        Scheduler::new(SchedulerConfig { check_invariants: true, ..SchedulerConfig::default() });
    let info = EndpointInfo {
        name: String::from("engine-1"),
        serves: BTreeSet::from([MODEL.to_string()]),
        slots: 1,
        ..EndpointInfo::default()
    };
    scheduler.set_endpoint(info, EndpointState::Live, Millis(0));
    let tiers = |tier| BTreeMap::from([(MODEL.to_string(), tier)]);
    assert_eq!(scheduler.admitted_tiers(Millis(0)), tiers(4));
    scheduler.arrive(arrival(1, 1), Millis(0));
    let refused = (2..50)
        .flat_map(|request| scheduler.arrive(arrival(request, 4), Millis(request)))
        .filter(|effect| matches!(effect, Effect::Refuse { .. }))
        .count();
    assert!(refused > 0);
    assert_eq!(scheduler.admitted_tiers(Millis(50)), tiers(3));
    assert_eq!(scheduler.admitted_tiers(Millis(10_000)), tiers(4));
}
