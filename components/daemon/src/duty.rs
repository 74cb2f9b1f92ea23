use crate::tables::{Tables, lock_read};
use decision::Millis;
use decision::cluster::{Identity, owners};
use decision::execution::WriteResult;
use decision::orders::{Lease, LeaseConfig, LeaseEffect, LeaseRecord};
use std::time::Duration;
use store::{Store, StoreError};

/// Object kind of leases in the store.
const LEASE_KIND: &str = "leases";

/// A call to the store that takes longer counts as lost.
const STORE_TIMEOUT: Duration = Duration::from_secs(1);

/// Number of daemons that compete for a lease; the others make no calls to the store.
const LEASE_CANDIDATES: usize = 3;

/// The daemons that may own a duty.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DutyScope {
    /// All daemons of the fleet.
    All,
    /// The daemons of this data centre.
    DataCentre,
}

/// A duty with at most one owner at a time, enforced by a lease in the object API.
pub struct Duty {
    name: String,
    scope: DutyScope,
    store: Store,
    lease: Lease,
}

impl Duty {
    /// Creates a duty that this process does not own yet.
    pub fn new(tables: &Tables, name: &str, cfg: LeaseConfig, scope: DutyScope) -> Duty {
        let process = format!("{:032x}", tables.identity);
        Duty {
            name: name.to_string(),
            scope,
            store: Store::new(tables.cfg.store, STORE_TIMEOUT),
            lease: Lease::new(cfg, &process),
        }
    }

    /// Whether this process owns the duty, that is, holds its lease.
    pub fn is_owner(&self, now: Millis) -> bool {
        self.lease.held(now).is_some()
    }

    /// Acquires or renews the lease if that is due. Calls the store, so it may block.
    pub fn acquire_or_renew(&mut self, tables: &Tables) {
        if !self.is_owner(tables.now()) && !self.is_candidate(tables) {
            return;
        }
        let Some(effect) = self.lease.tick(tables.now()) else { return };
        let effect = match effect {
            LeaseEffect::Read => match self.read() {
                Ok(found) => self.lease.on_read(found, tables.now()),
                Err(e) => return log::debug!("cannot read lease {}: {e}", self.name),
            },
            LeaseEffect::Write(..) => Some(effect),
        };
        let Some(LeaseEffect::Write(record, version)) = effect else { return };
        let result = self.write(&record, version);
        self.lease.on_write(result, tables.now());
    }

    /// Releases the lease if this process holds it.
    pub fn release(self, tables: &Tables) {
        let Duty { name, store, lease, .. } = self;
        let Some(LeaseEffect::Write(record, version)) = lease.release(tables.now()) else { return };
        if let Err(e) = store.put(LEASE_KIND, &name, &record, version) {
            log::info!("cannot release lease {name}; it expires by itself: {e}");
        }
    }

    fn is_candidate(&self, tables: &Tables) -> bool {
        let peers = lock_read(&tables.peers);
        let all = self.scope == DutyScope::All;
        let eligible = peers.iter().filter(|(_, p)| all || p.data_centre == tables.cfg.data_centre);
        let members = eligible.map(|(id, _)| *id).chain([tables.identity]).map(Identity);
        owners(members, &self.name, LEASE_CANDIDATES).contains(&Identity(tables.identity))
    }

    /// The fencing number for an order, or `None` if it must not be sent now; see
    /// `Lease::may_order`.
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

/// Classifies the result of a conditional write.
pub fn write_result(written: Result<u64, StoreError>) -> WriteResult {
    match written {
        Ok(version) => WriteResult::Written(version),
        Err(StoreError::Conflict { .. }) => WriteResult::Conflict,
        Err(e) if e.may_have_written() => WriteResult::Lost,
        Err(_) => WriteResult::Unsent,
    }
}
