use crate::duty::write_result;
use crate::tables::lock;
use decision::Millis;
use decision::execution::{
    IdempotencyKey, KeyPolicy, ReadResult, Record, RestoreDetector, Sweep, WriteResult,
};
use serde::de::IgnoredAny;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Duration;
use store::{Store, StoreError};
use utils::{sha256_hex, unix_time_ms};

/// The time after which a call to the store counts as lost.
const STORE_TIMEOUT: Duration = Duration::from_secs(2);

/// Where the record of a key stands in the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RecordName {
    kind: String,
    name: String,
}

impl RecordName {
    /// Names the record of a client account's key.
    pub fn new(account: &str, key: &IdempotencyKey) -> RecordName {
        let kind = kind_of(Sweep::span_of(key.issued));
        let name = sha256_hex(&format!("{account}\n{}\n{}", key.issued.0, key.random));
        RecordName { kind, name }
    }
}

/// The execution records in the object API.
#[derive(Debug)]
pub struct Records {
    store: Store,
    guard: Mutex<RestoreDetector>,
    skew: Millis,
}

impl Records {
    /// Creates a client for the records.
    pub fn new(address: SocketAddr) -> Records {
        let store = Store::new(address, STORE_TIMEOUT);
        Records { store, guard: Mutex::default(), skew: KeyPolicy::default().skew }
    }

    /// Returns the highest version seen in the store.
    pub fn seen(&self) -> u64 {
        lock(&self.guard).max_version()
    }

    /// Returns how long keys may be used.
    pub fn keys(&self) -> KeyPolicy {
        let issued_from = lock(&self.guard).issued_from();
        KeyPolicy { skew: self.skew, issued_from, ..KeyPolicy::default() }
    }

    /// Writes a record if the object has the expected version; 0 means that there is none.
    pub fn write(&self, name: &RecordName, record: &Record, expected: u64) -> WriteResult {
        let seen = self.seen();
        match self.store.put(&name.kind, &name.name, record, expected) {
            Ok(version) => {
                let now = Millis(unix_time_ms());
                if !lock(&self.guard).observe_write(version, seen, now, self.skew) {
                    log::error!("the store went back from version {seen} to {version}");
                }
                WriteResult::Written(version)
            }
            Err(e) => {
                log::debug!("record {}: {e}", name.name);
                write_result(Err(e))
            }
        }
    }

    /// Lists the records of a span of issue times, with their versions.
    pub fn list(&self, span: u64) -> Result<Vec<(RecordName, u64)>, StoreError> {
        let kind = kind_of(span);
        let (_, objects) = self.store.list::<IgnoredAny>(&kind)?;
        let names = objects.into_iter().map(|(name, object)| {
            let record = RecordName { kind: kind.clone(), name };
            (record, object.version)
        });
        Ok(names.collect())
    }

    /// Deletes a record if it still has this version.
    pub fn delete(&self, name: &RecordName, version: u64) -> Result<(), StoreError> {
        self.store.delete(&name.kind, &name.name, version).map(|_| ())
    }

    /// Reads a record.
    pub fn read(&self, name: &RecordName) -> ReadResult {
        match self.store.get::<Record>(&name.kind, &name.name) {
            Ok(Some(object)) => {
                lock(&self.guard).observe_read(object.version);
                ReadResult::Found(object.version, object.value)
            }
            Ok(None) => ReadResult::Missing,
            Err(e) => {
                log::warn!("record {}: {e}", name.name);
                ReadResult::Failed
            }
        }
    }
}

fn kind_of(span: u64) -> String {
    format!("runs-{span}")
}
