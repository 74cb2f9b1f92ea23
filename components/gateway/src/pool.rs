use crate::connection::Connection;
use decision::Millis;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Idle time after which a connection is dropped when its endpoint states none: the shortest
/// default of common servers.
const IDLE_TIME: Millis = Millis(4_000);

#[derive(Debug)]
struct Idle {
    connection: Connection,
    since: Millis,
    limit: Millis,
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
        recent: bool,
        now: Millis,
    ) -> Option<Connection> {
        let idle = self.idle.get_mut(&address)?;
        while let Some(kept) = idle.pop() {
            let share = if recent { 2 } else { 1 };
            let is_old = now.since(kept.since).0 * share >= kept.limit.0;
            if kept.connection.is_ready() && !is_old {
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
        stated: Option<Millis>,
        now: Millis,
    ) {
        // Four fifths leave room for the request on its way.
        let limit = stated.map_or(IDLE_TIME, |stated| Millis(stated.0 * 4 / 5));
        self.idle.entry(address).or_default().push(Idle { connection, since: now, limit });
    }

    /// Drops connections that are closed or over their time.
    pub(crate) fn sweep(&mut self, now: Millis) {
        for idle in self.idle.values_mut() {
            idle.retain(|kept| kept.connection.is_ready() && now.since(kept.since) < kept.limit);
        }
        self.idle.retain(|_, idle| !idle.is_empty());
    }

    /// Returns the connections kept.
    pub(crate) fn len(&self) -> usize {
        self.idle.values().map(Vec::len).sum()
    }
}
