use super::{CallOutcome, call};
use crate::adapter::Adapter;
use crate::clock::now;
use crate::gateway::Gateway;
use crate::metrics::{CapacityLabels, OrderLabels};
use decision::Millis;
use decision::duties::{
    CapacityPlanner, EndpointCounts, EndpointKind, Order, OrderOutcome, ServiceDemand,
    ServiceScaling,
};
use decision::routing::{PlacementConfig, Service};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::task::spawn_local;
use tokio::time::timeout;

/// Time between two decisions.
const PLAN_INTERVAL: Duration = Duration::from_secs(1);

/// Time for which orders may wait for the limit on the rate of calls: they are not to be based on
/// counts older than 3 s.
const MAX_DELAY_SECONDS: f64 = 1.5;

/// The planner of the term in which this daemon holds the duties.
#[derive(Debug)]
struct Term {
    token: u64,
    planner: CapacityPlanner,
}

/// The term, shared with the tasks that send its orders.
#[derive(Debug, Default)]
struct Terms {
    current: RefCell<Option<Term>>,
    /// The number of orders without a response.
    under_way: Cell<usize>,
    /// Notified when an order was refused, so that another kind is ordered at once.
    refused: Notify,
}

/// Orders endpoints while this daemon holds the duties. Never returns.
pub(super) async fn order_capacity<A: Adapter>(gateway: Rc<Gateway<A>>) {
    let terms = Rc::new(Terms::default());
    loop {
        // Decides again after the interval, or earlier if an order was refused.
        let _ = timeout(PLAN_INTERVAL, terms.refused.notified()).await;
        let Some(token) = gateway.duties.held_token(now()) else {
            if terms.current.take().is_some() {
                gateway.metrics.ordered_endpoints.clear();
            }
            continue;
        };
        if terms.current.borrow().as_ref().is_none_or(|term| term.token != token) {
            let planner = CapacityPlanner::new(now());
            terms.current.replace(Some(Term { token, planner }));
        }
        gateway.demand_reports.borrow_mut().expire(now());
        if gateway.duties.may_act(now()) != Some(token) {
            continue;
        }
        for order in plan(&gateway, &terms, now()) {
            terms.under_way.update(|count| count + 1);
            spawn_local(send(gateway.clone(), terms.clone(), token, order));
        }
        set_gauges(&gateway, &terms);
    }
}

fn plan<A: Adapter>(gateway: &Gateway<A>, terms: &Terms, now: Millis) -> Vec<Order> {
    let Some(catalog) = gateway.catalog() else { return Vec::new() };
    let mut current = terms.current.borrow_mut();
    let Some(term) = current.as_mut() else { return Vec::new() };
    let settings = gateway.settings();
    let Some(duties) = &settings.duties else { return Vec::new() };
    let limit = (duties.calls_per_second * MAX_DELAY_SECONDS).max(1.0) as usize;
    let mut limit = limit.saturating_sub(terms.under_way.get());
    let mut orders = Vec::new();
    for service in &catalog.configuration().services {
        let slots = slots(gateway, service);
        let Some(scaling) = ServiceScaling::new(service, slots, &PlacementConfig::default()) else {
            continue;
        };
        let Some(demand) = service_demand(gateway, &service.name, now) else { continue };
        let service_orders = term.planner.plan(&demand, &scaling, limit, now);
        limit -= service_orders.len();
        for order in &service_orders {
            log_order(&term.planner, order, &demand);
        }
        orders.extend(service_orders);
    }
    orders
}

/// The number of slots of an endpoint of a service.
fn slots<A: Adapter>(gateway: &Gateway<A>, service: &Service) -> u32 {
    let directory = gateway.directory();
    let endpoints = directory.of_service(&service.name);
    endpoints.map(|(_, registration)| registration.slots).min().unwrap_or(1)
}

