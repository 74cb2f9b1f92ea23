use crate::Millis;
use crate::execution::WriteResult;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Settings of a lease.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct LeaseConfig {
    /// How long the lease lasts from the time at which the holder sent its last successful write.
    pub term: Millis,
    /// The time between two renewals by the holder, and between two reads by other processes.
    pub renew_interval: Millis,
    /// The maximum time between the decision on an order and its effect at the endpoint.
    pub order_delay: Millis,
    /// The maximum drift between two clocks over one term.
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

/// The value of a lease's object in the store.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct LeaseRecord {
    /// The identity of the holder's process; empty after the lease was released.
    pub holder: String,
    /// The number of this write among those of the holder's process, by which the process
    /// recognises its own write when it reads the record.
    pub sequence: u64,
}

/// A lease that this process holds.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct HeldLease {
    /// The fencing number for orders: the version of the lease's object.
    pub fence: u64,
    /// When this process acquired the lease.
    pub acquired_at: Millis,
    /// When the lease expires, by this process's clock.
    pub expires_at: Millis,
}

/// An action on the lease's object for the executor.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum LeaseEffect {
    /// Read the object.
    Read,
    /// Write the object if it has this version; 0 means that it must not exist.
    Write(LeaseRecord, u64),
}

/// One process's view of a lease; times are of its own monotonic clock.
#[derive(Clone, Debug)]
pub struct Lease {
    cfg: LeaseConfig,
    process: String,
    held: Option<HeldLease>,
    /// The last version written by another process, and when this process first read it.
    observed: Option<(u64, Millis)>,
    sequence: u64,
    /// When each write with an unknown result was sent, by sequence number.
    unconfirmed: BTreeMap<u64, Millis>,
    next_tick: Millis,
}

impl Lease {
    /// Creates the view of a process that does not hold the lease.
    pub fn new(cfg: LeaseConfig, process: &str) -> Lease {
        Lease {
            cfg,
            process: process.to_string(),
            held: None,
            observed: None,
            sequence: 0,
            unconfirmed: BTreeMap::new(),
            next_tick: Millis(0),
        }
    }

    /// The lease, if this process holds it at `now`.
    pub fn held(&self, now: Millis) -> Option<HeldLease> {
        self.held.filter(|held| now < held.expires_at)
    }

    /// Returns the fencing number for an order, or `None` if it must not be sent now.
    ///
    /// An endpoint that does not check the number gets no order until those of an earlier holder
    /// have taken effect. A destructive order, such as an unload, waits for that at every endpoint,
    /// because the earlier holder may have ordered the same removal at another endpoint. It is also
    /// not sent so late that it could take effect after the lease has expired.
    pub fn may_order(&self, now: Millis, checks_fence: bool, destructive: bool) -> Option<u64> {
        let held = self.held(now)?;
        if checks_fence && !destructive {
            return Some(held.fence);
        }
        let earlier_orders_done = now >= held.acquired_at + self.cfg.order_delay;
        let in_time = !destructive || now + self.cfg.order_delay <= held.expires_at;
        (earlier_orders_done && in_time).then_some(held.fence)
    }

    /// Returns the renewal or read that is due, at most one per interval.
    pub fn tick(&mut self, now: Millis) -> Option<LeaseEffect> {
        if now < self.next_tick {
            return None;
        }
        self.next_tick = now + self.cfg.renew_interval;
        match self.held(now) {
            Some(held) if self.unconfirmed.is_empty() => Some(self.write(held.fence, now)),
            _ => Some(LeaseEffect::Read),
        }
    }

    /// Handles the result of a read; `None` means that the object does not exist.
    pub fn on_read(
        &mut self,
        found: Option<(u64, LeaseRecord)>,
        now: Millis,
    ) -> Option<LeaseEffect> {
        let Some((version, record)) = found else { return Some(self.write(0, now)) };
        if record.holder == self.process {
            if let Some(sent) = self.unconfirmed.get(&record.sequence).copied() {
                self.set_held(version, sent, now);
            }
            self.unconfirmed.clear();
            return Some(self.write(version, now));
        }
        self.held = None;
        self.unconfirmed.clear();
        let since = match self.observed {
            Some((seen, since)) if seen == version => since,
            _ => now,
        };
        self.observed = Some((version, since));
        let expired = now > since + self.cfg.term + self.cfg.max_drift;
        (expired || record.holder.is_empty()).then(|| self.write(version, now))
    }

    /// Handles the result of the last write.
    pub fn on_write(&mut self, result: WriteResult, now: Millis) {
        let sent = self.unconfirmed.get(&self.sequence).copied();
        match (result, sent) {
            (WriteResult::Written(version), Some(sent)) => {
                self.unconfirmed.clear();
                self.set_held(version, sent, now);
            }
            (WriteResult::Unsent, _) => {
                self.unconfirmed.remove(&self.sequence);
            }
            // Read without delay to learn who holds the lease.
            _ => self.next_tick = now,
        }
    }

    /// Releases the lease at a planned stop, so that another process need not wait for its expiry.
    pub fn release(self, now: Millis) -> Option<LeaseEffect> {
        let held = self.held(now)?;
        Some(LeaseEffect::Write(LeaseRecord::default(), held.fence))
    }

    fn set_held(&mut self, fence: u64, sent: Millis, now: Millis) {
        let acquired_at = self.held(now).map_or(now, |held| held.acquired_at);
        self.held = Some(HeldLease { fence, acquired_at, expires_at: sent + self.cfg.term });
    }

    fn write(&mut self, expected: u64, now: Millis) -> LeaseEffect {
        self.sequence += 1;
        self.unconfirmed.insert(self.sequence, now);
        let record = LeaseRecord { holder: self.process.clone(), sequence: self.sequence };
        LeaseEffect::Write(record, expected)
    }
}
