use crate::Millis;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Time between the mark on a version that is not seen any more and its removal: an endpoint of it
/// that registers meanwhile is seen by the store reader that would remove it.
const REMOVAL_DELAY: Millis = Millis(5_000);

/// A version of the software of a service's endpoints.
#[derive(Clone, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct SoftwareVersion {
    /// The name of the service.
    pub service: String,
    /// The version, as its endpoints state it.
    pub version: String,
}

/// Whether new streams may begin at a version.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
enum VersionState {
    InService,
    /// No endpoint of it was seen for long; it is in service again only after another write.
    Retiring,
}

/// The software versions at which streams may have begun that have not ended.
///
/// It is kept in the store. A version is added before the first stream begins at it, so a stream
/// began at one of the versions of a record that is read afterwards.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct VersionRecord {
    /// The versions by service.
    services: BTreeMap<String, BTreeMap<String, VersionState>>,
}

impl VersionRecord {
    /// Returns the version at which all streams of a service began; `None` if there are several or
    /// none.
    pub fn only_version(&self, service: &str) -> Option<SoftwareVersion> {
        let mut versions = self.services.get(service)?.keys();
        let version = versions.next().filter(|_| versions.next().is_none())?.clone();
        Some(SoftwareVersion { service: service.to_owned(), version })
    }

    /// Returns whether new streams may begin at a version.
    pub fn is_in_service(&self, version: &SoftwareVersion) -> bool {
        let versions = self.services.get(&version.service);
        versions.and_then(|v| v.get(&version.version)) == Some(&VersionState::InService)
    }

    /// Returns all versions.
    pub fn versions(&self) -> impl Iterator<Item = SoftwareVersion> {
        self.services.iter().flat_map(|(service, versions)| {
            versions.keys().map(|version| SoftwareVersion {
                service: service.clone(),
                version: version.clone(),
            })
        })
    }

    /// Returns the services that have other versions than one, those of `listed` included.
    pub fn services_with_several_versions(
        &self,
        listed: &BTreeSet<SoftwareVersion>,
    ) -> BTreeSet<String> {
        let mut several = BTreeSet::new();
        let mut only: BTreeMap<String, String> = BTreeMap::new();
        for SoftwareVersion { service, version } in self.versions().chain(listed.iter().cloned()) {
            let first = only.entry(service.clone()).or_insert_with(|| version.clone());
            if *first != version {
                several.insert(service);
            }
        }
        several
    }

    fn set(&mut self, version: &SoftwareVersion, state: Option<VersionState>) {
        let versions = self.services.entry(version.service.clone()).or_default();
        match state {
            Some(state) => versions.insert(version.version.clone(), state),
            None => versions.remove(&version.version),
        };
    }
}

/// Decides when a store reader adds versions to the record, and removes them.
#[derive(Clone, Debug, Default)]
pub struct VersionKeeper {
    /// Since when no endpoint of a version has been listed.
    unlisted_since: BTreeMap<SoftwareVersion, Millis>,
}

impl VersionKeeper {
    /// Forgets what was not listed, as after a time in which the registry was not read.
    pub fn restart(&mut self) {
        self.unlisted_since.clear();
    }

    /// Returns the record that replaces `record` if endpoints of the versions `listed` are in the
    /// registry; `None` if nothing changes. No stream lasts longer than `retention`.
    pub fn update(
        &mut self,
        record: &VersionRecord,
        listed: &BTreeSet<SoftwareVersion>,
        retention: Millis,
        now: Millis,
    ) -> Option<VersionRecord> {
        let mut updated = record.clone();
        for version in listed {
            self.unlisted_since.remove(version);
            updated.set(version, Some(VersionState::InService));
        }
        for version in record.versions().filter(|version| !listed.contains(version)) {
            let since = *self.unlisted_since.entry(version.clone()).or_insert(now);
            // Without any endpoint, a service has streams of no other version.
            let is_replaced = listed.iter().any(|other| other.service == version.service);
            let unlisted_for = now.since(since);
            if !is_replaced || unlisted_for < retention {
                continue;
            }
            if record.is_in_service(&version) {
                updated.set(&version, Some(VersionState::Retiring));
            } else if unlisted_for >= retention + REMOVAL_DELAY {
                updated.set(&version, None);
            }
        }
        (updated != *record).then_some(updated)
    }
}
