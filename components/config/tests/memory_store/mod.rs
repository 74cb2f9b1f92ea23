//! An object store in memory with injected write faults.

use config::ObjectStore;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::{Value, json};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use store::{Object, StoreError};

/// The fault injected into one write.
#[derive(Clone, Copy, Debug)]
pub enum Fault {
    /// The write is applied, but its response is lost.
    LostApplied,
    /// The write is not applied and its response is lost.
    LostUnapplied,
    Unreachable,
    Rejected,
    /// Another writer updates the object first, so that the write conflicts.
    ConcurrentWrite,
}

#[derive(Debug, Default)]
pub struct MemoryStore {
    objects: RefCell<BTreeMap<(String, String), (u64, Value)>>,
    faults: RefCell<VecDeque<Fault>>,
    applied_writes: Cell<u64>,
    reads: Cell<u64>,
    stopped: Cell<bool>,
}

impl MemoryStore {
    pub fn with_faults(faults: &[Fault]) -> MemoryStore {
        MemoryStore {
            faults: RefCell::new(faults.iter().copied().collect()),
            ..MemoryStore::default()
        }
    }

    pub fn reads(&self) -> u64 {
        self.reads.get()
    }

    pub fn writes_applied(&self) -> u64 {
        self.applied_writes.get()
    }

    pub fn stop(&self) {
        self.stopped.set(true);
    }

    pub fn edit(&self, kind: &str, change: impl Fn(&mut Value)) {
        let mut objects = self.objects.borrow_mut();
        objects.iter_mut().filter(|(key, _)| key.0 == kind).for_each(|(_, (_, v))| change(v));
    }

    fn apply(&self, key: (String, String), value: Value, expected: u64) -> Result<u64, StoreError> {
        let mut objects = self.objects.borrow_mut();
        let current = objects.get(&key).map_or(0, |(version, _)| *version);
        if current != expected {
            return Err(StoreError::Conflict { path: key.1, current });
        }
        self.applied_writes.set(self.applied_writes.get() + 1);
        objects.insert(key, (current + 1, value));
        Ok(current + 1)
    }

    fn write_concurrently(&self, key: &(String, String)) {
        let mut objects = self.objects.borrow_mut();
        let current = objects.get(key).cloned();
        let (version, value) = current.unwrap_or((0, json!({"revision": 0})));
        let lists = config::Lists::default();
        let revision = value["revision"].as_u64().unwrap_or_default() + 1;
        let value = json!({"revision": revision, "digest": lists.digest(), "lists": lists});
        objects.insert(key.clone(), (version + 1, value));
    }
}

impl ObjectStore for MemoryStore {
    fn read<T: DeserializeOwned>(
        &self,
        kind: &str,
        name: &str,
    ) -> Result<Option<Object<T>>, StoreError> {
        if self.stopped.get() {
            return Err(StoreError::Unreachable { path: name.into(), text: "stopped".into() });
        }
        self.reads.set(self.reads.get() + 1);
        let found = self.objects.borrow().get(&(kind.to_string(), name.to_string())).cloned();
        Ok(found.map(|(version, value)| {
            let value =
                serde_json::from_value(value).expect("the stored value has the requested type");
            Object { version, value }
        }))
    }

    fn write<T: Serialize>(
        &self,
        kind: &str,
        name: &str,
        value: &T,
        expected: u64,
    ) -> Result<u64, StoreError> {
        let key = (kind.to_string(), name.to_string());
        let value = serde_json::to_value(value).expect("the value has a JSON form");
        let (path, text) = (name.to_string(), "injected".to_string());
        let fault = self.faults.borrow_mut().pop_front();
        match fault {
            None => self.apply(key, value, expected),
            Some(Fault::LostApplied) => {
                let _ = self.apply(key, value, expected);
                Err(StoreError::ResponseLost { path, text })
            }
            Some(Fault::LostUnapplied) => Err(StoreError::ResponseLost { path, text }),
            Some(Fault::Unreachable) => Err(StoreError::Unreachable { path, text }),
            Some(Fault::Rejected) => Err(StoreError::Rejected { path, text }),
            Some(Fault::ConcurrentWrite) => {
                self.write_concurrently(&key);
                self.apply(key, value, expected)
            }
        }
    }
}
