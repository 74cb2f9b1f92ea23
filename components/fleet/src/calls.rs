//! Calls of the nodes to the store.

use crate::Fleet;
use crate::driver::Action;
use crate::store::WATCH_LIMIT;
use decision::Millis;
use decision::cluster::{Event, StoreCall, StoreOutcome};

const STORE_LATENCY: Millis = Millis(3);
/// Marks the expiry of a watch; used in place of a version.
const WATCH_EXPIRED: u64 = u64::MAX;

impl Fleet {
    /// Stores new lists and completes the open watches.
    pub fn change_lists(&mut self, revision: u64, text: String) {
        self.store.put(revision, text);
        for (node, incarnation, _) in std::mem::take(&mut self.store.watches) {
            self.schedule_store_response(node, incarnation, Some(self.store.version));
        }
    }

    /// Starts or ends an outage of the store; both fail the open watches.
    pub fn set_store_down(&mut self, is_down: bool) {
        self.store.is_down = is_down;
        for (node, incarnation, _) in std::mem::take(&mut self.store.watches) {
            self.schedule_store_response(node, incarnation, None);
        }
    }

    pub(crate) fn call_store(&mut self, node: usize, call: StoreCall) {
        self.store.calls += 1;
        let incarnation = self.incarnation(node);
        if self.store.is_down || self.cut_from_store.contains(&Fleet::data_centre(node)) {
            return self.schedule_store_response(node, incarnation, None);
        }
        if self.store.responds_at_once(call) {
            return self.schedule_store_response(node, incarnation, Some(self.store.version));
        }
        let deadline = self.now + WATCH_LIMIT;
        self.store.watches.push((node, incarnation, deadline));
        self.schedule(
            deadline,
            node,
            Action::StoreResponse { incarnation, version: Some(WATCH_EXPIRED) },
        );
    }

    fn schedule_store_response(&mut self, node: usize, incarnation: u64, version: Option<u64>) {
        let at = self.now + STORE_LATENCY;
        self.schedule(at, node, Action::StoreResponse { incarnation, version });
    }

    pub(crate) fn deliver_store_response(&mut self, node: usize, version: Option<u64>) {
        let is_cut = self.cut_from_store.contains(&Fleet::data_centre(node));
        let event = match version {
            Some(WATCH_EXPIRED) => {
                let now = self.now;
                let has_expired = |w: &&(usize, u64, Millis)| w.0 == node && w.2 <= now;
                if self.store.watches.iter().find(has_expired).is_none() {
                    return;
                }
                self.store.watches.retain(|w| w.0 != node);
                Event::Store(StoreOutcome::Unchanged { version: self.store.version })
            }
            Some(_) if !is_cut && !self.store.is_down && self.store.version > 0 => Event::Lists {
                version: self.store.version,
                revision: self.store.revision,
                text: self.store.text.clone(),
            },
            Some(_) if !is_cut && !self.store.is_down => {
                Event::Store(StoreOutcome::Unchanged { version: self.store.version })
            }
            _ => Event::Store(StoreOutcome::Failed),
        };
        self.handle_event(node, event);
    }

    pub(crate) fn expire_watches(&mut self) {
        let now = self.now;
        self.store.watches.retain(|w| w.2 >= now);
    }
}
