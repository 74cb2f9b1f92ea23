use crate::adapter::{Adapter, Changes, Item, ObjectKind, Page};
use crate::clock::now;
use crate::configuration_history::NewConfiguration;
use crate::gateway::{Change, Gateway};
use crate::software_versions::admit;
use decision::Millis;
use decision::routing::{Catalog, Configuration, Registration, Source};
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// How objects of one kind are decoded and applied.
pub(crate) trait ObjectFeed {
    type Value;

    const KIND: ObjectKind;
    /// The source that the store is for these objects.
    const SOURCE: Source;
    /// How long the store may delay the response to a watch.
    const WATCH_WAIT: Millis;

    /// Decodes a page of a list.
    fn read_page<A: Adapter>(adapter: &A, body: &[u8]) -> Result<Page<Self::Value>, String>;

    /// Decodes the response to a watch.
    fn read_changes<A: Adapter>(adapter: &A, body: &[u8]) -> Result<Changes<Self::Value>, String>;

    /// Decides which objects from the store may be applied now; `is_complete` says that these are all
    /// of the kind.
    fn admit<A: Adapter>(
        _gateway: &Gateway<A>,
        items: Vec<Item<Self::Value>>,
        _is_complete: bool,
        _now: Millis,
    ) -> Vec<Item<Self::Value>> {
        items
    }

    /// Replaces all objects of the kind. With `after_outage`, an endpoint whose entry is missing
    /// has time to register again before it is removed.
    fn replace<A: Adapter>(
        gateway: &Gateway<A>,
        items: Vec<Item<Self::Value>>,
        after_outage: bool,
        now: Millis,
    );

    /// Applies one change; `after_outage` as in [`ObjectFeed::replace`].
    fn apply_change<A: Adapter>(
        gateway: &Gateway<A>,
        item: Item<Self::Value>,
        after_outage: bool,
        now: Millis,
    );

    /// Records that all changes made before the store was called at the time `sent` are applied.
    fn confirm<A: Adapter>(gateway: &Gateway<A>, sent: Millis);
}

/// The name of the object that holds the current configuration.
const CONFIGURATION_NAME: &str = "main";

/// The feed of the operators' configuration.
pub(crate) struct Configurations;

impl ObjectFeed for Configurations {
    type Value = Configuration;

    const KIND: ObjectKind = ObjectKind::Configuration;
    const SOURCE: Source = Source::Configurations;
    /// Longer than the second for which a store that drops its history may withhold changes. Two
    /// consecutive waits, plus the waits of a follower, stay within a revocation bound of five
    /// seconds.
    const WATCH_WAIT: Millis = Millis(1_100);

    fn read_page<A: Adapter>(adapter: &A, body: &[u8]) -> Result<Page<Configuration>, String> {
        adapter.read_configurations(body)
    }

    fn read_changes<A: Adapter>(
        adapter: &A,
        body: &[u8],
    ) -> Result<Changes<Configuration>, String> {
        adapter.read_configuration_changes(body)
    }

    fn replace<A: Adapter>(
        gateway: &Gateway<A>,
        items: Vec<Item<Configuration>>,
        after_outage: bool,
        now: Millis,
    ) {
        for item in items {
            Self::apply_change(gateway, item, after_outage, now);
        }
    }

    fn apply_change<A: Adapter>(
        gateway: &Gateway<A>,
        item: Item<Configuration>,
        _after_outage: bool,
        _now: Millis,
    ) {
        if item.name != CONFIGURATION_NAME {
            return;
        }
        match item.value {
            Some(Ok(configuration)) => activate(gateway, configuration),
            Some(Err(text)) => {
                tracing::error!(event = "configuration_unreadable", name = %item.name, text);
            }
            None => tracing::warn!(event = "configuration_deleted", name = %item.name),
        }
    }

    fn confirm<A: Adapter>(gateway: &Gateway<A>, sent: Millis) {
        let mut freshness = gateway.freshness.borrow_mut();
        freshness.confirm(sent);
        if gateway.registry_watched.get() {
            // The watch would have returned a change.
            freshness.confirm_registry(sent);
        }
    }
}

