use crate::tables::lock;
use std::collections::BTreeSet;
use std::sync::Mutex;

#[derive(Debug, Default)]
struct NoticeState {
    unreachable: BTreeSet<String>,
    /// The older revision of the store, and the one in force then.
    outdated_store: Option<(u64, u64)>,
    conflict: Option<u64>,
}

/// What the cluster found out that operators have to know.
#[derive(Debug, Default)]
pub struct Notices {
    state: Mutex<NoticeState>,
}

impl Notices {
    /// Notes whether a data centre can be reached.
    pub fn set_reachable(&self, data_centre: &str, reachable: bool) {
        let mut state = lock(&self.state);
        if reachable {
            state.unreachable.remove(data_centre);
        } else {
            state.unreachable.insert(data_centre.to_string());
        }
    }

    /// Notes that the store has an older revision than the one in force.
    pub fn set_outdated_store(&self, store: u64, active_revision: u64) {
        lock(&self.state).outdated_store = Some((store, active_revision));
    }

    /// Notes that two lists have the same revision.
    pub fn set_conflict(&self, revision: u64) {
        lock(&self.state).conflict = Some(revision);
    }

    /// Returns the revision of the store if it is older than the one in force.
    pub fn outdated_store(&self, active_revision: u64) -> Option<u64> {
        let outdated = lock(&self.state).outdated_store;
        outdated.filter(|(_, active_then)| *active_then == active_revision).map(|(store, _)| store)
    }

    /// Returns a sentence for each finding that holds with the revision in force.
    pub fn texts(&self, active_revision: u64) -> Vec<String> {
        let unreachable = lock(&self.state).unreachable.clone().into_iter();
        let mut texts: Vec<String> =
            unreachable.map(|name| format!("data centre {name} cannot be reached")).collect();
        if let Some(store) = self.outdated_store(active_revision) {
            texts.push(format!("the store went back to revision {store}; apply the lists again"));
        }
        if lock(&self.state).conflict == Some(active_revision) {
            texts.push(format!("two lists have revision {active_revision}; apply one again"));
        }
        texts
    }
}
