use crate::adapter::Adapter;
use crate::gateway::Gateway;
use decision::Millis;
use decision::duties::ServiceCounts;
use messages::duties::{DataCentreUse, DutyReport, ServiceReport};
use std::collections::{BTreeMap, BTreeSet};

/// The requests of this daemon at the endpoints of a service.
#[derive(Debug, Default)]
struct ServiceUse {
    unread_tokens: u64,
    by_data_centre: BTreeMap<String, DataCentreUse>,
}

/// Returns what this daemon has seen of the services whose endpoints are ordered since the previous
/// call, and the time that it covers, for the report to the holder of the duties.
pub(super) fn demand_report<A: Adapter>(
    gateway: &Gateway<A>,
    now: Millis,
) -> (Millis, Vec<ServiceReport>) {
    let Some(catalog) = gateway.catalog() else { return (Millis(0), Vec::new()) };
    let services = catalog.configuration().services.iter();
    let scaled = services.filter(|service| service.scaling.is_some());
    let names: BTreeSet<&str> = scaled.map(|service| service.name.as_str()).collect();
    let mut demand = gateway.demand.borrow_mut();
    demand.set_services(&names);
    let (covered, counts) = demand.take(now);
    let mut uses = uses(gateway);
    let report = |(name, counts): (String, ServiceCounts)| {
        let service_use = uses.remove(&name).unwrap_or_default();
        let queued = gateway.wait_queues.borrow().of_service(&name) as u64;
        ServiceReport {
            placed: counts.placed,
            prompt_tokens: counts.prompt_tokens,
            // The number of endpoints follows from the requests in flight, not from their tokens.
            response_tokens: 0,
            refused: counts.refused,
            queued,
            unread_tokens: service_use.unread_tokens,
            begun: counts.begun,
            begun_late: counts.begun_late,
            in_flight: service_use.by_data_centre.into_values().collect(),
            service: name,
        }
    };
    (covered, counts.into_iter().map(report).collect())
}

fn uses<A: Adapter>(gateway: &Gateway<A>) -> BTreeMap<String, ServiceUse> {
    let directory = gateway.directory();
    let mut uses: BTreeMap<String, ServiceUse> = BTreeMap::new();
    for row in gateway.loads.borrow().own_loads() {
        let Some(registration) = directory.listed_registration(&row.endpoint) else { continue };
        let service_use = uses.entry(registration.service.clone()).or_default();
        service_use.unread_tokens += row.unread_tokens;
        let name = &registration.data_centre;
        let row_use = service_use.by_data_centre.entry(name.clone()).or_insert(DataCentreUse {
            data_centre: name.clone(),
            requests: 0,
            tokens: 0,
        });
        row_use.requests += u64::from(row.running);
        row_use.tokens += row.held_tokens;
    }
    uses
}

/// Records the demand in a report that a daemon sent to this one as the holder of the duties, or that
/// this one made itself.
pub(super) fn record_demand<A: Adapter>(gateway: &Gateway<A>, report: &DutyReport, now: Millis) {
    gateway.demand_reports.borrow_mut().record(report, now);
}
