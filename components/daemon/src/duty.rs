use crate::tables::{Tables, lock_read};
use decision::Millis;
use decision::cluster::{Identity, owners};
use decision::execution::WriteResult;
use decision::orders::{Lease, LeaseConfig, LeaseEffect, LeaseRecord};
use std::time::Duration;
use store::{Store, StoreError};

/// The kind of the objects that hold leases.
const LEASE_KIND: &str = "leases";

/// The time after which a call to the store counts as lost.
const STORE_TIMEOUT: Duration = Duration::from_secs(1);

/// Daemons that ask for a lease; the others leave the store alone.
const CANDIDATES: usize = 3;

/// The daemons among which a duty is given.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DutyScope {
    /// All daemons.
    All,
    /// Those of this data centre.
    DataCentre,
}

/// A duty that one daemon does at a time, by a lease in the object API.
pub struct Duty {
    name: String,
    members: DutyScope,
    store: Store,
    lease: Lease,
}

impl Duty {
    /// Creates a duty that this process does not do yet.
    pub fn new(tables: &Tables, name: &str, cfg: LeaseConfig, members: DutyScope) -> Duty {
        let process = format!("{:032x}", tables.instance);
        Duty {
            name: name.to_string(),
            members,
            store: Store::new(tables.cfg.store, STORE_TIMEOUT),
            lease: Lease::new(cfg, &process),
        }
    }

    /// Returns whether this process holds the lease.
    pub fn is_held(&self, now: Millis) -> bool {
        self.lease.held(now).is_some()
    }

    /// Asks for the lease or renews it when that is due.
    pub fn step(&mut self, tables: &Tables) {
        if !self.is_held(tables.now()) && !self.is_candidate(tables) {
            return;
        }
        let Some(effect) = self.lease.tick(tables.now()) else { return };
        let effect = match effect {
            LeaseEffect::Read => match self.read() {
                Ok(found) => self.lease.on_read(found, tables.now()),
                Err(e) => return log::debug!("lease {}: {e}", self.name),
            },
            LeaseEffect::Write(..) => Some(effect),
        };
        let Some(LeaseEffect::Write(record, version)) = effect else { return };
        let answer = self.write(&record, version);
        self.lease.on_write(answer, tables.now());
    }

    /// Gives the lease up.
    pub fn close(self, tables: &Tables) {
        let Duty { name, store, lease, .. } = self;
        let Some(LeaseEffect::Write(record, version)) = lease.release(tables.now()) else {
            return;
        };
        if let Err(e) = store.put(LEASE_KIND, &name, &record, version) {
            log::info!("lease {name}: {e}");
        }
    }

    fn is_candidate(&self, tables: &Tables) -> bool {
        let peers = lock_read(&tables.peers);
        let all = self.members == DutyScope::All;
        let fit = peers.iter().filter(|(_, p)| all || p.data_centre == tables.cfg.data_centre);
        let members = fit.map(|(id, _)| *id).chain([tables.instance]).map(Identity);
        owners(members, &self.name, CANDIDATES).contains(&Identity(tables.instance))
    }

    /// Returns the fencing number if an order may be sent now.
    pub fn may_order(&self, now: Millis, checks_fence: bool, destructive: bool) -> Option<u64> {
        self.lease.may_order(now, checks_fence, destructive)
    }

    fn read(&self) -> Result<Option<(u64, LeaseRecord)>, StoreError> {
        let found = self.store.get::<LeaseRecord>(LEASE_KIND, &self.name)?;
        Ok(found.map(|object| (object.version, object.value)))
    }

    fn write(&self, record: &LeaseRecord, version: u64) -> WriteResult {
        write_result(self.store.put(LEASE_KIND, &self.name, record, version))
    }
}

/// Says what the answer to a conditional write means.
pub fn write_result(written: Result<u64, StoreError>) -> WriteResult {
    match written {
        Ok(version) => WriteResult::Written(version),
        Err(StoreError::Conflict { .. }) => WriteResult::Conflict,
        Err(e) if e.may_have_written() => WriteResult::Lost,
        Err(_) => WriteResult::Unsent,
    }
}
