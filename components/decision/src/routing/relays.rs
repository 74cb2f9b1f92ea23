use super::readers::Peer;
use super::rendezvous::rendezvous_hash;
use crate::Millis;
use std::collections::BTreeMap;

/// Number of daemons that a daemon names to another one.
const MAX_OFFERED: usize = 8;
/// Time after which what a daemon stated is no longer used: a few polls.
const STALE_AFTER: Millis = Millis(3_000);

/// The daemons that reach endpoints, as far as this one knows: those that report to it, and those
/// that others named.
#[derive(Clone, Debug, Default)]
pub struct Relays {
    reported: BTreeMap<String, (Peer, Millis)>,
    /// By the daemon that named them.
    named: BTreeMap<String, (Vec<Peer>, Millis)>,
}

impl Relays {
    /// Records whether a daemon that reports to this one reaches endpoints.
    pub fn report(&mut self, peer: Peer, reaches_endpoints: bool, now: Millis) {
        if reaches_endpoints && !peer.address.is_empty() {
            self.reported.insert(peer.name.clone(), (peer, now));
        } else {
            self.reported.remove(&peer.name);
        }
    }

    /// Records the daemons that another one named.
    pub fn learn(&mut self, source: &str, peers: Vec<Peer>, now: Millis) {
        self.named.insert(source.to_owned(), (peers, now));
    }

    /// Returns all known daemons but `own`, in an order that differs from seed to seed.
    pub fn shuffled(&self, own: &str, seed: u64, now: Millis) -> Vec<Peer> {
        let is_fresh = |at: Millis| now.since(at) < STALE_AFTER;
        let named = self.named.values().filter(|(_, at)| is_fresh(*at)).flat_map(|(p, _)| p);
        let reported = self.reported.values().filter(|(_, at)| is_fresh(*at)).map(|(p, _)| p);
        let by_name: BTreeMap<&str, &Peer> =
            named.chain(reported).map(|peer| (peer.name.as_str(), peer)).collect();
        let mut peers: Vec<Peer> =
            by_name.into_values().filter(|peer| peer.name != own).cloned().collect();
        peers.sort_by_key(|peer| rendezvous_hash(&peer.name, seed));
        peers
    }

    /// Returns some known daemons to name to the daemon `to`.
    pub fn offered(&self, to: &str, seed: u64, now: Millis) -> Vec<Peer> {
        let mut peers = self.shuffled(to, seed, now);
        peers.truncate(MAX_OFFERED);
        peers
    }

    /// Discards what is no longer used.
    pub fn expire(&mut self, now: Millis) {
        self.reported.retain(|_, (_, at)| now.since(*at) < STALE_AFTER);
        self.named.retain(|_, (_, at)| now.since(*at) < STALE_AFTER);
    }
}
