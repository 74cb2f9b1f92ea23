//! How many endpoints are ordered when the load, the prices and the platform change.

use crate::simulated_service::{DATA_CENTRES, SERVICE, Simulation, usual_scaling};
use decision::Millis;
use decision::duties::EndpointKind::{Ordinary, Spot};
use decision::duties::{
    CapacityPlanner, DemandCounts, DemandReports, OrderOutcome, ServiceCounts, ServiceScaling,
};
use decision::routing::Scaling;
use messages::duties::{DataCentreUse, DutyReport, ServiceReport};
use proptest::prelude::*;
use rstest::rstest;
use std::collections::BTreeSet;

/// What the endpoints cost before any order: 15 ordinary ones in each of six data centres.
const INITIAL_PRICE: f64 = 90.0;
const FIRST: &str = DATA_CENTRES[0];

/// A simulation after the first exchange of ordinary for spot endpoints.
fn settled() -> Simulation {
    let mut simulation = Simulation::new(usual_scaling());
    simulation.run(40);
    simulation.reset_waits();
    simulation
}

fn without_spot() -> ServiceScaling {
    let usual = usual_scaling();
    ServiceScaling { scaling: Scaling { spot_price: None, ..usual.scaling.clone() }, ..usual }
}

/// Endpoints are paid for that nobody needs, or are taken away from callers that need them.
#[test]
fn steady_load_settles_at_fewer_and_cheaper_endpoints_within_20_s() {
    let mut unplanned = Simulation::new(usual_scaling());
    unplanned.is_planned = false;
    unplanned.run(60);
    let mut simulation = Simulation::new(usual_scaling());
    simulation.run(20);
    let serving = simulation.serving(Ordinary) + simulation.serving(Spot);
    assert!(serving < 90, "{serving} endpoints serve");
    assert!(simulation.price() < INITIAL_PRICE / 3.0, "{}", simulation.price());
    simulation.run(40);
    assert!(simulation.longest_queue_ms <= unplanned.longest_queue_ms);
    assert_eq!(simulation.late_ms, 0);
}

/// The ordinary endpoints are gone before those that replace them serve.
#[test]
fn ordinary_endpoints_are_not_given_back_before_spot_endpoints_serve() {
    let mut simulation = Simulation::new(usual_scaling());
    for _ in 0..30 {
        simulation.run(1);
        let serving = f64::from(simulation.serving(Ordinary) + simulation.serving(Spot));
        let steady = DATA_CENTRES.map(|name| simulation.planner.need(SERVICE, name).unwrap()[0]);
        assert!(serving >= steady.iter().sum::<f64>(), "at {}", simulation.now);
    }
}

/// Each call costs money, and counts of single seconds vary.
#[test]
fn steady_load_takes_few_orders() {
    let mut simulation = settled();
    let since = simulation.now;
    simulation.run(120);
    let orders = simulation.orders_since(since).count();
    assert!(orders <= 12, "{orders} orders in 120 s");
}

/// Callers wait until ordered endpoints serve.
#[test]
fn jump_of_the_load_is_followed_without_waits() {
    let mut simulation = settled();
    let before = simulation.serving(Ordinary) + simulation.serving(Spot);
    simulation.load = 2.3;
    simulation.run(7);
    let after = simulation.serving(Ordinary) + simulation.serving(Spot);
    assert!(after > before, "{before} endpoints, then {after}");
    simulation.run(60);
    assert_eq!(simulation.late_ms, 0);
    assert!(simulation.longest_queue_ms < 100.0, "{}", simulation.longest_queue_ms);
}

/// Endpoints for a past load are paid for.
#[test]
fn falling_load_is_followed() {
    let mut simulation = settled();
    simulation.run(20);
    let usual = simulation.price();
    simulation.load = 2.3;
    simulation.run(60);
    let high = simulation.price();
    simulation.load = 1.0;
    simulation.run(60);
    assert!(high > usual * 1.2, "{usual}, then {high}");
    let low = simulation.price();
    assert!(low < usual * 1.4, "{usual}, {high}, then {low}");
    simulation.load = 0.1;
    simulation.run(120);
    assert!(simulation.price() < usual / 2.0, "{}", simulation.price());
    assert_eq!(simulation.late_ms, 0);
}

