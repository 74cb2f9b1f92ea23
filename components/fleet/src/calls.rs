//! Calls of the fleet to its store.

use crate::Fleet;
use crate::driver::Action;
use crate::store::WATCH_LIMIT;
use decision::Millis;
use decision::cluster::{Event, StoreCall, StoreOutcome};

const STORE_LATENCY: Millis = Millis(3);
/// Stands for the end of a watch in place of a version.
const DEADLINE: u64 = u64::MAX;

impl Fleet {
    /// Puts new lists into the store and wakes its watches.
    pub fn change_lists(&mut self, revision: u64, text: String) {
        self.store.put(revision, text);
        for (node, incarnation, _) in std::mem::take(&mut self.store.waiting) {
            self.answer_store(node, incarnation, Some(self.store.version));
        }
    }

    /// Takes the store down, which ends its watches, or up again.
    pub fn set_store_down(&mut self, is_down: bool) {
        self.store.is_down = is_down;
        for (node, incarnation, _) in std::mem::take(&mut self.store.waiting) {
            self.answer_store(node, incarnation, None);
        }
    }

    pub(crate) fn call_store(&mut self, node: usize, call: StoreCall) {
        self.store.calls += 1;
        let incarnation = self.incarnation(node);
        if self.store.is_down || self.store_cuts.contains(&Fleet::data_centre(node)) {
            return self.answer_store(node, incarnation, None);
        }
        if self.store.answers(call) {
            return self.answer_store(node, incarnation, Some(self.store.version));
        }
        let deadline = self.now + WATCH_LIMIT;
        self.store.waiting.push((node, incarnation, deadline));
        self.schedule(deadline, node, Action::StoreAnswer { incarnation, call: Some(DEADLINE) });
    }

    fn answer_store(&mut self, node: usize, incarnation: u64, call: Option<u64>) {
        let at = self.now + STORE_LATENCY;
        self.schedule(at, node, Action::StoreAnswer { incarnation, call });
    }

    pub(crate) fn tell_store(&mut self, node: usize, call: Option<u64>) {
        let cut = self.store_cuts.contains(&Fleet::data_centre(node));
        let event = match call {
            Some(DEADLINE) => {
                let now = self.now;
                let waits = |w: &&(usize, u64, Millis)| w.0 == node && w.2 <= now;
                if self.store.waiting.iter().find(waits).is_none() {
                    return;
                }
                self.store.waiting.retain(|w| w.0 != node);
                Event::Store(StoreOutcome::Unchanged { version: self.store.version })
            }
            Some(_) if !cut && !self.store.is_down && self.store.version > 0 => Event::Lists {
                version: self.store.version,
                revision: self.store.revision,
                text: self.store.text.clone(),
            },
            Some(_) if !cut && !self.store.is_down => {
                Event::Store(StoreOutcome::Unchanged { version: self.store.version })
            }
            _ => Event::Store(StoreOutcome::Failed),
        };
        self.tell(node, event);
    }

    pub(crate) fn expire_watches(&mut self) {
        let now = self.now;
        self.store.waiting.retain(|w| w.2 >= now);
    }
}
