use super::departures::{Departures, Incarnation};
use super::set_digest::SetDigest;
use super::version_record::SoftwareVersion;
use crate::Millis;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Time that endpoints have to register again after an outage of the store in which their entries
/// expired. According to the platform, they do so within about two seconds.
pub const REREGISTRATION_TIMEOUT: Millis = Millis(2_200);

/// Time without a store response after which entries may have expired. Endpoints send a heartbeat
/// each second and an entry expires after three missed ones; this is the time of two.
pub const OUTAGE_THRESHOLD: Millis = Millis(2_000);

/// The entry by which an endpoint announces itself in the registry.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct Registration {
    /// The name of the service that it belongs to.
    pub service: String,
    /// Its address and port.
    pub address: String,
    /// Its data centre.
    pub data_centre: String,
    /// The number of requests that it runs concurrently.
    pub slots: u32,
    /// The version of its software, not of the weights that it serves; empty if it is unknown.
    pub software_version: String,
    /// Whether it is shutting down and accepts no new requests.
    pub draining: bool,
    /// When it started, in milliseconds of Unix time; distinguishes incarnations under one id.
    pub started: u64,
    /// The number of its heartbeats; restarts with each incarnation.
    pub heartbeats: u64,
    /// Whether it runs on capacity that costs less and may be reclaimed.
    #[serde(skip_serializing_if = "is_false")]
    pub spot: bool,
    /// The time until it is gone, in milliseconds, if it is being reclaimed.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub leaves_ms: Option<u64>,
}

/// Leaves a field out of the encoding, so that it is as in builds without that field.
fn is_false(value: &bool) -> bool {
    !value
}

impl Registration {
    /// Returns the software version and its service.
    pub fn version(&self) -> SoftwareVersion {
        SoftwareVersion { service: self.service.clone(), version: self.software_version.clone() }
    }

    /// Returns the incarnation that the registration belongs to.
    pub fn incarnation(&self) -> Incarnation {
        Incarnation { started: self.started, address: self.address.clone() }
    }

    /// Returns whether `other`, a later registration under the same id, belongs to the same
    /// incarnation. A lower number of heartbeats means that the endpoint has restarted.
    fn is_same_incarnation(&self, other: &Registration) -> bool {
        self.started == other.started
            && self.address == other.address
            && self.service == other.service
            && self.software_version == other.software_version
            && self.heartbeats <= other.heartbeats
    }
}

/// An endpoint of the registry.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ListedEndpoint {
    /// The latest registration, kept while its entry is missing.
    pub registration: Registration,
    missing: Option<MissingEntry>,
}

/// An entry that was not found after an outage of the store. The endpoint may have left, or the entry
/// may have expired in the outage.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct MissingEntry {
    /// When it was first found missing.
    since: Millis,
    /// Whether a follower got a copy in which the entry is missing.
    is_passed_on: bool,
}

/// An endpoint in a copy of the directory for followers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CopiedEndpoint<'a> {
    /// The id of the endpoint.
    pub id: &'a str,
    /// Its latest registration.
    pub registration: &'a Registration,
    /// Whether its entry is missing, so that it may have left.
    pub is_missing: bool,
}

/// A change to the endpoints that requests may be sent to.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum DirectoryChange {
    /// A new endpoint, or a new incarnation under a known id.
    Joined(String),
    /// An endpoint whose entry was missing in a copy for followers has registered again.
    Returned(String),
    /// The endpoint is draining, said that it leaves, or was removed.
    Left(String),
}

/// The endpoints of the registry. They stay listed during outages of the store.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    listed: BTreeMap<String, ListedEndpoint>,
    /// The endpoints that leave, as they said in an entry or a response. They are listed as
    /// draining, whatever their entries say later.
    departures: Departures,
}