/// The callers of a data centre have too little until the platform has spot endpoints again.
#[rstest]
#[case::order_ends(false, true)]
#[case::order_is_kept(true, true)]
#[case::without_notice(false, false)]
fn reclaimed_spot_endpoints_are_replaced_by_ordinary_ones_at_once(
    #[case] is_order_kept: bool,
    #[case] is_announced: bool,
) {
    let mut simulation = settled();
    let before = simulation.data_centre(FIRST).spot.serving(40_000);
    assert!(before > 0);
    let since = simulation.now;
    simulation.reclaim(FIRST, is_order_kept);
    if !is_announced {
        simulation.data_centre(FIRST).reclaimed = 0;
    }
    simulation.run(1);
    let ordinary = simulation.data_centre(FIRST).ordinary.desired;
    let steady = simulation.planner.need(SERVICE, FIRST).unwrap()[0];
    assert!(f64::from(ordinary) >= steady, "{ordinary} for {steady}");
    simulation.run(60);
    assert_eq!(simulation.late_ms, 0);
    let refused = simulation
        .orders
        .iter()
        .filter(|(at, _, outcome)| *at >= since && *outcome == OrderOutcome::Unavailable);
    assert!(refused.count() <= 5, "spot endpoints are ordered every 15 s");
    simulation.restore_spot(FIRST);
    simulation.run(60);
    let now = simulation.now;
    assert!(simulation.data_centre(FIRST).spot.serving(now) > 0);
    let left = simulation.data_centre(FIRST).ordinary.desired;
    assert!(left < ordinary / 2, "{ordinary} ordinary endpoints, then {left}");
}

/// With the spot endpoints of a data centre, all callers of the service lose their capacity.
#[test]
fn others_bear_the_loss_of_the_data_centre_with_the_most_spot_endpoints() {
    let mut simulation = Simulation::new(usual_scaling());
    for (name, data_centre) in &mut simulation.data_centres {
        data_centre.callers = if *name == FIRST { 0.9 } else { 0.02 };
    }
    simulation.load = 0.4;
    simulation.run(40);
    let now = simulation.now;
    let serving = simulation.serving(Ordinary) + simulation.serving(Spot);
    let lost = simulation.data_centre(FIRST).spot.serving(now);
    let steady = DATA_CENTRES.map(|name| simulation.planner.need(SERVICE, name).unwrap()[1]);
    let left = f64::from(serving - lost);
    assert!(left >= steady.iter().sum::<f64>(), "{left} of {serving} for {steady:?}");
}

/// The callers of a data centre need more endpoints than it may have.
#[test]
fn others_serve_what_exceeds_the_maximum_of_a_data_centre() {
    let mut simulation = Simulation::new(usual_scaling());
    for (name, data_centre) in &mut simulation.data_centres {
        data_centre.callers = if *name == FIRST { 0.95 } else { 0.01 };
    }
    simulation.run(60);
    let serving = simulation.serving(Ordinary) + simulation.serving(Spot);
    assert!(serving >= 60, "{serving} endpoints serve");
    assert_eq!(simulation.late_ms, 0);
}

/// Endpoints are given back for others that never come.
#[test]
fn ordinary_endpoints_are_kept_while_no_spot_endpoints_are_available() {
    let mut simulation = Simulation::new(usual_scaling());
    simulation.data_centres.values_mut().for_each(|data_centre| data_centre.has_spot = false);
    simulation.run(60);
    assert_eq!(simulation.late_ms, 0);
    let refused =
        simulation.orders.iter().filter(|(.., outcome)| *outcome == OrderOutcome::Unavailable);
    assert!(refused.count() <= 6 * 5, "spot endpoints are ordered every 15 s");
    let needs = DATA_CENTRES.map(|name| simulation.planner.need(SERVICE, name).unwrap()[0]);
    assert!(f64::from(simulation.serving(Ordinary)) >= needs.iter().sum::<f64>());
}

/// The platform gets orders of a kind that it does not have.
#[test]
fn only_ordinary_endpoints_are_ordered_without_a_spot_price() {
    let mut simulation = Simulation::new(without_spot());
    simulation.run(60);
    simulation.load = 2.0;
    simulation.run(60);
    assert!(simulation.orders.iter().all(|(_, order, _)| order.kind == Ordinary));
    assert_eq!(simulation.late_ms, 0);
    assert!(!simulation.orders.is_empty());
}

