use crate::adapter::Adapter;
use crate::attempt::BusyConnection;
use crate::clock::now;
use crate::gateway::Gateway;
use crate::log::LineKind;
use crate::notices::publish_departure;
use crate::routed_request::RoutedRequest;
use decision::routing::Incarnation;
use http::StatusCode;
use messages::feed::{DepartureNotice, Notice};
use std::rc::Rc;

/// Records that a response says that its endpoint leaves, and tells all daemons.
pub(crate) fn observe_departure<A: Adapter>(
    gateway: &Rc<Gateway<A>>,
    request: &RoutedRequest,
    connection: &BusyConnection<A>,
    status: StatusCode,
) {
    let Some((endpoint, incarnation)) = respondent(gateway, connection, status) else { return };
    if gateway.directory().has_departed(&endpoint, &incarnation) {
        return;
    }
    tracing::info!(
        event = "leaving_stated",
        request = %request.id(),
        endpoint,
        started = incarnation.started,
        status = status.as_u16(),
    );
    let Incarnation { started, address } = incarnation;
    publish_departure(gateway, DepartureNotice { endpoint, started, address });
}

/// The endpoint that sent a response. It is another one than the request was sent to if it says so
/// with status 421; `None` if that one is not registered.
fn respondent<A: Adapter>(
    gateway: &Gateway<A>,
    connection: &BusyConnection<A>,
    status: StatusCode,
) -> Option<(String, Incarnation)> {
    let endpoint = connection.in_flight.endpoint();
    if status != StatusCode::MISDIRECTED_REQUEST {
        return Some((endpoint.to_owned(), connection.in_flight.incarnation()?.clone()));
    }
    let address = connection.address().to_string();
    let directory = gateway.directory();
    let mut others = directory.listed().filter(|(id, _)| *id != endpoint);
    let (id, registration) = others.find(|(_, registration)| registration.address == address)?;
    Some((id.to_owned(), registration.incarnation()))
}

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
