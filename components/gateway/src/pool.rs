use crate::connection::Connection;
use decision::Millis;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Idle timeout for endpoints that state none: the shortest default of common servers.
const DEFAULT_IDLE_TIMEOUT: Millis = Millis(4_000);

#[derive(Debug)]
struct IdleConnection {
    connection: Connection,
    idle_since: Millis,
    timeout: Millis,
}

/// Idle connections to endpoints.
#[derive(Debug, Default)]
pub(crate) struct Pool {
    idle: BTreeMap<SocketAddr, Vec<IdleConnection>>,
}

impl Pool {
    /// Takes the most recently used connection. `only_recently_used` requires that it has been idle
    /// for less than half of its timeout, which makes it unlikely that the endpoint is closing it.
    pub(crate) fn take(
        &mut self,
        address: SocketAddr,
        only_recently_used: bool,
        now: Millis,
    ) -> Option<Connection> {
        let idle = self.idle.get_mut(&address)?;
        while let Some(entry) = idle.pop() {
            let divisor = if only_recently_used { 2 } else { 1 };
            let is_expired = now.since(entry.idle_since).0 * divisor >= entry.timeout.0;
            if entry.connection.is_ready() && !is_expired {
                return Some(entry.connection);
            }
        }
        None
    }

    /// Adds a connection after a complete response; `stated_timeout` is the endpoint's own limit.
    /// Of more than `max_idle` connections to one endpoint, the least recently used are closed.
    pub(crate) fn put(
        &mut self,
        address: SocketAddr,
        connection: Connection,
        stated_timeout: Option<Millis>,
        max_idle: usize,
        now: Millis,
    ) {
        // Four fifths, as the endpoint could close the connection while the next request is in
        // transit.
        let timeout = stated_timeout
            .map_or(DEFAULT_IDLE_TIMEOUT, |stated_timeout| Millis(stated_timeout.0 * 4 / 5));
        let idle = self.idle.entry(address).or_default();
        idle.push(IdleConnection { connection, idle_since: now, timeout });
        idle.drain(..idle.len().saturating_sub(max_idle));
    }

    /// Closes the idle connections to an endpoint.
    pub(crate) fn close_idle(&mut self, address: SocketAddr) {
        self.idle.remove(&address);
    }

    /// Drops connections that are closed or past their idle timeout.
    pub(crate) fn remove_expired(&mut self, now: Millis) {
        for idle in self.idle.values_mut() {
            idle.retain(|entry| {
                entry.connection.is_ready() && now.since(entry.idle_since) < entry.timeout
            });
        }
        self.idle.retain(|_, idle| !idle.is_empty());
    }

    /// The number of idle connections.
    pub(crate) fn len(&self) -> usize {
        self.idle.values().map(Vec::len).sum()
    }
}