/// A data centre that is cut off has callers that only its own endpoints serve.
#[test]
fn silent_data_centre_keeps_its_order() {
    let mut simulation = settled();
    let since = simulation.now;
    simulation.data_centre(FIRST).is_silent = true;
    simulation.load = 0.1;
    simulation.run(200);
    let orders: Vec<_> = simulation.orders_since(since).collect();
    assert!(!orders.is_empty());
    assert!(orders.iter().all(|order| order.data_centre != FIRST));
}

/// Most callers seem to have left when their daemons cannot reach the holder.
#[test]
fn nothing_is_ordered_on_counts_of_fewer_than_half_of_the_daemons() {
    let mut simulation = settled();
    let since = simulation.now;
    for name in &DATA_CENTRES[..4] {
        simulation.data_centre(name).is_silent = true;
    }
    simulation.load = 2.3;
    simulation.run(20);
    assert_eq!(simulation.orders_since(since).count(), 0);
}

/// Endpoints that left long ago count as capacity.
#[test]
fn nothing_is_ordered_on_a_list_of_endpoints_older_than_3_s() {
    let mut simulation = Simulation::new(usual_scaling());
    let scaling = usual_scaling();
    let mut planner = CapacityPlanner::new(Millis(0));
    assert!(planner.plan(&simulation.demand(), &scaling, 9, Millis(0)).is_empty());
    simulation.now = 5_000;
    let demand = simulation.demand();
    assert!(planner.plan(&demand, &scaling, 9, Millis(8_001)).is_empty());
    assert!(!planner.plan(&demand, &scaling, 9, Millis(8_000)).is_empty());
}

/// A new holder does not know the needs of the last seconds.
#[test]
fn new_holder_does_not_lower_orders_for_10_s() {
    let mut simulation = settled();
    simulation.run(1);
    let since = simulation.now;
    simulation.planner = CapacityPlanner::new(Millis(since));
    simulation.load = 0.1;
    simulation.run(9);
    assert_eq!(simulation.orders_since(since).count(), 0);
    simulation.run(30);
    assert!(simulation.orders_since(since).count() > 0);
}

/// The platform accepts few calls, and those for endpoints that callers wait for come last.
#[test]
fn orders_for_more_endpoints_come_first() {
    let mut simulation = settled();
    simulation.load = 0.1;
    simulation.run(12);
    for (name, data_centre) in &mut simulation.data_centres {
        data_centre.callers = if *name == "ridge" { 0.9 } else { 0.02 };
    }
    simulation.load = 1.0;
    let demand = simulation.demand();
    let now = Millis(simulation.now);
    let orders = simulation.planner.plan(&demand, &simulation.scaling, 1, now);
    let first: Vec<_> = orders.iter().map(|order| order.data_centre.as_str()).collect();
    assert_eq!(first, ["ridge"]);
}

/// Engines read at rates that no configuration states.
#[test]
fn slow_engines_get_more_endpoints_than_estimated() {
    let mut simulation = Simulation::new(usual_scaling());
    simulation.read_rate = 16.0;
    simulation.run(120);
    simulation.reset_waits();
    simulation.run(60);
    assert_eq!(simulation.late_ms, 0);
}

fn report(name: &str, sequence: u64, placed: u64) -> DutyReport {
    let in_flight = DataCentreUse { data_centre: FIRST.to_owned(), requests: 4, tokens: 400 };
    DutyReport {
        name: name.to_owned(),
        data_centre: FIRST.to_owned(),
        incarnation: 1,
        sequence,
        current_window: 1,
        is_last: false,
        last_window: None,
        windows: Vec::new(),
        covered_ms: 2_000,
        services: vec![ServiceReport {
            service: SERVICE.to_owned(),
            placed,
            prompt_tokens: placed * 100,
            response_tokens: 0,
            refused: 0,
            queued: 0,
            unread_tokens: 0,
            begun: placed,
            begun_late: 0,
            in_flight: vec![in_flight],
        }],
    }
}

/// A lost response makes a daemon send its report again.
#[test]
fn repeated_report_does_not_count_twice() {
    let mut reports = DemandReports::default();
    reports.record(&report("a", 1, 10), Millis(0));
    reports.record(&report("a", 1, 90), Millis(100));
    let demand = &reports.demand(SERVICE, Millis(200))[FIRST];
    assert_eq!((demand.work.placed, demand.work.in_flight), (5.0, 4.0));
    reports.record(&report("a", 2, 20), Millis(1_100));
    assert_eq!(reports.demand(SERVICE, Millis(1_200))[FIRST].work.placed, 10.0);
}

