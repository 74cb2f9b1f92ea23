use crate::adapter::Adapter;
use crate::clock::now;
use crate::gateway::Gateway;
use crate::log::LineKind;
use decision::routing::Incarnation;
use messages::feed::{DepartureNotice, Notice};

/// Whether a notice says nothing new about an endpoint that leaves.
pub(crate) fn is_known<A: Adapter>(gateway: &Gateway<A>, departure: &DepartureNotice) -> bool {
    gateway.directory().has_departed(&departure.endpoint, &incarnation(departure))
}

fn incarnation(departure: &DepartureNotice) -> Incarnation {
    Incarnation { started: departure.started, address: departure.address.clone() }
}

/// Stops using an endpoint that leaves. Its idle connections are closed now, the others when the
/// requests on them end.
pub(crate) fn apply_departure<A: Adapter>(
    gateway: &Gateway<A>,
    notice: &Notice,
    departure: &DepartureNotice,
) {
    let mut directory = gateway.directory.borrow_mut();
    let change = directory.record_departure(&departure.endpoint, &incarnation(departure));
    drop(directory);
    if gateway.log_quota.borrow_mut().admits(LineKind::Failure, now()) {
        tracing::info!(
            event = "endpoint_leaving",
            endpoint = %departure.endpoint,
            started = departure.started,
            was_used = change.is_some(),
            origin = notice.origin,
            age_ms = notice.age_ms,
        );
    }
    if let Some(change) = change {
        close_idle_connections(gateway, departure);
        gateway.publish_registry_changes(&[change]);
        gateway.queue_progress.notify_waiters();
    }
}

fn close_idle_connections<A: Adapter>(gateway: &Gateway<A>, departure: &DepartureNotice) {
    match departure.address.parse() {
        Ok(address) => gateway.pool.borrow_mut().close_idle(address),
        Err(e) => tracing::warn!(event = "endpoint_unreadable", endpoint = %departure.endpoint,
            text = %e),
    }
}
