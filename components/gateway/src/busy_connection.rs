use crate::adapter::Adapter;
use crate::clock::now;
use crate::connection::Connection;
use crate::gateway::Gateway;
use crate::in_flight::InFlightRequest;
use decision::Millis;
use decision::routing::Outcome;
use std::net::SocketAddr;

/// A connection that carries a request, with the request's entry in the load table.
#[derive(Debug)]
pub(crate) struct BusyConnection<A: Adapter> {
    pub(crate) in_flight: InFlightRequest<A>,
    pub(crate) connection: Connection,
    pub(crate) address: SocketAddr,
    pub(crate) idle_timeout: Option<Millis>,
    /// Whether the endpoint closes the connection after this response.
    pub(crate) server_closes: bool,
}

impl<A: Adapter> BusyConnection<A> {
    /// Ends the request after a complete response and returns the connection to the pool.
    pub(crate) fn close(self, gateway: &Gateway<A>, outcome: Outcome) {
        let max_idle = max_idle_connections(gateway, self.in_flight.endpoint());
        self.in_flight.close(outcome);
        if !self.server_closes {
            let mut pool = gateway.pool.borrow_mut();
            pool.put(self.address, self.connection, self.idle_timeout, max_idle, now());
        }
    }
}

/// The number of idle connections to an endpoint that are kept; none if it has left.
fn max_idle_connections<A: Adapter>(gateway: &Gateway<A>, endpoint: &str) -> usize {
    let Some(catalog) = gateway.catalog() else { return 0 };
    let directory = gateway.directory();
    let service = directory.get(endpoint).and_then(|r| catalog.service(&r.service));
    service.map_or(0, |service| gateway.connection_budget(service, now()).idle as usize)
}