/// The work of a daemon whose report is late seems to have ended.
#[test]
fn daemons_with_an_old_report_are_assumed_to_have_the_work_of_others() {
    let mut reports = DemandReports::default();
    reports.record(&report("a", 1, 10), Millis(0));
    reports.record(&report("b", 1, 30), Millis(3_000));
    let demand = &reports.demand(SERVICE, Millis(3_500))[FIRST];
    assert_eq!((demand.daemons, demand.reporting, demand.work.placed), (2, 1, 30.0));
    reports.expire(Millis(10_000));
    let demand = &reports.demand(SERVICE, Millis(5_000))[FIRST];
    assert_eq!((demand.daemons, demand.reporting, demand.work.placed), (1, 1, 15.0));
}

/// The work of other services, or that of the time before the first report, seems to be that of the
/// service within a second.
#[test]
fn counts_cover_the_requests_of_a_service_since_the_previous_report() {
    let mut counts = DemandCounts::default();
    counts.set_services(&BTreeSet::from([SERVICE]));
    counts.record_send(SERVICE, 100);
    assert_eq!(counts.take(Millis(5_000)).0, Millis(0));
    counts.record_send(SERVICE, 40);
    counts.record_send("other", 70);
    counts.record_first_byte(SERVICE, Millis(5_000), Millis(6_000), Millis(5_500));
    counts.record_first_byte(SERVICE, Millis(5_000), Millis(6_000), Millis(5_501));
    counts.record_refusal(SERVICE);
    let (covered, taken) = counts.take(Millis(6_000));
    let expected =
        ServiceCounts { placed: 1, prompt_tokens: 40, refused: 1, begun: 2, begun_late: 1 };
    assert_eq!((covered, &taken[SERVICE], taken.len()), (Millis(1_000), &expected, 1));
    assert_eq!(counts.take(Millis(7_000)).1[SERVICE], ServiceCounts::default());
}

/// What happens in a second of a random simulation.
#[derive(Clone, Debug)]
enum Event {
    Load(f64),
    Reclaim(usize, bool),
    RestoreSpot(usize),
    Silence(usize, bool),
    NewHolder,
    Nothing,
}

fn event() -> impl Strategy<Value = Event> {
    let data_centre = 0..DATA_CENTRES.len();
    prop_oneof![
        (0.0..4.0).prop_map(Event::Load),
        (data_centre.clone(), any::<bool>()).prop_map(|(index, kept)| Event::Reclaim(index, kept)),
        data_centre.clone().prop_map(Event::RestoreSpot),
        (data_centre, any::<bool>()).prop_map(|(index, silent)| Event::Silence(index, silent)),
        Just(Event::NewHolder),
        Just(Event::Nothing),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(200) })]

    /// An order leaves a data centre with fewer or more endpoints than allowed. The simulation checks
    /// each order that the platform gets.
    #[test]
    fn minimum_and_maximum_always_hold(
        events in prop::collection::vec((event(), 1u64..12), 1..40),
        minimum in 0u32..20,
        extra in 0u32..30,
        lost_share in prop_oneof![Just(0.0), Just(0.2)],
    ) {
        let usual = usual_scaling();
        let limits = Scaling { minimum, maximum: minimum + extra, ..usual.scaling.clone() };
        let mut simulation = Simulation::new(ServiceScaling { scaling: limits, ..usual });
        simulation.lost_share = lost_share;
        for (event, seconds) in events {
            match event {
                Event::Load(load) => simulation.load = load,
                Event::Reclaim(index, kept) => simulation.reclaim(DATA_CENTRES[index], kept),
                Event::RestoreSpot(index) => simulation.restore_spot(DATA_CENTRES[index]),
                Event::Silence(index, is_silent) => {
                    simulation.data_centre(DATA_CENTRES[index]).is_silent = is_silent;
                }
                Event::NewHolder => simulation.planner = CapacityPlanner::new(Millis(simulation.now)),
                Event::Nothing => {}
            }
            simulation.run(seconds);
        }
    }
}
