use serde::Serialize;
use serde::de::DeserializeOwned;
use store::{Object, Store, StoreError};

/// Where the lists are kept: objects with versions and conditional writes.
pub trait Objects {
    /// Reads an object.
    fn read<T: DeserializeOwned>(
        &self,
        kind: &str,
        name: &str,
    ) -> Result<Option<Object<T>>, StoreError>;

    /// Writes an object if it has `expected` as its version; 0 means that there is none yet.
    fn write<T: Serialize>(
        &self,
        kind: &str,
        name: &str,
        value: &T,
        expected: u64,
    ) -> Result<u64, StoreError>;
}

impl Objects for Store {
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
