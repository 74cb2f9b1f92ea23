use crate::StoreError;
use crate::error::{
    ConflictSnafu, HistoryGoneSnafu, RejectedSnafu, ResponseLostSnafu, UnreachableSnafu,
};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use utils::{HttpError, delete_json, get_json, put_json};

/// The time that a watch may take to answer beyond the time that it was asked to wait.
const WATCH_MARGIN: Duration = Duration::from_secs(2);

/// An object with the version that the store gave it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Object<T> {
    /// The version; it grows with each write to the store.
    pub version: u64,
    /// The value.
    pub value: T,
}

/// One change that a watch reports.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Change<T> {
    /// The name of the object.
    pub name: String,
    /// The version after the change.
    pub version: u64,
    /// The value, or nothing when the object was deleted.
    pub value: Option<T>,
}

/// The answer to a watch.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Changes<T> {
    /// The version to watch from next.
    pub version: u64,
    /// The changes in the order of their versions.
    pub changes: Vec<Change<T>>,
}

/// All objects of a kind.
#[derive(Clone, Debug, Deserialize)]
struct Listing<T> {
    version: u64,
    objects: BTreeMap<String, Object<T>>,
}

/// A client of the object API; each call is sent once.
#[derive(Clone, Debug)]
pub struct Store {
    address: SocketAddr,
    timeout: Duration,
}

impl Store {
    /// Creates a client whose calls wait at most `timeout`.
    pub fn new(address: SocketAddr, timeout: Duration) -> Store {
        Store { address, timeout }
    }

    /// Reads an object.
    pub fn get<T: DeserializeOwned>(
        &self,
        kind: &str,
        name: &str,
    ) -> Result<Option<Object<T>>, StoreError> {
        let path = format!("/objects/{kind}/{name}");
        match get_json(&self.url(&path), self.timeout) {
            Ok(object) => Ok(Some(object)),
            Err(HttpError::Status { status: 404, .. }) => Ok(None),
            Err(e) => Err(classify(path, e)),
        }
    }

    /// Reads all objects of a kind and the version to watch from.
    pub fn list<T: DeserializeOwned>(
        &self,
        kind: &str,
    ) -> Result<(u64, BTreeMap<String, Object<T>>), StoreError> {
        let path = format!("/objects/{kind}");
        let listing: Listing<T> =
            get_json(&self.url(&path), self.timeout).map_err(|e| classify(path, e))?;
        Ok((listing.version, listing.objects))
    }

    /// Writes an object if it has `expected` as its version; 0 means that there is none yet.
    pub fn put<T: Serialize>(
        &self,
        kind: &str,
        name: &str,
        value: &T,
        expected: u64,
    ) -> Result<u64, StoreError> {
        let path = format!("/objects/{kind}/{name}");
        let url = format!("{}?if_version={expected}", self.url(&path));
        let written: Result<Object<serde_json::Value>, HttpError> =
            put_json(&url, value, self.timeout);
        written.map(|object| object.version).map_err(|e| classify(path, e))
    }

    /// Deletes an object if it has `expected` as its version.
    pub fn delete(&self, kind: &str, name: &str, expected: u64) -> Result<u64, StoreError> {
        let path = format!("/objects/{kind}/{name}");
        let url = format!("{}?if_version={expected}", self.url(&path));
        let deleted: Result<Object<serde_json::Value>, HttpError> = delete_json(&url, self.timeout);
        deleted.map(|object| object.version).map_err(|e| classify(path, e))
    }

    /// Waits at most `wait` for changes of a kind after `version`.
    pub fn watch<T: DeserializeOwned>(
        &self,
        kind: &str,
        version: u64,
        wait: Duration,
    ) -> Result<Changes<T>, StoreError> {
        let path = format!("/objects/{kind}");
        let query = format!("watch={version}&timeout_ms={}", wait.as_millis());
        let url = format!("{}?{query}", self.url(&path));
        get_json(&url, wait + WATCH_MARGIN).map_err(|e| classify(path, e))
    }

    fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.address)
    }
}

fn classify(path: String, error: HttpError) -> StoreError {
    let text = error.to_string();
    if error.is_unsent() {
        return UnreachableSnafu { path, text }.build();
    }
    let HttpError::Status { status, body, .. } = error else {
        return ResponseLostSnafu { path, text }.build();
    };
    match status {
        409 => ConflictSnafu { path, current: version_of(&body) }.build(),
        410 => HistoryGoneSnafu { path }.build(),
        400..=499 => RejectedSnafu { path, text }.build(),
        // A server's failure does not say whether the write was applied before it.
        _ => ResponseLostSnafu { path, text }.build(),
    }
}

fn version_of(body: &str) -> u64 {
    let current: Option<Object<serde_json::Value>> = serde_json::from_str(body).unwrap_or(None);
    current.map_or(0, |object| object.version)
}
