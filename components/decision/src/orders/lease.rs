use crate::Millis;
use crate::execution::WriteResult;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Settings of a lease.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct LeaseConfig {
    /// The time for which a write of the holder keeps the lease.
    pub term: Millis,
    /// The time between two writes of the holder, and between two reads of the others.
    pub renew_interval: Millis,
    /// The longest time between the decision on an order and its effect.
    pub order_delay: Millis,
    /// What two clocks may differ by over one term.
    pub max_drift: Millis,
}

impl Default for LeaseConfig {
    fn default() -> LeaseConfig {
        LeaseConfig {
            term: Millis(15_000),
            renew_interval: Millis(3_000),
            order_delay: Millis(4_000),
            max_drift: Millis(500),
        }
    }
}

/// The value of a lease's object.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct LeaseRecord {
    /// The identity of the holder's process; empty when it was given up.
    pub holder: String,
    /// Counts the holder's writes.
    pub sequence: u64,
}

/// A lease as its holder knows it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct HeldLease {
    /// The fencing number of orders.
    pub fence: u64,
    /// When this holder got the lease.
    pub acquired_at: Millis,
    /// When it lapses, by this holder's clock.
    pub expires_at: Millis,
}

/// What the shell has to do.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum LeaseEffect {
    /// Read the object.
    Read,
    /// Write the object if it has this version; 0 means that there is none.
    Write(LeaseRecord, u64),
}

/// One process's view of a lease; times are of its own steady clock.
#[derive(Clone, Debug)]
pub struct Lease {
    cfg: LeaseConfig,
    process: String,
    held: Option<HeldLease>,
    /// The version that another process wrote, and when this process first saw it.
    watched: Option<(u64, Millis)>,
    sequence: u64,
    /// When the writes were sent whose answers are not known.
    sent: BTreeMap<u64, Millis>,
    next: Millis,
}

impl Lease {
    /// Creates the view of a process that does not hold the lease.
    pub fn new(cfg: LeaseConfig, process: &str) -> Lease {
        Lease {
            cfg,
            process: process.to_string(),
            held: None,
            watched: None,
            sequence: 0,
            sent: BTreeMap::new(),
            next: Millis(0),
        }
    }

    /// Returns the lease if this process holds it now.
    pub fn held(&self, now: Millis) -> Option<HeldLease> {
        self.held.filter(|held| now < held.expires_at)
    }

    /// Returns whether an order may be sent now, with its fencing number.
    ///
    /// An endpoint that ignores the number gets none until the orders of an earlier holder have
    /// taken effect. An order that takes something away waits as long at any endpoint, since an
    /// earlier holder's may take the same from another one; and it is not sent so late that it
    /// could take effect after the lease has lapsed.
    pub fn may_order(&self, now: Millis, checks_fence: bool, destructive: bool) -> Option<u64> {
        let held = self.held(now)?;
        if checks_fence && !destructive {
            return Some(held.fence);
        }
        let settled = now >= held.acquired_at + self.cfg.order_delay;
        let in_time = !destructive || now + self.cfg.order_delay <= held.expires_at;
        (settled && in_time).then_some(held.fence)
    }

    /// Looks at what has become due.
    pub fn tick(&mut self, now: Millis) -> Option<LeaseEffect> {
        if now < self.next {
            return None;
        }
        self.next = now + self.cfg.renew_interval;
        match self.held(now) {
            Some(held) if self.sent.is_empty() => Some(self.write(held.fence, now)),
            _ => Some(LeaseEffect::Read),
        }
    }

    /// Takes in what was read.
    pub fn on_read(
        &mut self,
        found: Option<(u64, LeaseRecord)>,
        now: Millis,
    ) -> Option<LeaseEffect> {
        let Some((version, record)) = found else { return Some(self.write(0, now)) };
        if record.holder == self.process {
            if let Some(sent) = self.sent.get(&record.sequence).copied() {
                self.hold(version, sent, now);
            }
            self.sent.clear();
            return Some(self.write(version, now));
        }
        self.held = None;
        self.sent.clear();
        let since = match self.watched {
            Some((seen, since)) if seen == version => since,
            _ => now,
        };
        self.watched = Some((version, since));
        let lapsed = now > since + self.cfg.term + self.cfg.max_drift;
        (lapsed || record.holder.is_empty()).then(|| self.write(version, now))
    }

    /// Takes in the answer to the last write.
    pub fn on_write(&mut self, answer: WriteResult, now: Millis) {
        let sent = self.sent.get(&self.sequence).copied();
        match (answer, sent) {
            (WriteResult::Written(version), Some(sent)) => {
                self.sent.clear();
                self.hold(version, sent, now);
            }
            (WriteResult::Unsent, _) => {
                self.sent.remove(&self.sequence);
            }
            // The read that follows shows who holds the lease.
            _ => self.next = now,
        }
    }

    /// Gives the lease up at a planned stop.
    pub fn release(self, now: Millis) -> Option<LeaseEffect> {
        let held = self.held(now)?;
        Some(LeaseEffect::Write(LeaseRecord::default(), held.fence))
    }

    fn hold(&mut self, fence: u64, sent: Millis, now: Millis) {
        let acquired_at = self.held(now).map_or(now, |held| held.acquired_at);
        self.held = Some(HeldLease { fence, acquired_at, expires_at: sent + self.cfg.term });
    }

    fn write(&mut self, expected: u64, now: Millis) -> LeaseEffect {
        self.sequence += 1;
        self.sent.insert(self.sequence, now);
        let record = LeaseRecord { holder: self.process.clone(), sequence: self.sequence };
        LeaseEffect::Write(record, expected)
    }
}
