use crate::adapter::Adapter;
use crate::busy_connection::BusyConnection;
use crate::gateway::Gateway;
use crate::notices::publish_departure;
use crate::routed_request::RoutedRequest;
use decision::routing::Incarnation;
use http::StatusCode;
use messages::feed::DepartureNotice;
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
    let address = connection.address.to_string();
    let directory = gateway.directory();
    let mut others = directory.listed().filter(|(id, _)| *id != endpoint);
    let (id, registration) = others.find(|(_, registration)| registration.address == address)?;
    Some((id.to_owned(), registration.incarnation()))
}
