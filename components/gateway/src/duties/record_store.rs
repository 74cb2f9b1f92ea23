use crate::adapter::{Adapter, ObjectKind};
use crate::gateway::Gateway;
use crate::store_connection::StoreConnection;
use bytes::Bytes;
use decision::Millis;
use decision::duties::{DutyRecord, LeaseEvent};
use http::{Method, StatusCode};
use std::time::Duration;
use tokio::time::timeout;

/// The name of the object that holds the record.
const RECORD_NAME: &str = "main";

/// Reads and writes the record of the holder of the duties in the store.
#[derive(Debug)]
pub(super) struct RecordStore {
    store: StoreConnection,
    /// Time limit of a call.
    limit: Millis,
}

impl RecordStore {
    pub(super) fn new(limit: Millis) -> RecordStore {
        RecordStore { store: StoreConnection::new(ObjectKind::Duties, limit), limit }
    }

    /// Reads the record.
    pub(super) async fn read<A: Adapter>(&mut self, gateway: &Gateway<A>) -> LeaseEvent {
        let target = gateway.adapter.object_target(ObjectKind::Duties, Some(RECORD_NAME));
        match self.call(gateway, Method::GET, &target, Bytes::new()).await {
            Ok((StatusCode::OK, body)) => match gateway.adapter.read_object::<DutyRecord>(&body) {
                Ok(stored) => LeaseEvent::Read(Some((stored.value, stored.revision))),
                Err(text) => {
                    tracing::warn!(event = "duty_record_unreadable", text);
                    LeaseEvent::ReadFailed
                }
            },
            Ok((StatusCode::NOT_FOUND, _)) => LeaseEvent::Read(None),
            Ok((status, _)) => read_failed(&status.to_string()),
            Err(text) => read_failed(&text),
        }
    }

    /// Writes the record if it still has the revision `replaces`, or does not exist.
    pub(super) async fn write<A: Adapter>(
        &mut self,
        gateway: &Gateway<A>,
        record: &DutyRecord,
        replaces: Option<u64>,
    ) -> LeaseEvent {
        let era = gateway.store_era();
        let body = gateway.adapter.write_object(RECORD_NAME, record, replaces);
        let (method, name) = match replaces {
            Some(_) => (Method::PUT, Some(RECORD_NAME)),
            None => (Method::POST, None),
        };
        let target = gateway.adapter.object_target(ObjectKind::Duties, name);
        match self.call(gateway, method, &target, Bytes::from(body)).await {
            // The revision that it replaced may be another one than that which was read.
            Ok(_) if gateway.store_era() != era => write_failed("the store has a new era"),
            Ok((status, body)) if status.is_success() => {
                let stored = gateway.adapter.read_object::<DutyRecord>(&body).ok();
                // A store may repeat the object as it was sent, with the replaced revision.
                let stored = stored.filter(|stored| stored.value == *record);
                let revision = stored.map(|stored| stored.revision);
                LeaseEvent::Written(revision.filter(|revision| Some(*revision) > replaces))
            }
            Ok((StatusCode::CONFLICT | StatusCode::NOT_FOUND, _)) => LeaseEvent::Conflict,
            Ok((status, _)) => write_failed(&status.to_string()),
            Err(text) => write_failed(&text),
        }
    }

    /// Makes a call that ends within the time limit, the connection included.
    async fn call<A: Adapter>(
        &mut self,
        gateway: &Gateway<A>,
        method: Method,
        target: &str,
        body: Bytes,
    ) -> Result<(StatusCode, Bytes), String> {
        let called = self.store.call(gateway, method, target, body);
        match timeout(Duration::from_millis(self.limit.0), called).await {
            Ok(result) => result.map_err(|e| e.to_string()),
            Err(_) => Err(format!("no response within {} ms", self.limit.0)),
        }
    }
}

fn read_failed(text: &str) -> LeaseEvent {
    tracing::debug!(event = "duty_record_not_read", text);
    LeaseEvent::ReadFailed
}

fn write_failed(text: &str) -> LeaseEvent {
    tracing::debug!(event = "duty_record_not_written", text);
    LeaseEvent::WriteFailed
}
