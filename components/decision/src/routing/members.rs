use super::rendezvous::draw;
use crate::Millis;
use serde::{Deserialize, Serialize};
use std::cmp::Reverse;
use std::collections::BTreeMap;

/// Time after which a daemon whose record does not change is taken for gone: two and a half
/// periods of its writes.
const GONE_AFTER: Millis = Millis(25_000);

/// What a daemon writes of itself into the store.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct DaemonRecord {
    /// Its data centre.
    pub data_centre: String,
    /// The address for other daemons.
    pub address: String,
    /// The number of the write, so that each write changes the record.
    pub beat: u64,
}

#[derive(Clone, Debug)]
struct Member {
    record: DaemonRecord,
    changed: Millis,
}

/// The daemons that share the endpoints, as far as this one knows.
#[derive(Clone, Debug, Default)]
pub struct Members {
    members: BTreeMap<String, Member>,
    is_known: bool,
}

impl Members {
    /// Takes all records. Records have no clock in common, so a daemon is live while its record
    /// changes.
    pub fn observe(&mut self, records: BTreeMap<String, DaemonRecord>, now: Millis) {
        self.is_known = true;
        self.members.retain(|name, _| records.contains_key(name));
        for (name, record) in records {
            let known = self.members.get(&name).filter(|member| member.record == record);
            let changed = known.map_or(now, |member| member.changed);
            self.members.insert(name, Member { record, changed });
        }
    }

    fn live(&self, now: Millis) -> impl Iterator<Item = (&str, &DaemonRecord)> {
        self.members
            .iter()
            .filter(move |(_, member)| now.since(member.changed) < GONE_AFTER)
            .map(|(name, member)| (name.as_str(), &member.record))
    }

    /// Returns how many daemons share the endpoints, if that is known.
    pub fn count(&self, now: Millis) -> Option<usize> {
        self.is_known.then(|| self.live(now).count().max(1))
    }

    /// Returns the daemons of a data centre, best first. All daemons rank them alike: the first
    /// reads the store for the others.
    pub fn ranked(&self, data_centre: &str, now: Millis) -> Vec<(&str, &DaemonRecord)> {
        let mut ranked: Vec<(&str, &DaemonRecord)> =
            self.live(now).filter(|(_, record)| record.data_centre == data_centre).collect();
        ranked.sort_by_key(|(name, _)| rank(name));
        ranked
    }

    /// Returns the daemons of a data centre that rank before `name`, best first. The rank does not
    /// depend on who is live, so no two daemons follow each other.
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

/// Ranks the daemons of a data centre alike at all of them.
const READER_SEED: u64 = 0x4ead;

fn rank(name: &str) -> (Reverse<u64>, &str) {
    (Reverse(draw(name, READER_SEED)), name)
}
