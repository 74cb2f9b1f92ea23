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

/// A call to the store that takes longer counts as lost.
const STORE_TIMEOUT: Duration = Duration::from_secs(2);

/// The object kind and name of an execution record in the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RecordName {
    kind: String,
    name: String,
}

impl RecordName {
    /// Derives the name from the client account and its idempotency key.
    pub fn new(account: &str, key: &IdempotencyKey) -> RecordName {
        let kind = record_kind(Sweep::span_of(key.issued));
        let name = sha256_hex(&format!("{account}\n{}\n{}", key.issued.0, key.random));
        RecordName { kind, name }
    }
}

/// The client for execution records in the object API.
#[derive(Debug)]
pub struct Records {
    store: Store,
    restore_detector: Mutex<RestoreDetector>,
    /// The maximum difference between any two clocks.
    skew: Millis,
}

impl Records {
    pub fn new(address: SocketAddr) -> Records {
        let store = Store::new(address, STORE_TIMEOUT);
        Records { store, restore_detector: Mutex::default(), skew: KeyPolicy::default().skew }
    }

    /// The highest object version seen in the store.
    pub fn max_version(&self) -> u64 {
        lock(&self.restore_detector).max_version()
    }

    /// The rules for accepting keys, which also reject keys whose records may have been lost when
    /// the store was restored.
    pub fn key_policy(&self) -> KeyPolicy {
        let issued_from = lock(&self.restore_detector).issued_from();
        KeyPolicy { skew: self.skew, issued_from, ..KeyPolicy::default() }
    }

    /// Writes a record if the object has the expected version; 0 means that there is none.
    pub fn write(&self, name: &RecordName, record: &Record, expected: u64) -> WriteResult {
        let max_version = self.max_version();
        match self.store.put(&name.kind, &name.name, record, expected) {
            Ok(version) => {
                let now = Millis(unix_time_ms());
                if !lock(&self.restore_detector).observe_write(version, max_version, now, self.skew)
                {
                    log::error!(
                        "the store was restored: its version went back from {max_version} to {version}"
                    );
                }
                WriteResult::Written(version)
            }
            Err(e) => {
                log::debug!("cannot write record {}: {e}", name.name);
                write_result(Err(e))
            }
        }
    }

    /// Lists the records whose keys were issued in the time span of this number, with their
    /// versions.
    pub fn list(&self, span: u64) -> Result<Vec<(RecordName, u64)>, StoreError> {
        let kind = record_kind(span);
        let (_, objects) = self.store.list::<IgnoredAny>(&kind)?;
        let names = objects.into_iter().map(|(name, object)| {
            let record = RecordName { kind: kind.clone(), name };
            (record, object.version)
        });
        Ok(names.collect())
    }

    /// Deletes a record if it still has the given version.
    pub fn delete(&self, name: &RecordName, version: u64) -> Result<(), StoreError> {
        self.store.delete(&name.kind, &name.name, version).map(|_| ())
    }

    pub fn read(&self, name: &RecordName) -> ReadResult {
        match self.store.get::<Record>(&name.kind, &name.name) {
            Ok(Some(object)) => {
                lock(&self.restore_detector).observe_read(object.version);
                ReadResult::Found(object.version, object.value)
            }
            Ok(None) => ReadResult::Missing,
            Err(e) => {
                log::warn!("cannot read record {}: {e}", name.name);
                ReadResult::Failed
            }
        }
    }
}

fn record_kind(span: u64) -> String {
    format!("runs-{span}")
}
