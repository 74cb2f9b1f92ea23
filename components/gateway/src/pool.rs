use crate::connection::Connection;
use decision::Millis;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Idle time after which a connection is dropped when its endpoint states none: the shortest
/// default of common servers.
const DEFAULT_IDLE_TIMEOUT: Millis = Millis(4_000);

#[derive(Debug)]
struct Idle {
    connection: Connection,
    since: Millis,
    timeout: Millis,
}

/// Kept connections to endpoints.
#[derive(Debug, Default)]
pub(crate) struct Pool {
    idle: BTreeMap<SocketAddr, Vec<Idle>>,
}

impl Pool {
    /// Takes the connection that was used last. With `recent`, only one that was used well within
    /// the time that its endpoint keeps it.
    pub(crate) fn take(
        &mut self,
        address: SocketAddr,
        recently_used: bool,
        now: Millis,
    ) -> Option<Connection> {
        let idle = self.idle.get_mut(&address)?;
        while let Some(kept) = idle.pop() {
            let divisor = if recently_used { 2 } else { 1 };
            let is_expired = now.since(kept.since).0 * divisor >= kept.timeout.0;
            if kept.connection.is_ready() && !is_expired {
                return Some(kept.connection);
            }
        }
        None
    }

    /// Keeps a connection whose answer is whole; `stated` is how long the endpoint keeps it.
    pub(crate) fn put(
        &mut self,
        address: SocketAddr,
        connection: Connection,
        stated_timeout: Option<Millis>,
        now: Millis,
    ) {
        // Four fifths leave room for the request on its way.
        let timeout = stated_timeout
            .map_or(DEFAULT_IDLE_TIMEOUT, |stated_timeout| Millis(stated_timeout.0 * 4 / 5));
        self.idle.entry(address).or_default().push(Idle { connection, since: now, timeout });
    }

    /// Drops connections that are closed or over their time.
    pub(crate) fn remove_expired(&mut self, now: Millis) {
        for idle in self.idle.values_mut() {
            idle.retain(|kept| kept.connection.is_ready() && now.since(kept.since) < kept.timeout);
        }
        self.idle.retain(|_, idle| !idle.is_empty());
    }

    /// Returns the connections kept.
    pub(crate) fn len(&self) -> usize {
        self.idle.values().map(Vec::len).sum()
    }
}
