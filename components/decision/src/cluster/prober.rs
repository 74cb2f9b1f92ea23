use super::Identity;
use crate::Millis;
use rand::seq::SliceRandom;
use rand_pcg::Pcg64;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// A probe that awaits its answer.
#[derive(Clone, Debug)]
pub struct Outstanding {
    /// The member that was probed.
    pub target: Identity,
    /// Its address.
    pub address: SocketAddr,
    /// When the probe was sent.
    pub sent: Millis,
    /// Whether others were asked to probe as well.
    pub indirect: bool,
}

/// A probe on behalf of another daemon.
#[derive(Clone, Debug)]
pub struct Relay {
    /// The address of the daemon that asked.
    pub requester: SocketAddr,
    /// The number that it gave the probe.
    pub number: u64,
    /// When the relay is given up.
    pub expires: Millis,
}

/// Whose turn it is to be probed, and the probes that await an answer.
#[derive(Clone, Debug, Default)]
pub struct Prober {
    order: Vec<Identity>,
    /// Probes that await an answer, by number.
    pub outstanding: BTreeMap<u64, Outstanding>,
    /// Probes for others, by the number that this daemon gave them.
    pub relays: BTreeMap<u64, Relay>,
    /// When the next probe is due.
    pub next_at: Millis,
    number: u64,
}

impl Prober {
    /// Returns a new number for a probe.
    pub fn next_number(&mut self) -> u64 {
        self.number += 1;
        self.number
    }

    /// Returns the next member in a shuffled round over `members`.
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

    /// Removes and returns the probes without an answer after `limit`.
    pub fn take_timed_out(&mut self, limit: Millis, now: Millis) -> Vec<Outstanding> {
        let due = self.outstanding.iter().filter(|(_, probe)| now.since(probe.sent) >= limit);
        let numbers: Vec<u64> = due.map(|(number, _)| *number).collect();
        numbers.iter().filter_map(|number| self.outstanding.remove(number)).collect()
    }

    /// Gives up probes that were in the air while this process did not run.
    pub fn discard_outstanding(&mut self) {
        self.outstanding.clear();
    }

    /// Gives up relays whose answer did not come.
    pub fn expire(&mut self, now: Millis) {
        self.relays.retain(|_, relay| relay.expires > now);
    }
}