impl Directory {
    /// Adds or updates the registration of an endpoint. Returns `None` for a known incarnation that
    /// neither starts to drain nor returns, and for one that is known to leave.
    pub fn put(&mut self, id: &str, registration: Registration) -> Option<DirectoryChange> {
        if registration.draining {
            self.departures.record(id, registration.incarnation());
        }
        let has_departed = self.departures.contains(id, &registration.incarnation());
        let registration = Registration { draining: has_departed, ..registration };
        let before = self.listed.get(id).map(|listed| &listed.registration);
        let was_usable = before.is_some_and(|before| !before.draining);
        let is_known = before.is_some_and(|before| before.is_same_incarnation(&registration));
        let was_listed = before.is_some();
        let missing = self.listed.get(id).and_then(|listed| listed.missing);
        self.listed.insert(id.to_owned(), ListedEndpoint { registration, missing: None });
        if has_departed {
            let has_left = was_usable || !was_listed;
            return has_left.then(|| DirectoryChange::Left(id.to_owned()));
        }
        if !was_usable || !is_known {
            return Some(DirectoryChange::Joined(id.to_owned()));
        }
        let has_returned = missing.is_some_and(|missing| missing.is_passed_on);
        has_returned.then(|| DirectoryChange::Returned(id.to_owned()))
    }

    /// Records that an endpoint said that it leaves. Returns `None` if that changes nothing: it is
    /// known, or the endpoint is not listed, or another incarnation of it is.
    pub fn record_departure(
        &mut self,
        id: &str,
        incarnation: &Incarnation,
    ) -> Option<DirectoryChange> {
        self.departures.record(id, incarnation.clone());
        let listed = self.listed.get_mut(id)?;
        let registration = &mut listed.registration;
        let has_departed = self.departures.contains(id, &registration.incarnation());
        if registration.draining || !has_departed {
            return None;
        }
        registration.draining = true;
        Some(DirectoryChange::Left(id.to_owned()))
    }

    /// Returns whether an incarnation of an endpoint said that it leaves.
    pub fn has_departed(&self, id: &str, incarnation: &Incarnation) -> bool {
        self.departures.contains(id, incarnation)
    }

    /// Returns the number of listed endpoints that leave.
    pub fn leaving(&self) -> usize {
        let is_listed = |id: &&str| {
            let listed = self.listed.get(*id);
            let incarnation = listed.map(|listed| listed.registration.incarnation());
            incarnation.is_some_and(|incarnation| self.departures.contains(id, &incarnation))
        };
        self.departures.ids().filter(is_listed).count()
    }

    /// Removes an endpoint whose entry was deleted while the store was available.
    pub fn remove(&mut self, id: &str) -> Option<DirectoryChange> {
        self.listed.remove(id).map(|_| DirectoryChange::Left(id.to_owned()))
    }

    /// Replaces the directory with a complete listing of the registry, or the part of it in some groups
    /// of its digest with a listing of these (`groups`, `None` for all). After an outage, an endpoint
    /// whose entry is missing stays listed until [`REREGISTRATION_TIMEOUT`] has passed.
    pub fn replace(
        &mut self,
        entries: BTreeMap<String, Registration>,
        groups: Option<&BTreeSet<u32>>,
        after_outage: bool,
        now: Millis,
    ) -> Vec<DirectoryChange> {
        let mut changes = Vec::new();
        let is_missing = |id: &&String| !entries.contains_key(*id) && is_in_groups(id, groups);
        let missing: Vec<String> = self.listed.keys().filter(is_missing).cloned().collect();
        for id in missing {
            if after_outage {
                self.mark_missing(&id, now);
            } else {
                changes.extend(self.remove(&id));
            }
        }
        for (id, registration) in entries {
            changes.extend(self.put(&id, registration));
        }
        changes
    }

    /// Records that the entry of an endpoint was removed during or just after an outage. The
    /// endpoint stays listed until [`REREGISTRATION_TIMEOUT`] has passed.
    pub fn mark_missing(&mut self, id: &str, now: Millis) {
        if let Some(listed) = self.listed.get_mut(id) {
            listed.missing.get_or_insert(MissingEntry { since: now, is_passed_on: false });
        }
    }

    /// Removes endpoints that have not registered again in time.
    pub fn expire(&mut self, now: Millis) -> Vec<DirectoryChange> {
        let expired: Vec<String> = self
            .listed
            .iter()
            .filter(|(_, l)| {
                l.missing.is_some_and(|entry| now.since(entry.since) >= REREGISTRATION_TIMEOUT)
            })
            .map(|(id, _)| id.clone())
            .collect();
        expired.iter().filter_map(|id| self.remove(id)).collect()
    }

