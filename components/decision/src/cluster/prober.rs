use super::Identity;
use crate::Millis;
use rand::seq::SliceRandom;
use rand_pcg::Pcg64;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Probe that has not been acknowledged.
#[derive(Clone, Debug)]
pub struct OutstandingProbe {
    /// Probed member.
    pub target: Identity,
    /// Address that the probe was sent to.
    pub address: SocketAddr,
    /// Time at which the probe was sent.
    pub sent_at: Millis,
    /// Whether indirect probes were requested.
    pub indirect_requested: bool,
}

/// Indirect probe sent on behalf of another daemon.
#[derive(Clone, Debug)]
pub struct Relay {
    /// Address of the requesting daemon.
    pub requester: SocketAddr,
    /// Number that the requesting daemon gave the probe.
    pub number: u64,
    /// Time after which an acknowledgement is no longer relayed.
    pub expires: Millis,
}

/// Order in which members are probed, and the probes that have not been acknowledged.
#[derive(Clone, Debug, Default)]
pub struct Prober {
    order: Vec<Identity>,
    /// Unacknowledged probes, by number.
    pub outstanding: BTreeMap<u64, OutstandingProbe>,
    /// Indirect probes for other daemons, by this daemon's own number.
    pub relays: BTreeMap<u64, Relay>,
    /// Time at which the next probe is due.
    pub next_at: Millis,
    number: u64,
}

impl Prober {
    /// Allocates a probe number.
    pub fn next_number(&mut self) -> u64 {
        self.number += 1;
        self.number
    }

    /// Next member to probe. Each round probes all members once in random order; `members` is read
    /// only when a new round starts.
    pub fn next_target<I>(&mut self, members: I, rng: &mut Pcg64) -> Option<Identity>
    where
        I: IntoIterator<Item = Identity>,
    {
        if self.order.is_empty() {
            self.order = members.into_iter().collect();
            self.order.shuffle(rng);
        }
        self.order.pop()
    }

    /// Removes and returns the probes that were not acknowledged within `limit`.
    pub fn take_timed_out(&mut self, limit: Millis, now: Millis) -> Vec<OutstandingProbe> {
        let due = self.outstanding.iter().filter(|(_, probe)| now.since(probe.sent_at) >= limit);
        let numbers: Vec<u64> = due.map(|(number, _)| *number).collect();
        numbers.iter().filter_map(|number| self.outstanding.remove(number)).collect()
    }

    /// Discards probes that were outstanding while this process was paused: their acknowledgements
    /// may have been missed.
    pub fn discard_outstanding(&mut self) {
        self.outstanding.clear();
    }

    /// Removes relays that have expired.
    pub fn expire(&mut self, now: Millis) {
        self.relays.retain(|_, relay| relay.expires > now);
    }
}