/// What is known of a service; `None` if the registry has never been confirmed.
fn service_demand<A: Adapter>(
    gateway: &Gateway<A>,
    service: &str,
    now: Millis,
) -> Option<ServiceDemand> {
    let age = gateway.freshness.borrow().registry_age(now)?;
    let mut data_centres = gateway.demand_reports.borrow().demand(service, now);
    let directory = gateway.directory();
    for (_, registration) in directory.listed().filter(|(_, r)| r.service == service) {
        let demand = data_centres.entry(registration.data_centre.clone()).or_default();
        let EndpointCounts { ordinary, spot, reclaimed } = &mut demand.endpoints;
        match (registration.draining, registration.spot) {
            (false, false) => *ordinary += 1,
            (false, true) => *spot += 1,
            (true, true) if registration.leaves_ms.is_some() => *reclaimed += 1,
            (true, _) => {}
        }
    }
    let daemons = gateway.daemon_count(now).unwrap_or(0);
    Some(ServiceDemand {
        service: service.to_owned(),
        daemons: u32::try_from(daemons).unwrap_or(u32::MAX),
        confirmed_at: now - age,
        data_centres,
    })
}

fn log_order(planner: &CapacityPlanner, order: &Order, demand: &ServiceDemand) {
    let [need, steady_need] = planner.need(&order.service, &order.data_centre).unwrap_or_default();
    let known = demand.data_centres.get(&order.data_centre).cloned().unwrap_or_default();
    tracing::info!(
        event = "capacity_ordered",
        service = order.service,
        data_centre = order.data_centre,
        kind = order.kind.as_str(),
        count = order.count,
        need,
        steady_need,
        ordinary = known.endpoints.ordinary,
        spot = known.endpoints.spot,
        reclaimed = known.endpoints.reclaimed,
        daemons = known.daemons,
        reporting = known.reporting,
        placed_per_s = known.work.placed,
        prompt_tokens_per_s = known.work.prompt_tokens,
        in_flight = known.work.in_flight,
        queued = known.work.queued,
        held_tokens = known.work.held_tokens,
        unread_tokens = known.work.unread_tokens,
        refused_per_s = known.work.refused,
        begun_per_s = known.work.begun,
        begun_late_per_s = known.work.begun_late,
    );
}

async fn send<A: Adapter>(gateway: Rc<Gateway<A>>, terms: Rc<Terms>, token: u64, order: Order) {
    let call_outcome = call(&gateway, &order.call()).await;
    terms.under_way.update(|count| count.saturating_sub(1));
    let (outcome, name) = match call_outcome {
        CallOutcome::Accepted => (OrderOutcome::Accepted, "accepted"),
        CallOutcome::Unavailable => (OrderOutcome::Unavailable, "unavailable"),
        // The next decision orders again, from newer counts.
        CallOutcome::Failed => (OrderOutcome::Unknown, "failed"),
        CallOutcome::Unclear => (OrderOutcome::Unknown, "unclear"),
        CallOutcome::NotHolder => (OrderOutcome::Unknown, "not_holder"),
    };
    gateway.metrics.orders.get_or_create(&OrderLabels { outcome: name }).inc();
    if let Some(term) = terms.current.borrow_mut().as_mut().filter(|term| term.token == token) {
        term.planner.record(&order, outcome, now());
    }
    let is_spot = order.kind == EndpointKind::Spot;
    if outcome == OrderOutcome::Unavailable && is_spot && order.count > 0 {
        terms.refused.notify_one();
    }
}

fn set_gauges<A: Adapter>(gateway: &Gateway<A>, terms: &Terms) {
    let current = terms.current.borrow();
    for ordered in current.iter().flat_map(|term| term.planner.ordered()) {
        let labels = CapacityLabels {
            service: ordered.service.to_owned(),
            data_centre: ordered.data_centre.to_owned(),
            kind: ordered.kind.as_str(),
        };
        let gauge = gateway.metrics.ordered_endpoints.get_or_create(&labels);
        gauge.set(i64::from(ordered.count));
    }
}
