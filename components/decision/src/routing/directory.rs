use crate::Millis;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// How long entries that lapsed while the store was away may take to come back, after which an
/// endpoint without one is gone. The platform states about two seconds.
pub const REREGISTRATION_TIMEOUT: Millis = Millis(2_200);

/// What an endpoint says of itself in the registry.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct Registration {
    /// The service that it serves.
    pub service: String,
    /// Its address and port.
    pub address: String,
    /// Its data centre.
    pub data_centre: String,
    /// The requests that it runs at once.
    pub slots: u32,
    /// Whether it takes no new requests.
    pub draining: bool,
    /// When it started, in milliseconds of Unix time; tells two lives under one id apart.
    pub started: u64,
    /// Counts its heartbeats; starts anew with a new life.
    pub heartbeats: u64,
}

impl Registration {
    fn same_life(&self, other: &Registration) -> bool {
        self.started == other.started
            && self.address == other.address
            && self.service == other.service
            && self.heartbeats <= other.heartbeats
    }
}

/// An endpoint of the registry.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Listed {
    /// Its latest registration.
    pub registration: Registration,
    /// Since when its entry is missing after an outage of the store.
    missing_since: Option<Millis>,
}

/// A change to the endpoints that requests may be sent to.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum DirectoryChange {
    /// A new endpoint, or a new life under a known id.
    Joined(String),
    /// The endpoint takes no new requests.
    Left(String),
}

/// The endpoints of the registry, kept over outages of the store.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    listed: BTreeMap<String, Listed>,
}

impl Directory {
    /// Takes the registration of an endpoint.
    pub fn put(&mut self, id: &str, registration: Registration) -> Option<DirectoryChange> {
        let before = self.listed.get(id).map(|listed| &listed.registration);
        let rejoined = before.is_none_or(|before| {
            !before.same_life(&registration) || (before.draining && !registration.draining)
        });
        let left = registration.draining && before.is_none_or(|before| !before.draining);
        self.listed.insert(id.to_owned(), Listed { registration, missing_since: None });
        if left {
            return Some(DirectoryChange::Left(id.to_owned()));
        }
        rejoined.then(|| DirectoryChange::Joined(id.to_owned()))
    }

    /// Takes the removal of an entry while the store works.
    pub fn remove(&mut self, id: &str) -> Option<DirectoryChange> {
        self.listed.remove(id).map(|_| DirectoryChange::Left(id.to_owned()))
    }

    /// Takes the whole registry. After an outage, an endpoint whose entry is missing stays listed
    /// until [`REREGISTRATION_TIMEOUT`] has passed.
    pub fn replace(
        &mut self,
        entries: BTreeMap<String, Registration>,
        after_outage: bool,
        now: Millis,
    ) -> Vec<DirectoryChange> {
        let mut changes = Vec::new();
        let missing: Vec<String> =
            self.listed.keys().filter(|id| !entries.contains_key(*id)).cloned().collect();
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

    /// Marks an endpoint whose entry was removed at or just after an outage.
    pub fn mark_missing(&mut self, id: &str, now: Millis) {
        if let Some(listed) = self.listed.get_mut(id) {
            listed.missing_since.get_or_insert(now);
        }
    }

    /// Removes endpoints whose entries did not come back in time.
    pub fn expire(&mut self, now: Millis) -> Vec<DirectoryChange> {
        let gone: Vec<String> = self
            .listed
            .iter()
            .filter(|(_, l)| {
                l.missing_since.is_some_and(|since| now.since(since) >= REREGISTRATION_TIMEOUT)
            })
            .map(|(id, _)| id.clone())
            .collect();
        gone.iter().filter_map(|id| self.remove(id)).collect()
    }

    /// Returns an endpoint that takes new requests.
    pub fn get(&self, id: &str) -> Option<&Registration> {
        self.listed.get(id).map(|l| &l.registration).filter(|r| !r.draining)
    }

    /// Returns all endpoints that take new requests.
    pub fn usable(&self) -> impl Iterator<Item = (&str, &Registration)> {
        self.listed
            .iter()
            .map(|(id, listed)| (id.as_str(), &listed.registration))
            .filter(|(_, r)| !r.draining)
    }

    /// Returns the endpoints of a service that take new requests.
    pub fn of_service<'a>(
        &'a self,
        service: &'a str,
    ) -> impl Iterator<Item = (&'a str, &'a Registration)> {
        self.usable().filter(move |(_, r)| r.service == service)
    }
}
