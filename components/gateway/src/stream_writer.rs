use crate::adapter::{Adapter, ObjectKind};
use crate::clock::now;
use crate::gateway::Gateway;
use crate::software_versions::retention;
use crate::store_connection::StoreConnection;
use crate::update_source::UpdateSource;
use bytes::Bytes;
use decision::Millis;
use decision::routing::{StreamBatch, batch_interval};
use http::{Method, StatusCode};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

/// Time limit of a call: twice the response time of a slow store.
const CALL_TIMEOUT: Millis = Millis(400);
/// Time between two searches for objects of daemons that are gone.
const CLEANUP_INTERVAL: Millis = Millis(20_000);

/// Writes the streams that this daemon began to its object in the store.
#[derive(Debug)]
struct StreamWriter {
    store: StoreConnection,
    /// The name of the object, which no other process uses.
    name: String,
    /// Whether the object exists, as far as is known.
    exists: bool,
}

/// The objects of all daemons, by name, with their revisions and the times at which these were first
/// seen.
type SeenObjects = BTreeMap<String, (u64, Millis)>;

/// Writes the streams of services with several software versions as they begin. Never returns.
pub(crate) async fn write_streams<A: Adapter>(gateway: Rc<Gateway<A>>) {
    let mut writer = StreamWriter {
        store: StoreConnection::new(ObjectKind::Streams, CALL_TIMEOUT),
        name: format!("{:016x}", gateway.incarnation),
        exists: false,
    };
    let mut written = 0;
    let mut is_failing = false;
    let mut seen = SeenObjects::new();
    let mut next_cleanup = now() + CLEANUP_INTERVAL;
    loop {
        sleep(Duration::from_millis(write_interval(&gateway).0)).await;
        let Some(services) = gateway.versions.services_with_several(&gateway) else { continue };
        if now() >= next_cleanup {
            next_cleanup = now() + CLEANUP_INTERVAL;
            if !services.is_empty() || writer.exists || !seen.is_empty() {
                writer.remove_unused(&gateway, &mut seen).await;
            }
        }
        let additions = gateway.streams.borrow().additions();
        if services.is_empty() || additions == written {
            continue;
        }
        let batch = gateway.streams.borrow().batch(&services);
        let result = writer.write(&gateway, &batch).await;
        if let Err(text) = &result
            && !is_failing
        {
            tracing::warn!(event = "streams_not_written", text);
        }
        is_failing = result.is_err();
        if !is_failing {
            written = additions;
        }
    }
}

/// The time between two writes of this daemon.
pub(crate) fn write_interval<A: Adapter>(gateway: &Gateway<A>) -> Millis {
    let writes_per_second = gateway.settings().store_writes_per_second;
    batch_interval(gateway.daemon_count(now()), writes_per_second)
}

impl StreamWriter {
    async fn write<A: Adapter>(
        &mut self,
        gateway: &Gateway<A>,
        batch: &StreamBatch,
    ) -> Result<(), String> {
        let body = Bytes::from(gateway.adapter.write_object(&self.name, batch, None));
        // Another daemon removes the object if it was not written for long.
        for _ in 0..2 {
            let (method, name) = match self.exists {
                true => (Method::PUT, Some(self.name.as_str())),
                false => (Method::POST, None),
            };
            let target = gateway.adapter.object_target(ObjectKind::Streams, name);
            let called = self.store.call(gateway, method, &target, body.clone()).await;
            match called.map_err(|e| e.to_string())? {
                (status, _) if status.is_success() => {
                    self.exists = true;
                    return Ok(());
                }
                (StatusCode::CONFLICT, _) => self.exists = true,
                (StatusCode::NOT_FOUND, _) => self.exists = false,
                (status, _) => {
                    return Err(format!("{target}: store responded with status {status}"));
                }
            }
        }
        Err(format!("object {} is created and removed at the same time", self.name))
    }

    /// Removes objects that were not written for so long that all their streams have ended, while
    /// this daemon reads the registry.
    async fn remove_unused<A: Adapter>(&mut self, gateway: &Gateway<A>, seen: &mut SeenObjects) {
        if gateway.update_source.get() != UpdateSource::Store {
            return seen.clear();
        }
        let listed = match list_streams(&mut self.store, gateway).await {
            Ok(listed) => listed,
            Err(text) => return tracing::info!(event = "streams_not_listed", text),
        };
        let is_unchanged = |name: &str, revision: u64| {
            listed.iter().any(|stored| stored.0 == name && stored.1 == revision)
        };
        seen.retain(|name, (revision, _)| is_unchanged(name, *revision));
        for (name, revision, _) in listed {
            let (_, since) = *seen.entry(name.clone()).or_insert((revision, now()));
            if now().since(since) >= retention(gateway) {
                let target = gateway.adapter.object_target(ObjectKind::Streams, Some(&name));
                let called = self.store.call(gateway, Method::DELETE, &target, Bytes::new()).await;
                let status = called.map(|(status, _)| status.as_u16()).map_err(|e| e.to_string());
                tracing::info!(event = "streams_removed", name, status = ?status);
                seen.remove(&name);
            }
        }
    }
}

/// Reads the objects of all daemons, with their revisions. One that cannot be decoded is logged.
pub(crate) async fn list_streams<A: Adapter>(
    store: &mut StoreConnection,
    gateway: &Gateway<A>,
) -> Result<Vec<(String, u64, StreamBatch)>, String> {
    let mut batches = Vec::new();
    let mut after: Option<String> = None;
    loop {
        let target = gateway.adapter.list_target(ObjectKind::Streams, after.as_deref(), false);
        let body = store.get(gateway, &target).await?;
        let page = gateway.adapter.read_objects::<StreamBatch>(&body)?;
        after = page.items.last().map(|item| item.name.clone());
        for item in page.items {
            match item.value {
                Some(Ok(stored)) => batches.push((item.name, stored.revision, stored.value)),
                Some(Err(text)) => {
                    tracing::warn!(event = "streams_unreadable", name = %item.name, text);
                }
                None => {}
            }
        }
        if !page.has_more || after.is_none() {
            return Ok(batches);
        }
    }
}
