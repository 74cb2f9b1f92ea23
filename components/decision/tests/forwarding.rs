//! Forwarding of requests that no local endpoint serves, and the silence limit of streams.

use decision::Millis;
use decision::load::{
    Arrival, DaemonLoad, Effect, EndpointInfo, EndpointState, PoolLoad, Scheduler, SchedulerConfig,
};
use errors::{Reason, Verdict};
use rstest::rstest;
use std::collections::{BTreeMap, BTreeSet};

const MODEL: &str = "campo-8b";

fn scheduler() -> Scheduler {
    Scheduler::new(SchedulerConfig {
        name: String::from("daemon-1"),
        data_centre: String::from("aburra-norte"),
        region: String::from("valle-aburra"),
        check_invariants: true,
        ..SchedulerConfig::default()
    })
}

fn arrival(forwarded: bool) -> Arrival {
    Arrival {
        request: 1,
        class: String::from("plan"),
        tier: 1,
        serves: String::from(MODEL),
        repeatable: true,
        first_token: Millis(580),
        finish: Millis(20_000),
        forwarded,
        ..Arrival::default()
    }
}

fn load_at_peer(region: &str, free_slots: u32) -> DaemonLoad {
    let pool = PoolLoad { free_slots, ..PoolLoad::default() };
    DaemonLoad {
        daemon: String::from("daemon-9"),
        data_centre: String::from("rionegro"),
        region: region.to_string(),
        pools: BTreeMap::from([(MODEL.to_string(), pool)]),
    }
}

#[rstest]
#[case::same_region("valle-aburra")]
#[case::other_region("oriente")]
fn scheduler_forwards_a_request_to_a_data_centre_that_serves_it(#[case] region: &str) {
    let mut scheduler = scheduler();
    scheduler.peer_load(&load_at_peer(region, 4), Millis(0));
    let effects = scheduler.arrive(arrival(false), Millis(10));
    let data_centre = String::from("rionegro");
    assert_eq!(effects, [Effect::Forward { request: 1, attempt: 1, data_centre }]);
}

#[rstest]
#[case::no_peer_serves_it(None, false)]
#[case::no_free_slots(Some(0), false)]
#[case::already_forwarded(Some(4), true)]
fn scheduler_refuses_a_request_without_any_endpoint(
    #[case] free_slots: Option<u32>,
    #[case] forwarded: bool,
) {
    let mut scheduler = scheduler();
    if let Some(free_slots) = free_slots {
        scheduler.peer_load(&load_at_peer("oriente", free_slots), Millis(0));
    }
    let effects = scheduler.arrive(arrival(forwarded), Millis(10));
    let [Effect::Refuse { request: 1, refusal }] = effects.as_slice() else {
        panic!("{effects:?}");
    };
    assert_eq!((refusal.reason, refusal.verdict), (Reason::NoEndpoint, Verdict::NotRun));
    assert!(refusal.retry_after_ms.is_some());
    assert_eq!(scheduler.tick(Millis(20)), []);
}

#[rstest]
#[case::caller_does_not_read(true, false)]
#[case::silent(false, true)]
fn silence_limit_spares_a_stream_whose_caller_does_not_read(
    #[case] held_back: bool,
    #[case] cancelled: bool,
) {
    let mut scheduler = scheduler();
    let info = EndpointInfo {
        name: String::from("engine-1"),
        serves: BTreeSet::from([MODEL.to_string()]),
        slots: 4,
        ..EndpointInfo::default()
    };
    scheduler.set_endpoint(info, EndpointState::Live, Millis(0));
    let started = scheduler.arrive(arrival(false), Millis(10));
    assert!(matches!(started.as_slice(), [Effect::Dispatch { .. }]), "{started:?}");
    scheduler.progress(1, 1, Millis(50));
    let mut effects = Vec::new();
    for at in (100..6_000).step_by(100) {
        if held_back {
            scheduler.progress(1, 0, Millis(at));
        }
        effects.append(&mut scheduler.tick(Millis(at)));
    }
    assert_eq!(effects.contains(&Effect::Cancel { request: 1 }), cancelled, "{effects:?}");
}
