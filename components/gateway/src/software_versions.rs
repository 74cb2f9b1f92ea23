use crate::adapter::{Adapter, Item};
use crate::clock::now;
use crate::gateway::Gateway;
use crate::update_source::UpdateSource;
use crate::version_store::VersionStore;
use decision::Millis;
use decision::routing::{Registration, SoftwareVersion, VersionKeeper, VersionRecord};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::{sleep, timeout};

/// Time between checks of the record without a notification.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Delay after a failed call.
const RETRY_DELAY: Duration = Duration::from_millis(150);
/// Time after which a daemon that does not read the registry reads the record again, while it says
/// that a service has several versions.
const REREAD_INTERVAL: Millis = Millis(5_000);
/// Writes to the record in a row, if other daemons write to it at the same time.
const MAX_WRITES: usize = 4;
/// Age of the confirmation of the registry from which the versions of endpoints are not known; just
/// longer than it gets in normal operation.
const MAX_REGISTRY_AGE: Millis = Millis(3_000);
/// The time for which keys stay valid without a confirmation, if that is not limited.
const DEFAULT_REVOCATION_BOUND: Millis = Millis(5_000);
/// The time limit of streams while no configuration is known.
const DEFAULT_STREAM_TIME: Millis = Millis(30_000);

/// What a gateway knows of the software versions of endpoints.
#[derive(Debug, Default)]
pub(crate) struct SoftwareVersions {
    /// The record as it was last read; `None` before.
    record: RefCell<Option<VersionRecord>>,
    read_at: Cell<Millis>,
    /// Endpoints of versions that are not yet known to be in the record.
    withheld: RefCell<BTreeMap<String, Registration>>,
    withheld_added: Notify,
}

impl SoftwareVersions {
    pub(crate) fn has_withheld(&self) -> bool {
        !self.withheld.borrow().is_empty()
    }

    /// Records what was read from the store.
    pub(crate) fn set_record(&self, record: VersionRecord, now: Millis) {
        self.record.replace(Some(record));
        self.read_at.set(now);
    }

    /// The services whose streams may have begun at several versions; `None` if the record was
    /// never read.
    pub(crate) fn services_with_several<A: Adapter>(
        &self,
        gateway: &Gateway<A>,
    ) -> Option<BTreeSet<String>> {
        let listed = gateway.directory().software_versions();
        let record = self.record.borrow();
        record.as_ref().map(|record| record.services_with_several_versions(&listed))
    }
}

/// Whether this daemon knows the software versions of endpoints: one may have restarted with another
/// under its id, which is all that a request can name. The error states for how long it does not.
pub(crate) fn check_versions_known<A: Adapter>(
    gateway: &Gateway<A>,
    now: Millis,
) -> Result<(), String> {
    match gateway.freshness.borrow().registry_age(now) {
        Some(age) if age < MAX_REGISTRY_AGE => Ok(()),
        Some(age) => Err(format!("the registry was last confirmed {} ms ago", age.0)),
        None => Err(String::from("the registry was never confirmed")),
    }
}

/// The time for which a version stays in the record after its last endpoint was listed: no stream
/// that began there lasts longer, also at a daemon that is cut off.
pub(crate) fn retention<A: Adapter>(gateway: &Gateway<A>) -> Millis {
    let catalog = gateway.catalog();
    let streams = catalog.iter().flat_map(|catalog| &catalog.configuration().routes);
    let longest = streams.filter(|route| route.streamed).map(|route| route.timeout).max();
    let longest = longest.unwrap_or(DEFAULT_STREAM_TIME);
    let revocation = gateway.settings().revocation_bound.unwrap_or(DEFAULT_REVOCATION_BOUND);
    longest + longest + revocation
}

/// Passes on the entries of endpoints whose versions are in the record, and withholds the others
/// until they are. `is_complete` says that no other endpoint is registered.
pub(crate) fn admit<A: Adapter>(
    gateway: &Gateway<A>,
    items: Vec<Item<Registration>>,
    is_complete: bool,
    now: Millis,
) -> Vec<Item<Registration>> {
    let mut withheld = gateway.versions.withheld.borrow_mut();
    if is_complete {
        withheld.clear();
    }
    let mut admitted = Vec::with_capacity(items.len());
    let mut replaced = Vec::new();
    for item in items {
        match &item.value {
            Some(Ok(entry)) if !entry.draining && !is_in_use(gateway, &item.name, entry, now) => {
                withheld.insert(item.name.clone(), entry.clone());
                // Requests must not be sent to a former incarnation either.
                replaced.push(item.name);
            }
            _ => {
                withheld.remove(&item.name);
                admitted.push(item);
            }
        }
    }
    drop(withheld);
    if !replaced.is_empty() {
        let changes = replaced.iter().filter_map(|id| gateway.directory.borrow_mut().remove(id));
        let changes: Vec<_> = changes.collect();
        gateway.publish_registry_changes(&changes);
        gateway.versions.withheld_added.notify_one();
    }
    admitted
}

