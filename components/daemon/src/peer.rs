use crate::executor::Executor;
use crate::tables::lock_read;
use std::net::SocketAddr;

/// Another daemon.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Peer {
    /// The name of its instance.
    pub name: String,
    /// Its address.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: String,
    /// Its region.
    pub region: String,
}

/// Chooses a daemon of a data centre; equal seeds find the same daemon while none comes or goes.
pub fn peer_in(executor: &Executor, data_centre: &str, seed: usize) -> Option<Peer> {
    let peers = lock_read(&executor.tables.peers);
    let fit: Vec<&Peer> = peers.values().filter(|p| p.data_centre == data_centre).collect();
    let chosen = fit.get(seed.checked_rem(fit.len())?)?;
    Some(Peer::clone(chosen))
}
