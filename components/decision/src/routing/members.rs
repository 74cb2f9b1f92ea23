use super::rendezvous::rendezvous_hash;
use crate::Millis;
use serde::{Deserialize, Serialize};
use std::cmp::Reverse;
use std::collections::BTreeMap;

/// Time after which a daemon whose record has not changed counts as dead: 2.5 times the interval
/// at which daemons write their records.
const DEAD_AFTER: Millis = Millis(25_000);

/// The record by which a daemon announces itself in the store.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct DaemonRecord {
    /// Its data centre.
    pub data_centre: String,
    /// The address at which other daemons reach it.
    pub address: String,
    /// The sequence number of the write; it makes each write change the record.
    pub beat: u64,
}

#[derive(Clone, Debug)]
struct Member {
    record: DaemonRecord,
    changed_at: Millis,
}

/// The daemons that share the endpoints, according to their records in the store.
#[derive(Clone, Debug, Default)]
pub struct Members {
    members: BTreeMap<String, Member>,
    is_initialized: bool,
}

impl Members {
    /// Replaces the known records with a complete listing of the store. The daemons have no common
    /// clock, so a daemon counts as live while its record changes.
    pub fn observe(&mut self, records: BTreeMap<String, DaemonRecord>, now: Millis) {
        self.is_initialized = true;
        self.members.retain(|name, _| records.contains_key(name));
        for (name, record) in records {
            let known = self.members.get(&name).filter(|member| member.record == record);
            let changed_at = known.map_or(now, |member| member.changed_at);
            self.members.insert(name, Member { record, changed_at });
        }
    }

    fn live(&self, now: Millis) -> impl Iterator<Item = (&str, &DaemonRecord)> {
        self.members
            .iter()
            .filter(move |(_, member)| now.since(member.changed_at) < DEAD_AFTER)
            .map(|(name, member)| (name.as_str(), &member.record))
    }

    /// Returns how many daemons share the endpoints, at least 1; `None` before the first listing.
    pub fn count(&self, now: Millis) -> Option<usize> {
        self.is_initialized.then(|| self.live(now).count().max(1))
    }

    /// Returns the live daemons of a data centre, best first. All daemons compute the same ranking;
    /// the first one reads the store for the others.
    pub fn ranked(&self, data_centre: &str, now: Millis) -> Vec<(&str, &DaemonRecord)> {
        let mut ranked: Vec<(&str, &DaemonRecord)> =
            self.live(now).filter(|(_, record)| record.data_centre == data_centre).collect();
        ranked.sort_by_key(|(name, _)| rank(name));
        ranked
    }

    /// Returns the names and addresses of the live daemons of a data centre that rank before
    /// `name`, best first. The rank does not depend on which daemons are live, so no two daemons
    /// follow each other.
    pub fn ranked_before(
        &self,
        name: &str,
        data_centre: &str,
        now: Millis,
    ) -> Vec<(String, String)> {
        self.ranked(data_centre, now)
            .into_iter()
            .filter(|(other, _)| rank(other) < rank(name))
            .map(|(other, record)| (other.to_owned(), record.address.clone()))
            .collect()
    }

    /// Returns the data centres that have live daemons.
    pub fn data_centres(&self, now: Millis) -> Vec<String> {
        let mut all: Vec<String> =
            self.live(now).map(|(_, record)| record.data_centre.clone()).collect();
        all.sort();
        all.dedup();
        all
    }
}

/// Seed of the ranking of store readers, the same on all daemons.
const READER_SEED: u64 = 0x4ead;

fn rank(name: &str) -> (Reverse<u64>, &str) {
    (Reverse(rendezvous_hash(name, READER_SEED)), name)
}
