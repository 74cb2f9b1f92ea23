use crate::StoreError;
use crate::error::{
    ConflictSnafu, HistoryGoneSnafu, RejectedSnafu, ResponseLostSnafu, UnreachableSnafu,
};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use utils::{HttpError, delete_json, get_json, put_json};

/// Added to the wait of a watch to form its HTTP timeout; the time that the store has to respond
/// when the wait elapses without a change.
const WATCH_MARGIN: Duration = Duration::from_secs(2);

/// An object with its version in the store.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Object<T> {
    /// The version; it grows with each write to the store.
    pub version: u64,
    /// The value, decoded from JSON.
    pub value: T,
}

/// One change that a watch reports.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Change<T> {
    /// The name of the object.
    pub name: String,
    /// The version after the change.
    pub version: u64,
    /// The new value; `None` when the object was deleted.
    pub value: Option<T>,
}

/// The response to a watch; without changes when the wait elapsed first.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Changes<T> {
    /// The version to pass to the next watch.
    pub version: u64,
    /// The changes, ordered by version.
    pub changes: Vec<Change<T>>,
}

/// The response to a request for all objects of a kind, which are decoded one by one.
#[derive(Clone, Debug, Deserialize)]
struct Listing {
    version: u64,
    objects: BTreeMap<String, Box<RawValue>>,
}

/// The response to a watch, like [`Listing`].
#[derive(Clone, Debug, Deserialize)]
struct Watched {
    version: u64,
    changes: Vec<Box<RawValue>>,
}

/// Decodes an object, or logs why it cannot be read: it must not make the others unreadable.
fn decode_or_log<T: DeserializeOwned>(kind: &str, text: &RawValue) -> Option<T> {
    match serde_json::from_str(text.get()) {
        Ok(value) => Some(value),
        Err(e) => {
            log::warn!("an object of kind {kind} in the store is unreadable and left out: {e}");
            None
        }
    }
}

/// A client of the object API. Each call is sent once; the caller decides on retries.
#[derive(Clone, Debug)]
pub struct Store {
    address: SocketAddr,
    timeout: Duration,
}

impl Store {
    /// Creates a client. `timeout` bounds each call except [`Store::watch`].
    pub fn new(address: SocketAddr, timeout: Duration) -> Store {
        Store { address, timeout }
    }

    /// Reads an object; `None` when it does not exist.
    pub fn get<T: DeserializeOwned>(
        &self,
        kind: &str,
        name: &str,
    ) -> Result<Option<Object<T>>, StoreError> {
        let path = format!("/objects/{kind}/{name}");
        match get_json(&self.url(&path), self.timeout) {
            Ok(object) => Ok(Some(object)),
            Err(HttpError::Status { status: 404, .. }) => Ok(None),
            Err(e) => Err(classify_error(path, e)),
        }
    }

    /// Reads all objects of a kind, with the version to pass to the first watch. Unreadable ones are
    /// left out.
    pub fn list<T: DeserializeOwned>(
        &self,
        kind: &str,
    ) -> Result<(u64, BTreeMap<String, Object<T>>), StoreError> {
        let path = format!("/objects/{kind}");
        let Listing { version, objects } =
            get_json(&self.url(&path), self.timeout).map_err(|e| classify_error(path, e))?;
        let objects = objects.into_iter();
        let readable = objects.filter_map(|(name, text)| Some((name, decode_or_log(kind, &text)?)));
        Ok((version, readable.collect()))
    }

    /// Writes an object if its current version is `expected`, or creates it if `expected` is 0.
    /// Returns the new version.
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
        written.map(|object| object.version).map_err(|e| classify_error(path, e))
    }

    /// Deletes an object if its current version is `expected`. Returns the version of
    /// the deletion.
    pub fn delete(&self, kind: &str, name: &str, expected: u64) -> Result<u64, StoreError> {
        let path = format!("/objects/{kind}/{name}");
        let url = format!("{}?if_version={expected}", self.url(&path));
        let deleted: Result<Object<serde_json::Value>, HttpError> = delete_json(&url, self.timeout);
        deleted.map(|object| object.version).map_err(|e| classify_error(path, e))
    }

    /// Waits up to `wait` for changes of a kind that are newer than `version`. Unreadable ones are
    /// left out.
    pub fn watch<T: DeserializeOwned>(
        &self,
        kind: &str,
        version: u64,
        wait: Duration,
    ) -> Result<Changes<T>, StoreError> {
        let path = format!("/objects/{kind}");
        let query = format!("watch={version}&timeout_ms={}", wait.as_millis());
        let url = format!("{}?{query}", self.url(&path));
        let Watched { version, changes } =
            get_json(&url, wait + WATCH_MARGIN).map_err(|e| classify_error(path, e))?;
        let changes = changes.iter().filter_map(|text| decode_or_log(kind, text)).collect();
        Ok(Changes { version, changes })
    }

    fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.address)
    }
}

fn classify_error(path: String, error: HttpError) -> StoreError {
    let text = error.to_string();
    if error.is_unsent() {
        return UnreachableSnafu { path, text }.build();
    }
    let HttpError::Status { status, body, .. } = error else {
        return ResponseLostSnafu { path, text }.build();
    };
    match status {
        409 => ConflictSnafu { path, current: current_version(&body) }.build(),
        410 => HistoryGoneSnafu { path }.build(),
        400..=499 => RejectedSnafu { path, text }.build(),
        // A server error leaves open whether the write was applied before it.
        _ => ResponseLostSnafu { path, text }.build(),
    }
}

fn current_version(body: &str) -> u64 {
    let current: Option<Object<serde_json::Value>> = serde_json::from_str(body).unwrap_or(None);
    current.map_or(0, |object| object.version)
}