/// Activates what is newer of a configuration than the active one.
pub(crate) fn activate<A: Adapter>(gateway: &Gateway<A>, new: impl Into<NewConfiguration>) {
    let new = new.into();
    let received = new.configuration.version;
    let before = gateway.catalog().map(|catalog| catalog.configuration().version);
    let merged = gateway.configurations.borrow().merge(new);
    let Some(NewConfiguration { configuration, accounts_version }) = merged else {
        if before != Some(received) {
            tracing::warn!(event = "configuration_older", version = received, in_force = before);
        }
        return;
    };
    let version = configuration.version;
    let is_new = before != Some(version);
    tracing::info!(
        event = if is_new { "configuration_in_force" } else { "accounts_in_force" },
        version,
        before,
        accounts_version,
        routes = configuration.routes.len(),
        accounts = configuration.accounts.as_ref().map_or(0, Vec::len),
    );
    gateway.metrics.configuration_version.set(version as i64);
    let catalog = Rc::new(Catalog::new(configuration));
    gateway.configurations.borrow_mut().activate(catalog.clone(), accounts_version, now());
    gateway.catalog.replace(Some(catalog));
    gateway.publish(Change::Configuration);
}

/// The feed of the registry of endpoints.
pub(crate) struct Endpoints;

impl ObjectFeed for Endpoints {
    type Value = Registration;

    const KIND: ObjectKind = ObjectKind::Endpoints;
    const SOURCE: Source = Source::Endpoints;
    /// Changes are returned at once; the wait only limits how long a lost watch goes undetected. With the
    /// time by which the response may be late, and a call on another connection, it stays within four
    /// seconds, after which a daemon that lost its connections must know all changes again.
    const WATCH_WAIT: Millis = Millis(2_500);

    fn read_page<A: Adapter>(adapter: &A, body: &[u8]) -> Result<Page<Registration>, String> {
        adapter.read_registrations(body)
    }

    fn read_changes<A: Adapter>(adapter: &A, body: &[u8]) -> Result<Changes<Registration>, String> {
        adapter.read_registration_changes(body)
    }

    /// Withholds endpoints at whose software version no stream may begin yet.
    fn admit<A: Adapter>(
        gateway: &Gateway<A>,
        items: Vec<Item<Registration>>,
        is_complete: bool,
        now: Millis,
    ) -> Vec<Item<Registration>> {
        admit(gateway, items, is_complete, now)
    }

    fn replace<A: Adapter>(
        gateway: &Gateway<A>,
        items: Vec<Item<Registration>>,
        after_outage: bool,
        now: Millis,
    ) {
        replace_endpoints(gateway, items, None, after_outage, now);
    }

    fn apply_change<A: Adapter>(
        gateway: &Gateway<A>,
        item: Item<Registration>,
        after_outage: bool,
        now: Millis,
    ) {
        let mut directory = gateway.directory.borrow_mut();
        let change = match item.value {
            Some(Ok(registration)) => directory.put(&item.name, registration),
            Some(Err(text)) => {
                log_malformed(&item.name, &text);
                directory.remove(&item.name)
            }
            None if after_outage => {
                directory.mark_missing(&item.name, now);
                None
            }
            None => directory.remove(&item.name),
        };
        drop(directory);
        gateway.publish_registry_changes(change.as_slice());
    }

    fn confirm<A: Adapter>(gateway: &Gateway<A>, sent: Millis) {
        gateway.freshness.borrow_mut().confirm_registry(sent);
        gateway.registry_watched.set(true);
    }
}

/// Replaces the endpoints of some groups of the registry's digest, `None` for all; `after_outage` as in
/// [`ObjectFeed::replace`].
pub(crate) fn replace_endpoints<A: Adapter>(
    gateway: &Gateway<A>,
    items: Vec<Item<Registration>>,
    groups: Option<&BTreeSet<u32>>,
    after_outage: bool,
    now: Millis,
) {
    let mut entries = BTreeMap::new();
    for item in items {
        match item.value {
            Some(Ok(registration)) => {
                entries.insert(item.name, registration);
            }
            Some(Err(text)) => log_malformed(&item.name, &text),
            None => {}
        }
    }
    let changes = gateway.directory.borrow_mut().replace(entries, groups, after_outage, now);
    gateway.publish_registry_changes(&changes);
    gateway.mark_registry_known();
}

fn log_malformed(id: &str, text: &str) {
    tracing::warn!(event = "endpoint_unreadable", endpoint = %id, text);
}

/// Encodes a value for a peer; logs a failure and returns `None`.
pub(crate) fn to_json<T: Serialize>(value: &T) -> Option<String> {
    match serde_json::to_string(value) {
        Ok(text) => Some(text),
        Err(e) => {
            tracing::error!(event = "value_not_encoded", error = %e);
            None
        }
    }
}
