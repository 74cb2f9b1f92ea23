use crate::tables::lock;
use std::collections::BTreeSet;
use std::sync::Mutex;

#[derive(Debug, Default)]
struct NoticeState {
    /// The data centres that cannot be reached.
    unreachable: BTreeSet<String>,
    /// The revision in the store, and the newer one that was active when it was found.
    outdated_store: Option<(u64, u64)>,
    /// The revision that two different documents have.
    conflict: Option<u64>,
}

/// Findings of the cluster that operators have to act on.
#[derive(Debug, Default)]
pub struct Notices {
    state: Mutex<NoticeState>,
}

impl Notices {
    /// Records whether a data centre can be reached.
    pub fn set_reachable(&self, data_centre: &str, reachable: bool) {
        let mut state = lock(&self.state);
        if reachable {
            state.unreachable.remove(data_centre);
        } else {
            state.unreachable.insert(data_centre.to_string());
        }
    }

    /// Records that the store holds an older revision than the active one.
    pub fn set_outdated_store(&self, store: u64, active_revision: u64) {
        lock(&self.state).outdated_store = Some((store, active_revision));
    }

    /// Records that two different documents have the same revision.
    pub fn set_conflict(&self, revision: u64) {
        lock(&self.state).conflict = Some(revision);
    }

    /// The revision in the store, if it was found to be older than the one that is still active.
    pub fn outdated_store(&self, active_revision: u64) -> Option<u64> {
        let outdated = lock(&self.state).outdated_store;
        outdated.filter(|(_, active_then)| *active_then == active_revision).map(|(store, _)| store)
    }

    /// One sentence for each finding that still holds with this active revision.
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
