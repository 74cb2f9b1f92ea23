use serde::Serialize;
use serde::de::DeserializeOwned;
use store::{Object, Store, StoreError};

/// A store of versioned objects with conditional writes, which holds the lists.
pub trait ObjectStore {
    /// Reads an object; `None` when it does not exist.
    fn read<T: DeserializeOwned>(
        &self,
        kind: &str,
        name: &str,
    ) -> Result<Option<Object<T>>, StoreError>;

    /// Writes an object if its current version is `expected`, or creates it if `expected` is 0.
    /// Returns the new version.
    fn write<T: Serialize>(
        &self,
        kind: &str,
        name: &str,
        value: &T,
        expected: u64,
    ) -> Result<u64, StoreError>;
}

impl ObjectStore for Store {
    fn read<T: DeserializeOwned>(
        &self,
        kind: &str,
        name: &str,
    ) -> Result<Option<Object<T>>, StoreError> {
        self.get(kind, name)
    }

    fn write<T: Serialize>(
        &self,
        kind: &str,
        name: &str,
        value: &T,
        expected: u64,
    ) -> Result<u64, StoreError> {
        self.put(kind, name, value, expected)
    }
}
