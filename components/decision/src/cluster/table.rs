use super::Identity;
use crate::Millis;
use messages::cluster::SharedEntry;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The bytes that an entry takes besides its key and values.
const ENTRY_OVERHEAD_BYTES: usize = 120;

/// How far a shared value spreads.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Scope {
    /// Within the data centre of its origin.
    #[default]
    DataCentre,
    /// To every daemon.
    Fleet,
}

/// A small value that one daemon spreads.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Entry {
    /// The daemon that wrote it.
    pub origin: Identity,
    /// The subject and name.
    pub key: String,
    /// The number of the write at its origin.
    pub sequence: u64,
    /// The time until which it holds.
    pub expires: Millis,
    /// How far it spreads.
    pub scope: Scope,
    /// The value.
    pub values: Vec<u64>,
}

impl Entry {
    /// Reads an entry that was received at `now`.
    pub(super) fn from_wire(entry: &SharedEntry, now: Millis) -> Entry {
        Entry {
            origin: Identity::from(&entry.origin),
            key: entry.key.clone(),
            sequence: entry.sequence,
            expires: now + Millis(entry.ttl_ms),
            scope: if entry.fleet_wide { Scope::Fleet } else { Scope::DataCentre },
            values: entry.values.clone(),
        }
    }

    /// Writes an entry that is sent at `now`.
    pub(super) fn to_wire(&self, now: Millis) -> SharedEntry {
        SharedEntry {
            origin: self.origin.into(),
            key: self.key.clone(),
            sequence: self.sequence,
            ttl_ms: self.expires.since(now).0,
            fleet_wide: self.scope == Scope::Fleet,
            values: self.values.clone(),
        }
    }

    fn bytes(&self) -> usize {
        ENTRY_OVERHEAD_BYTES + self.key.len() + 8 * self.values.len()
    }
}

/// Shared values, of which the last write of each origin wins.
#[derive(Clone, Debug, Default)]
pub struct Table {
    entries: BTreeMap<(Identity, String), Entry>,
    bytes: usize,
    /// Entries that found no room.
    pub dropped: u64,
}

impl Table {
    /// Takes in an entry and returns whether it is new.
    pub fn merge(&mut self, entry: Entry, limit: usize, now: Millis) -> bool {
        if entry.expires <= now {
            return false;
        }
        let name = (entry.origin, entry.key.clone());
        let known = self.entries.get(&name);
        if known.is_some_and(|known| known.sequence >= entry.sequence) {
            return false;
        }
        let freed = known.map_or(0, Entry::bytes);
        if self.bytes - freed + entry.bytes() > limit {
            self.dropped += 1;
            return false;
        }
        self.bytes = self.bytes - freed + entry.bytes();
        self.entries.insert(name, entry);
        true
    }

    /// Returns an entry.
    pub fn get(&self, origin: Identity, key: &str) -> Option<&Entry> {
        self.entries.get(&(origin, key.to_string()))
    }

    /// Returns all entries that still hold, by origin and key.
    pub fn iter(&self, now: Millis) -> impl Iterator<Item = &Entry> {
        self.entries.values().filter(move |entry| entry.expires > now)
    }

    /// Forgets entries that have expired.
    pub fn expire(&mut self, now: Millis) {
        self.entries.retain(|_, entry| entry.expires > now);
        self.bytes = self.entries.values().map(Entry::bytes).sum();
    }

    /// Returns the bytes that the entries take.
    pub fn bytes(&self) -> usize {
        self.bytes
    }
}
