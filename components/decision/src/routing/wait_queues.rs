use super::lane::Lane;
use crate::Millis;
use std::collections::{BTreeMap, BTreeSet};

/// Share of the time until its first event is due that a request waits for an engine before it is
/// refused. Its client still has most of the time left to retry, and an engine that stays saturated
/// for longer does not finish long responses in time.
const MAX_QUEUE_TIME_SHARE: f64 = 0.25;

/// The position of a request in a queue; lower tickets are served first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Ticket {
    /// 0 is served first.
    priority: u8,
    sequence: u64,
}

/// Names a queue: the requests in it wait for the same engines.
#[derive(Clone, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct QueueKey {
    /// The service of the engines.
    pub service: String,
    /// The lane of the requests.
    pub lane: Lane,
    /// The software version of the engines; `None` if any may run the requests.
    pub software_version: Option<String>,
}

/// Requests that wait at this daemon while all their engines are saturated, by priority and then in
/// order of arrival.
///
/// The queues handle load in which prompts arrive faster than engines prefill them. An engine with
/// waiting prompts generates one token per response and prefill chunk, so responses of a saturated
/// engine end too late, even if they start in time. Requests that would saturate an engine wait
/// here instead, where requests of a higher priority can overtake them, and are refused early
/// enough for the client to retry.
#[derive(Clone, Debug, Default)]
pub struct WaitQueues {
    queues: BTreeMap<QueueKey, BTreeSet<Ticket>>,
    last_sequence: u64,
}

impl WaitQueues {
    /// Adds a request to its queue. Its ticket must be passed to [`WaitQueues::remove`] once it no
    /// longer waits.
    pub fn enqueue(&mut self, key: &QueueKey, priority: u8) -> Ticket {
        self.last_sequence += 1;
        let ticket = Ticket { priority, sequence: self.last_sequence };
        self.queues.entry(key.clone()).or_default().insert(ticket);
        ticket
    }

    /// Returns whether a request is the next one of its queue to be served.
    pub fn is_first(&self, key: &QueueKey, ticket: Ticket) -> bool {
        self.queues.get(key).and_then(BTreeSet::first) == Some(&ticket)
    }

    /// Returns the number of requests in a queue.
    pub fn len(&self, key: &QueueKey) -> usize {
        self.queues.get(key).map_or(0, BTreeSet::len)
    }

    /// Returns the number of requests that wait for endpoints of a service.
    pub fn of_service(&self, service: &str) -> usize {
        let queues = self.queues.iter().filter(|(key, _)| key.service == service);
        queues.map(|(_, tickets)| tickets.len()).sum()
    }

    /// Returns whether all queues are empty.
    pub fn is_empty(&self) -> bool {
        self.queues.is_empty()
    }

    /// Removes a request that was served, refused or abandoned by its client.
    pub fn remove(&mut self, key: &QueueKey, ticket: Ticket) {
        if let Some(queue) = self.queues.get_mut(key) {
            queue.remove(&ticket);
            if queue.is_empty() {
                self.queues.remove(key);
            }
        }
    }
}

/// The times that limit how long an attempt at a request waits for an engine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct WaitLimits {
    /// Time by which the attempt has to produce its first event.
    pub due: Millis,
    /// Time at which the request is refused, or its stream ends, if no engine can do so.
    pub refused_at: Millis,
}

impl WaitLimits {
    /// The limits of the first attempt at a request that arrived at `arrived`. Its first event is
    /// late after `due`.
    pub fn first_attempt(arrived: Millis, due: Millis) -> WaitLimits {
        WaitLimits::between(arrived, due)
    }

    /// The limits of an attempt that follows one that failed, or continues an interrupted stream.
    ///
    /// The endpoint may have been lost for longer than the objective of the first event, but the
    /// client still waits until `deadline`.
    pub fn further_attempt(now: Millis, deadline: Millis) -> WaitLimits {
        WaitLimits::between(now, deadline)
    }

    fn between(start: Millis, due: Millis) -> WaitLimits {
        let max_wait = due.since(start).0 as f64 * MAX_QUEUE_TIME_SHARE;
        WaitLimits { due, refused_at: start + Millis(max_wait as u64) }
    }

    /// Returns the time that is left until the first event is due.
    pub fn budget(&self, now: Millis) -> Millis {
        self.due - now
    }
}
