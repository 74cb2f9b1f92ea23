use crate::executor::Executor;
use crate::tables::lock_read;
use std::net::SocketAddr;

/// Another daemon that requests can be forwarded to.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Peer {
    /// The name of its instance, or its address if the instance list does not name it.
    pub name: String,
    pub address: SocketAddr,
    pub data_centre: String,
    pub region: String,
}

/// Chooses a daemon of a data centre; equal seeds choose the same one while membership is
/// unchanged.
pub fn peer_in(executor: &Executor, data_centre: &str, seed: usize) -> Option<Peer> {
    let peers = lock_read(&executor.tables.peers);
    let candidates: Vec<&Peer> = peers.values().filter(|p| p.data_centre == data_centre).collect();
    let chosen = candidates.get(seed.checked_rem(candidates.len())?)?;
    Some(Peer::clone(chosen))
}
