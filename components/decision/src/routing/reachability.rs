use crate::Millis;
use std::collections::{BTreeMap, BTreeSet};

/// Endpoints of a service to which connections have to fail; all, if there are fewer.
const MIN_FAILED_ENDPOINTS: usize = 8;
/// Age of the last successful connection to a service after which it has to be shown again.
const CONNECTION_STALE_AFTER: Millis = Millis(1_000);

/// Time without a response after which waiting requests put in doubt whether endpoints are reached.
const SILENCE_TIME: Millis = Millis(1_000);

/// The connections of this daemon to the endpoints of a service.
#[derive(Clone, Debug, Default)]
struct ServiceConnections {
    /// The endpoints to which a connection failed since the last one that succeeded.
    failed: BTreeSet<String>,
    connected_at: Option<Millis>,
}

impl ServiceConnections {
    fn is_cut_off(&self, endpoints: &BTreeSet<&str>) -> bool {
        let failed = endpoints.iter().filter(|id| self.failed.contains(**id)).count();
        !endpoints.is_empty() && failed >= endpoints.len().min(MIN_FAILED_ENDPOINTS)
    }
}

/// Whether this daemon reaches any endpoint, from its new connections. Open ones may hang, so these are
/// opened also where none is needed while requests wait in silence.
///
/// A crash of all endpoints of a service looks the same as a cut of their links, so a daemon counts
/// as cut off only if it reaches no endpoint of any service.
#[derive(Clone, Debug, Default)]
pub struct Reachability {
    services: BTreeMap<String, ServiceConnections>,
    /// When a response last began, of any endpoint.
    heard_at: Millis,
}

impl Reachability {
    /// Records that a response of an endpoint began.
    pub fn record_response(&mut self, now: Millis) {
        self.heard_at = now;
    }

    /// Returns whether requests wait, the oldest of which was sent at `oldest_waiting`, and no response
    /// has begun for so long that the connections may hang.
    pub fn is_silent(&self, oldest_waiting: Option<Millis>, now: Millis) -> bool {
        let is_long_ago = |at: Millis| now.since(at) >= SILENCE_TIME;
        is_long_ago(self.heard_at) && oldest_waiting.is_some_and(is_long_ago)
    }

    /// Records that a connection to an endpoint was opened.
    pub fn record_connection(&mut self, service: &str, now: Millis) {
        let connections = self.services.entry(service.to_owned()).or_default();
        connections.failed.clear();
        connections.connected_at = Some(now);
    }

    /// Records that a connection to an endpoint could not be opened.
    pub fn record_failure(&mut self, service: &str, endpoint: &str) {
        let connections = self.services.entry(service.to_owned()).or_default();
        connections.failed.insert(endpoint.to_owned());
    }

    /// Returns whether no endpoint is reached; `services` are the endpoints in use by service.
    pub fn is_cut_off(&self, services: &BTreeMap<&str, BTreeSet<&str>>) -> bool {
        let is_cut_off = |(service, endpoints): (&&str, &BTreeSet<&str>)| {
            self.services.get(*service).is_some_and(|c| c.is_cut_off(endpoints))
        };
        !services.is_empty() && services.iter().all(is_cut_off)
    }

    /// Returns whether a connection failed since the last to its service that succeeded.
    pub fn is_doubtful(&self) -> bool {
        self.services.values().any(|connections| !connections.failed.is_empty())
    }

    /// Returns the endpoints of a service to which connections would tell whether it is reached;
    /// none if that is known. While it is not reached, these are all of them.
    pub fn unproven<'a>(
        &self,
        service: &str,
        endpoints: &BTreeSet<&'a str>,
        now: Millis,
    ) -> Vec<&'a str> {
        let Some(connections) = self.services.get(service) else {
            return endpoints.iter().copied().collect();
        };
        if connections.is_cut_off(endpoints) {
            return endpoints.iter().copied().collect();
        }
        let is_stale =
            connections.connected_at.is_none_or(|at| now.since(at) >= CONNECTION_STALE_AFTER);
        if connections.failed.is_empty() && !is_stale {
            return Vec::new();
        }
        endpoints.iter().copied().filter(|id| !connections.failed.contains(*id)).collect()
    }

    /// Discards what is known of endpoints that are not in use.
    pub fn retain(&mut self, is_used: impl Fn(&str) -> bool) {
        for connections in self.services.values_mut() {
            connections.failed.retain(|id| is_used(id));
        }
    }
}