    /// Removes all endpoints whose entries are missing: the store was available all the time, so
    /// the entries did not expire in an outage.
    pub fn remove_missing(&mut self) -> Vec<DirectoryChange> {
        let is_missing = |(_, listed): &(&String, &ListedEndpoint)| listed.missing.is_some();
        let missing: Vec<String> =
            self.listed.iter().filter(is_missing).map(|(id, _)| id.clone()).collect();
        missing.iter().filter_map(|id| self.remove(id)).collect()
    }

    /// Returns the registration of an endpoint if it is listed and accepts new requests.
    pub fn get(&self, id: &str) -> Option<&Registration> {
        self.listed.get(id).map(|l| &l.registration).filter(|r| !r.draining)
    }

    /// Returns the number of endpoints whose entries are missing.
    pub fn missing(&self) -> usize {
        self.listed.values().filter(|listed| listed.missing.is_some()).count()
    }

    /// Returns a digest of the endpoints, to compare with that of another daemon. The number of
    /// heartbeats is not part of it, since it is not passed on.
    pub fn digest(&self) -> SetDigest {
        let mut digest = SetDigest::default();
        for (id, listed) in &self.listed {
            let r = &listed.registration;
            digest.toggle(
                id.as_bytes(),
                &[
                    r.service.as_bytes(),
                    r.address.as_bytes(),
                    r.data_centre.as_bytes(),
                    r.software_version.as_bytes(),
                    &r.slots.to_be_bytes(),
                    &r.started.to_be_bytes(),
                    &[u8::from(r.draining), u8::from(listed.missing.is_some())],
                ],
            );
        }
        digest
    }

    /// Returns the endpoints of some groups of the digest, `None` for all, for a follower, by id.
    /// Draining ones are included: after an outage, a follower keeps endpoints that are missing here.
    pub fn copy(
        &mut self,
        groups: Option<&BTreeSet<u32>>,
    ) -> impl Iterator<Item = CopiedEndpoint<'_>> {
        let listed = self.listed.iter_mut().filter(move |(id, _)| is_in_groups(id, groups));
        listed.map(|(id, listed)| {
            if let Some(missing) = &mut listed.missing {
                missing.is_passed_on = true;
            }
            let is_missing = listed.missing.is_some();
            CopiedEndpoint { id, registration: &listed.registration, is_missing }
        })
    }

    /// Returns all endpoints, by id, draining ones and those whose entries are missing included.
    pub fn listed(&self) -> impl Iterator<Item = (&str, &Registration)> {
        self.listed.iter().map(|(id, listed)| (id.as_str(), &listed.registration))
    }

    /// Returns the latest registration of an endpoint, also of one that is draining.
    pub fn listed_registration(&self, id: &str) -> Option<&Registration> {
        self.listed.get(id).map(|listed| &listed.registration)
    }

    /// Returns the software versions of all endpoints, draining ones included.
    pub fn software_versions(&self) -> BTreeSet<SoftwareVersion> {
        let mut versions: BTreeSet<(&str, &str)> = BTreeSet::new();
        for (_, registration) in self.listed() {
            versions.insert((&registration.service, &registration.software_version));
        }
        let owned = |(service, version): (&str, &str)| SoftwareVersion {
            service: service.to_owned(),
            version: version.to_owned(),
        };
        versions.into_iter().map(owned).collect()
    }

    /// Returns all endpoints that accept new requests, by id.
    pub fn usable(&self) -> impl Iterator<Item = (&str, &Registration)> {
        self.listed().filter(|(_, r)| !r.draining)
    }

    /// Returns the ids of the endpoints that accept new requests, by service.
    pub fn usable_by_service(&self) -> BTreeMap<&str, BTreeSet<&str>> {
        let mut services: BTreeMap<&str, BTreeSet<&str>> = BTreeMap::new();
        for (id, registration) in self.usable() {
            services.entry(&registration.service).or_default().insert(id);
        }
        services
    }

    /// Returns the endpoints of a service that accept new requests, by id.
    pub fn of_service<'a>(
        &'a self,
        service: &'a str,
    ) -> impl Iterator<Item = (&'a str, &'a Registration)> {
        self.usable().filter(move |(_, r)| r.service == service)
    }
}

fn is_in_groups(id: &str, groups: Option<&BTreeSet<u32>>) -> bool {
    groups.is_none_or(|groups| groups.contains(&SetDigest::group_of(id.as_bytes())))
}
