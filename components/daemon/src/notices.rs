use crate::tables::lock;
use std::collections::BTreeSet;
use std::sync::Mutex;

#[derive(Debug, Default)]
struct Noted {
    cut_off: BTreeSet<String>,
    /// The older revision of the store, and the one in force then.
    older_store: Option<(u64, u64)>,
    conflict: Option<u64>,
}

/// What the cluster found out that operators have to know.
#[derive(Debug, Default)]
pub struct Notices {
    noted: Mutex<Noted>,
}

impl Notices {
    /// Notes whether a data centre can be reached.
    pub fn set_reachable(&self, data_centre: &str, reachable: bool) {
        let mut noted = lock(&self.noted);
        if reachable {
            noted.cut_off.remove(data_centre);
        } else {
            noted.cut_off.insert(data_centre.to_string());
        }
    }

    /// Notes that the store has an older revision than the one in force.
    pub fn set_older_store(&self, store: u64, in_force: u64) {
        lock(&self.noted).older_store = Some((store, in_force));
    }

    /// Notes that two lists have the same revision.
    pub fn set_conflict(&self, revision: u64) {
        lock(&self.noted).conflict = Some(revision);
    }

    /// Returns the revision of the store if it is older than the one in force.
    pub fn older_store(&self, in_force: u64) -> Option<u64> {
        let older = lock(&self.noted).older_store;
        older.filter(|(_, then)| *then == in_force).map(|(store, _)| store)
    }

    /// Returns a sentence for each finding that holds with the revision in force.
    pub fn texts(&self, in_force: u64) -> Vec<String> {
        let cut_off = lock(&self.noted).cut_off.clone().into_iter();
        let mut texts: Vec<String> =
            cut_off.map(|name| format!("data centre {name} cannot be reached")).collect();
        if let Some(store) = self.older_store(in_force) {
            texts.push(format!("the store went back to revision {store}; apply the lists again"));
        }
        if lock(&self.noted).conflict == Some(in_force) {
            texts.push(format!("two lists have revision {in_force}; apply one again"));
        }
        texts
    }
}
