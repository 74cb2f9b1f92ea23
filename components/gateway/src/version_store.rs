use crate::adapter::{Adapter, ObjectKind};
use crate::gateway::Gateway;
use crate::store_connection::StoreConnection;
use bytes::Bytes;
use decision::Millis;
use decision::routing::VersionRecord;
use http::{Method, StatusCode};

/// The name of the object that holds the record.
const RECORD_NAME: &str = "main";
/// Time limit of a call: four times the response time of a slow store.
const CALL_TIMEOUT: Millis = Millis(800);

/// Reads and writes the record of software versions in the store.
#[derive(Debug)]
pub(crate) struct VersionStore {
    store: StoreConnection,
}

impl Default for VersionStore {
    fn default() -> VersionStore {
        VersionStore { store: StoreConnection::new(ObjectKind::SoftwareVersions, CALL_TIMEOUT) }
    }
}

impl VersionStore {
    /// Reads the record and its revision; an empty record without one if it does not exist.
    pub(crate) async fn read<A: Adapter>(
        &mut self,
        gateway: &Gateway<A>,
    ) -> Result<(VersionRecord, Option<u64>), String> {
        let target = gateway.adapter.object_target(ObjectKind::SoftwareVersions, Some(RECORD_NAME));
        let called = self.store.call(gateway, Method::GET, &target, Bytes::new()).await;
        match called.map_err(|e| e.to_string())? {
            (StatusCode::OK, body) => {
                let stored = gateway.adapter.read_object::<VersionRecord>(&body)?;
                Ok((stored.value, Some(stored.revision)))
            }
            (StatusCode::NOT_FOUND, _) => Ok((VersionRecord::default(), None)),
            (status, _) => Err(format!("{target}: store responded with status {status}")),
        }
    }

    /// Replaces the record if it still has the revision `replaces`, or does not exist. It has to be
    /// read again to learn whether it was replaced.
    pub(crate) async fn replace<A: Adapter>(
        &mut self,
        gateway: &Gateway<A>,
        record: &VersionRecord,
        replaces: Option<u64>,
    ) -> Result<(), String> {
        let body = gateway.adapter.write_object(RECORD_NAME, record, replaces);
        let (method, name) = match replaces {
            Some(_) => (Method::PUT, Some(RECORD_NAME)),
            None => (Method::POST, None),
        };
        let target = gateway.adapter.object_target(ObjectKind::SoftwareVersions, name);
        let called = self.store.call(gateway, method, &target, Bytes::from(body)).await;
        match called.map_err(|e| e.to_string())? {
            (status, _) if status.is_success() || status == StatusCode::CONFLICT => Ok(()),
            (status, _) => Err(format!("{target}: store responded with status {status}")),
        }
    }
}
