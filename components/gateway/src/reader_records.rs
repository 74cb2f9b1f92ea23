use crate::adapter::{Adapter, ObjectKind};
use crate::clock::now;
use crate::gateway::Gateway;
use crate::store_connection::StoreConnection;
use bytes::Bytes;
use decision::Millis;
use decision::routing::{ClaimOutcome, Peer, ReaderRecord};
use http::{Method, StatusCode};
use std::collections::BTreeMap;
use std::rc::Rc;
use tokio::task::spawn_local;

/// Time limit of a call, twice the response time of a slow store: while it lasts, a follower gets no
/// updates from its peer.
const STORE_TIMEOUT: Millis = Millis(400);

/// Reads and writes the records of the data centres' store readers.
#[derive(Debug)]
pub(crate) struct ReaderRecords {
    store: StoreConnection,
}

impl Default for ReaderRecords {
    fn default() -> ReaderRecords {
        ReaderRecords { store: StoreConnection::new(ObjectKind::Readers, STORE_TIMEOUT) }
    }
}

impl ReaderRecords {
    /// Reads the records of all data centres; with `stale`, the store may return data that is
    /// seconds old.
    pub(crate) async fn read<A: Adapter>(
        &mut self,
        gateway: &Gateway<A>,
        stale: bool,
    ) -> Result<BTreeMap<String, ReaderRecord>, String> {
        let mut records = BTreeMap::new();
        let mut after: Option<String> = None;
        loop {
            let target = gateway.adapter.list_target(ObjectKind::Readers, after.as_deref(), stale);
            let body = self.store.get(gateway, &target).await?;
            let page = gateway.adapter.read_readers(&body)?;
            after = page.items.last().map(|item| item.name.clone());
            for item in page.items {
                match item.value {
                    Some(Ok(record)) => {
                        records.insert(item.name, record);
                    }
                    Some(Err(text)) => {
                        tracing::warn!(event = "reader_unreadable", name = %item.name, text);
                    }
                    None => {}
                }
            }
            if !page.has_more || after.is_none() {
                if !stale {
                    gateway.freshness.borrow_mut().observe_availability(now());
                }
                return Ok(records);
            }
        }
    }

    /// Makes this daemon the store reader of its data centre, on condition that the record still
    /// has the revision `replaces`, or does not exist.
    pub(crate) async fn claim<A: Adapter>(
        &mut self,
        gateway: &Gateway<A>,
        reader: &Peer,
        replaces: Option<u64>,
    ) -> ClaimOutcome {
        let data_centre = gateway.settings().data_centre.clone();
        let body = gateway.adapter.write_reader(&data_centre, reader, replaces);
        let (method, name) = match replaces {
            Some(_) => (Method::PUT, Some(data_centre.as_str())),
            None => (Method::POST, None),
        };
        let target = gateway.adapter.object_target(ObjectKind::Readers, name);
        let result = self.store.call(gateway, method, &target, Bytes::from(body)).await;
        let (outcome, text) = match result {
            Ok((status, _)) if status.is_success() => (ClaimOutcome::Written, status.to_string()),
            Ok((status @ (StatusCode::CONFLICT | StatusCode::NOT_FOUND), _)) => {
                (ClaimOutcome::Conflict, status.to_string())
            }
            Ok((status, _)) => (ClaimOutcome::Failed, status.to_string()),
            Err(e) => (ClaimOutcome::Failed, e.to_string()),
        };
        tracing::info!(event = "reader_claimed", outcome = ?outcome, replaces, text);
        outcome
    }
}

/// Reads the records while the followed daemon does not respond. The response of the store shows, if this
/// daemon becomes the reader, that no entries of the registry have expired since the last response that the
/// former reader knew of.
pub(crate) fn read_records_meanwhile<A: Adapter>(gateway: &Rc<Gateway<A>>) {
    let gateway = gateway.clone();
    spawn_local(async move {
        match ReaderRecords::default().read(&gateway, false).await {
            Ok(found) => gateway.readers.borrow_mut().observe_records(found, false, now()),
            Err(text) => tracing::warn!(event = "readers_not_read", text),
        }
    });
}
