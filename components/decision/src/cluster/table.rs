use super::Identity;
use crate::Millis;
use messages::cluster::SharedEntry;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Memory of an entry without its key and values.
const ENTRY_OVERHEAD_BYTES: usize = 120;

/// Daemons that receive a shared value.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Scope {
    /// Those in the data centre of its origin.
    #[default]
    DataCentre,
    /// All daemons.
    Fleet,
}

/// Small value published by one daemon and gossiped to others.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Entry {
    /// Daemon that published it.
    pub origin: Identity,
    /// Name of the value; a later value of the same origin and name replaces it.
    pub key: String,
    /// Sequence number of the write at its origin; the highest wins.
    pub sequence: u64,
    /// Time at which it expires, by the local clock.
    pub expires: Millis,
    /// Daemons that receive it.
    pub scope: Scope,
    /// Numbers that make up the value.
    pub values: Vec<u64>,
}

impl Entry {
    /// Converts an entry received at `now`; its time to live starts then.
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

    /// Converts an entry to be sent at `now`, with its remaining time to live.
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

/// Shared values by origin and key; the last write of each origin wins.
#[derive(Clone, Debug, Default)]
pub struct Table {
    entries: BTreeMap<(Identity, String), Entry>,
    bytes: usize,
    /// Entries rejected because the table was full.
    pub dropped: u64,
}

impl Table {
    /// Merges an entry and returns whether the table changed. An entry that would take the table
    /// above `limit` bytes is dropped.
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

    /// Looks up an entry, which may have expired.
    pub fn get(&self, origin: Identity, key: &str) -> Option<&Entry> {
        self.entries.get(&(origin, key.to_string()))
    }

    /// Entries that have not expired, in order of origin and key.
    pub fn iter(&self, now: Millis) -> impl Iterator<Item = &Entry> {
        self.entries.values().filter(move |entry| entry.expires > now)
    }

    /// Removes expired entries.
    pub fn expire(&mut self, now: Millis) {
        self.entries.retain(|_, entry| entry.expires > now);
        self.bytes = self.entries.values().map(Entry::bytes).sum();
    }

    /// Estimated memory of the entries, in bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }
}
