use super::demand::Lane;
use crate::Millis;
use std::collections::{BTreeMap, BTreeSet};

/// Share of its objective that a request waits for an engine before it is refused. Its client
/// still has most of its time to come back, and an engine that is saturated all the while does not
/// finish long answers in time.
const HOLD_SHARE: f64 = 0.25;

/// A place in the queue of a daemon.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Ticket {
    /// The rank; 0 is served first.
    rank: u8,
    number: u64,
}

/// The engines that a queue waits for.
pub type QueueKey = (String, Lane);

/// Requests that wait at this daemon while all their engines are saturated: by rank, then in the
/// order of their arrival.
///
/// Answers the load in which prompts come faster than engines read them. An engine with prompts
/// waiting makes one token of each answer a chunk, so answers of a saturated engine end too late,
/// however early they began. Work that would saturate it waits here, where a more urgent request
/// still overtakes it, and is refused while its client can come back.
#[derive(Clone, Debug, Default)]
pub struct WaitQueues {
    queues: BTreeMap<QueueKey, BTreeSet<Ticket>>,
    next: u64,
}

impl WaitQueues {
    /// Takes a request into its queue.
    pub fn enqueue(&mut self, key: &QueueKey, rank: u8) -> Ticket {
        self.next += 1;
        let ticket = Ticket { rank, number: self.next };
        self.queues.entry(key.clone()).or_default().insert(ticket);
        ticket
    }

    /// Returns whether a request is the first of its queue.
    pub fn is_first(&self, key: &QueueKey, ticket: Ticket) -> bool {
        self.queues.get(key).and_then(BTreeSet::first) == Some(&ticket)
    }

    /// Returns the requests of a queue.
    pub fn len(&self, key: &QueueKey) -> usize {
        self.queues.get(key).map_or(0, BTreeSet::len)
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.queues.is_empty()
    }

    /// Removes a request that is served, refused or given up by its client.
    pub fn remove(&mut self, key: &QueueKey, ticket: Ticket) {
        if let Some(queue) = self.queues.get_mut(key) {
            queue.remove(&ticket);
            if queue.is_empty() {
                self.queues.remove(key);
            }
        }
    }
}

/// Returns the time at which a waiting request is refused.
pub fn refusal_time(arrived: Millis, due: Millis) -> Millis {
    arrived + Millis((due.since(arrived).0 as f64 * HOLD_SHARE) as u64)
}
