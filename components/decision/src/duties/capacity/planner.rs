use super::demand::{DataCentreDemand, ServiceDemand};
use super::order::{EndpointKind, Order, OrderOutcome, OrderedCount};
use super::pressure::Pressure;
use super::scaling::ServiceScaling;
use super::share::{Need, share_needs};
use super::site::{Goal, Site};
use crate::Millis;
use std::collections::BTreeMap;

/// Maximum age of the list of endpoints that an order is based on.
const MAX_AGE: Millis = Millis(3_000);
/// Time after the start of a term after which a data centre from which no daemon has ever reported
/// counts as one without callers. Until then it may be cut off.
const NO_CALLERS_AFTER: Millis = Millis(120_000);

/// The orders of a service.
#[derive(Clone, Debug)]
struct ServicePlan {
    sites: BTreeMap<String, Site>,
    /// The data centres from which a daemon has reported.
    has_reported: BTreeMap<String, bool>,
    pressure: Pressure,
}

/// Decides how many endpoints of each kind a service has in each data centre.
///
/// It is created at the start of a term as the holder of the duty, and starts from the registered
/// endpoints. The orders of one data centre are given one after the other.
#[derive(Clone, Debug)]
pub struct CapacityPlanner {
    started_at: Millis,
    services: BTreeMap<String, ServicePlan>,
}

impl CapacityPlanner {
    /// Creates a planner at the start of a term.
    pub fn new(now: Millis) -> CapacityPlanner {
        CapacityPlanner { started_at: now, services: BTreeMap::new() }
    }

    /// Returns the orders that are to be sent now, at most one for each data centre and `limit` in
    /// all, first those for more endpoints. Each is passed to [`CapacityPlanner::record`] with its outcome before a further one for its data centre is
    /// returned.
    ///
    /// Nothing is ordered if the demand is older than [`MAX_AGE`] or fewer than half of the daemons
    /// report. Data centres with too few reports keep their orders.
    pub fn plan(
        &mut self,
        demand: &ServiceDemand,
        scaling: &ServiceScaling,
        limit: usize,
        now: Millis,
    ) -> Vec<Order> {
        if now.since(demand.confirmed_at) > MAX_AGE || demand.is_incomplete() {
            return Vec::new();
        }
        let started_at = self.started_at;
        let plan = self.services.entry(demand.service.clone()).or_insert_with(|| ServicePlan {
            sites: BTreeMap::new(),
            has_reported: BTreeMap::new(),
            pressure: Pressure::new(now),
        });
        plan.pressure.update(demand, scaling.boot(), now);
        let known = plan.observe(demand, scaling, started_at, now);
        plan.orders(&demand.service, &known, scaling, limit, now)
    }

    /// Records the outcome of an order.
    pub fn record(&mut self, order: &Order, outcome: OrderOutcome, now: Millis) {
        let plan = self.services.get_mut(&order.service);
        if let Some(site) = plan.and_then(|plan| plan.sites.get_mut(&order.data_centre)) {
            site.record(order.kind, outcome, now);
        }
    }

    /// Returns the number of endpoints that are ordered at present.
    pub fn ordered(&self) -> impl Iterator<Item = OrderedCount<'_>> {
        self.services.iter().flat_map(|(service, plan)| {
            plan.sites.iter().flat_map(move |(data_centre, site)| {
                let kinds = [EndpointKind::Ordinary, EndpointKind::Spot];
                kinds.map(|kind| OrderedCount {
                    service,
                    data_centre,
                    kind,
                    count: site.ordered(kind),
                })
            })
        })
    }

    /// Returns how many endpoints a data centre needs with those for a burst, and without.
    pub fn need(&self, service: &str, data_centre: &str) -> Option<[f64; 2]> {
        let site = self.services.get(service)?.sites.get(data_centre)?;
        Some([site.need(), site.steady_need()])
    }
}

impl ServicePlan {
    /// Records the demand. Returns the data centres for which orders may be given.
    fn observe(
        &mut self,
        demand: &ServiceDemand,
        scaling: &ServiceScaling,
        started_at: Millis,
        now: Millis,
    ) -> Vec<String> {
        let factor = self.pressure.factor();
        let mut known = Vec::new();
        for (name, data_centre) in &demand.data_centres {
            let endpoints = data_centre.endpoints;
            let site = self
                .sites
                .entry(name.clone())
                .or_insert_with(|| Site::new(endpoints, scaling, now));
            site.observe(endpoints, scaling, now);
            let has_reported = self.has_reported.entry(name.clone()).or_default();
            *has_reported |= data_centre.reporting > 0;
            if !is_known(data_centre, *has_reported, now.since(started_at)) {
                continue;
            }
            site.record_work(&data_centre.work, factor, scaling, now);
            known.push(name.clone());
        }
        known
    }

    fn orders(
        &mut self,
        service: &str,
        known: &[String],
        scaling: &ServiceScaling,
        limit: usize,
        now: Millis,
    ) -> Vec<Order> {
        let may_lower = !self.pressure.is_high();
        let needs = known.iter().filter_map(|name| {
            let site = self.sites.get(name)?;
            let need = Need {
                total: site.need(),
                steady: site.steady_need(),
                average: site.average_need(),
                has_spot: site.has_spot(scaling, now),
            };
            Some((name.as_str(), need))
        });
        let goals = share_needs(&needs.collect(), scaling);
        let next_order = |(data_centre, goal): (String, Goal)| {
            let site = self.sites.get(&data_centre)?;
            let (kind, count) = site.next_order(goal, may_lower, scaling, now)?;
            let is_reduction = count < site.ordered(kind);
            let service = service.to_owned();
            Some((is_reduction, Order { service, data_centre, kind, count }))
        };
        let mut orders: Vec<(bool, Order)> = goals.into_iter().filter_map(next_order).collect();
        orders.sort();
        orders.truncate(limit);
        for (_, order) in &orders {
            if let Some(site) = self.sites.get_mut(&order.data_centre) {
                site.start(order.kind, order.count);
            }
        }
        orders.into_iter().map(|(_, order)| order).collect()
    }
}

/// Returns whether orders can be based on what is known of a data centre.
fn is_known(demand: &DataCentreDemand, has_reported: bool, term: Millis) -> bool {
    if demand.daemons == 0 && !has_reported {
        return term >= NO_CALLERS_AFTER;
    }
    !demand.is_silent()
}