/// Whether new streams may begin at an endpoint: one of its version is in use already. A daemon that
/// has not read the registry for long cannot tell, since the version may have left the record.
fn is_in_use<A: Adapter>(
    gateway: &Gateway<A>,
    id: &str,
    entry: &Registration,
    now: Millis,
) -> bool {
    let age = gateway.freshness.borrow().registry_age(now);
    if age.is_none_or(|age| age + age > retention(gateway)) {
        return false;
    }
    let directory = gateway.directory();
    let is_same = |known: &Registration| {
        known.service == entry.service && known.software_version == entry.software_version
    };
    directory.get(id).is_some_and(is_same) || directory.usable().any(|(_, known)| is_same(known))
}

/// Uses the withheld endpoints whose versions are in the record.
fn release_withheld<A: Adapter>(gateway: &Gateway<A>, record: &VersionRecord) {
    let mut withheld = gateway.versions.withheld.borrow_mut();
    let is_released = |entry: &Registration| record.is_in_service(&entry.version());
    let (released, kept) =
        std::mem::take(&mut *withheld).into_iter().partition(|(_, entry)| is_released(entry));
    *withheld = kept;
    drop(withheld);
    let released: BTreeMap<String, Registration> = released;
    let mut directory = gateway.directory.borrow_mut();
    let changes = released.into_iter().filter_map(|(id, entry)| directory.put(&id, entry));
    let changes: Vec<_> = changes.collect();
    drop(directory);
    gateway.publish_registry_changes(&changes);
    gateway.mark_registry_known();
    gateway.queue_progress.notify_waiters();
}

/// Keeps the record up to date while this daemon reads the registry, and reads it otherwise. Never
/// returns.
pub(crate) async fn keep_versions<A: Adapter>(gateway: Rc<Gateway<A>>) {
    let mut store = VersionStore::default();
    let mut keeper = VersionKeeper::default();
    let mut checked_at = now();
    let mut is_failing = false;
    loop {
        // The record is also checked without a notification.
        let _ = timeout(CHECK_INTERVAL, gateway.versions.withheld_added.notified()).await;
        if !was_read_without_a_gap(&gateway, checked_at, now()) {
            keeper.restart();
        }
        checked_at = now();
        if !needs_store(&gateway, &mut keeper, checked_at) {
            continue;
        }
        let result = update_record(&gateway, &mut store, &mut keeper).await;
        if let Err(text) = &result
            && !is_failing
        {
            tracing::warn!(event = "versions_not_kept", text);
        }
        is_failing = result.is_err();
        if is_failing {
            gateway.versions.withheld_added.notify_one();
            sleep(RETRY_DELAY).await;
        }
    }
}

/// Whether this daemon has read the registry since `since` without a gap.
fn was_read_without_a_gap<A: Adapter>(gateway: &Gateway<A>, since: Millis, now: Millis) -> bool {
    let continuous_for = gateway.freshness.borrow().continuous_for(now);
    gateway.update_source.get() == UpdateSource::Store
        && continuous_for.is_some_and(|time| time >= now.since(since))
}

fn needs_store<A: Adapter>(gateway: &Gateway<A>, keeper: &mut VersionKeeper, now: Millis) -> bool {
    let versions = &gateway.versions;
    if versions.has_withheld() {
        return true;
    }
    if !gateway.is_initialized() {
        return false;
    }
    let record = versions.record.borrow();
    let Some(record) = record.as_ref() else { return true };
    if gateway.update_source.get() == UpdateSource::Store {
        let listed = gateway.directory().software_versions();
        return keeper.update(record, &listed, retention(gateway), now).is_some();
    }
    let has_several = !record.services_with_several_versions(&BTreeSet::new()).is_empty();
    has_several && now.since(versions.read_at.get()) >= REREAD_INTERVAL
}

/// Reads the record and, while this daemon reads the registry, writes what has changed.
async fn update_record<A: Adapter>(
    gateway: &Gateway<A>,
    store: &mut VersionStore,
    keeper: &mut VersionKeeper,
) -> Result<(), String> {
    for _ in 0..MAX_WRITES {
        let (record, revision) = store.read(gateway).await?;
        gateway.versions.set_record(record.clone(), now());
        if gateway.update_source.get() != UpdateSource::Store {
            return Ok(());
        }
        release_withheld(gateway, &record);
        let listed = registered_versions(gateway);
        let Some(updated) = keeper.update(&record, &listed, retention(gateway), now()) else {
            return Ok(());
        };
        tracing::info!(event = "versions_changed", before = ?record, after = ?updated);
        store.replace(gateway, &updated, revision).await?;
    }
    Err(String::from("other daemons write to the record at the same time"))
}

/// The versions of all endpoints in the registry, withheld ones included.
fn registered_versions<A: Adapter>(gateway: &Gateway<A>) -> BTreeSet<SoftwareVersion> {
    let mut versions = gateway.directory().software_versions();
    versions.extend(gateway.versions.withheld.borrow().values().map(Registration::version));
    versions
}
