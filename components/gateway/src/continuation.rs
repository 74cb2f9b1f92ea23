use crate::adapter::{Adapter, ObjectKind};
use crate::clock::now;
use crate::gateway::Gateway;
use crate::routed_request::RoutedRequest;
use crate::software_versions::{check_versions_known, retention};
use crate::store_connection::StoreConnection;
use crate::stream_writer::{list_streams, write_interval};
use crate::version_store::VersionStore;
use decision::Millis;
use decision::routing::{BegunStream, SoftwareVersion, StreamKey, VersionRecord};
use std::collections::BTreeSet;
use std::time::Duration;
use tokio::time::sleep;

/// Time limit of a page of streams: as long as a client waits for a first event at most.
const LIST_TIMEOUT: Millis = Millis(1_000);
/// How often the streams of other daemons are read for one request.
const MAX_READS: usize = 2;
/// Time between two of these reads, in intervals in which daemons write.
const WRITE_INTERVALS: u32 = 2;

/// Reads what other daemons wrote about streams; used by one request at a time.
#[derive(Debug)]
pub(crate) struct StreamLookup {
    versions: VersionStore,
    streams: StoreConnection,
    /// The number of the last read that succeeded, and its result.
    last: Option<(u64, VersionRecord)>,
}

impl Default for StreamLookup {
    fn default() -> StreamLookup {
        StreamLookup {
            versions: VersionStore::default(),
            streams: StoreConnection::new(ObjectKind::Streams, LIST_TIMEOUT),
            last: None,
        }
    }
}

/// Records the first event of a stream, which decides where it may go on, if its version is known.
pub(crate) fn record_beginning<A: Adapter>(
    gateway: &Gateway<A>,
    request: &RoutedRequest,
    endpoint: &str,
    software_version: &str,
) {
    let Some(key) = request.stream_key() else { return };
    if check_versions_known(gateway, now()).is_err() {
        return;
    }
    let stream = BegunStream {
        key,
        account: request.account.clone().unwrap_or_default(),
        endpoint: endpoint.to_owned(),
        origin: SoftwareVersion {
            service: request.service.clone(),
            version: software_version.to_owned(),
        },
        expires: request.client_leaves.min(now() + retention(gateway)),
    };
    gateway.streams.borrow_mut().record(stream, now());
}

/// The software version at which the stream of a request may go on, as far as this daemon knows it.
pub(crate) fn known_origin<A: Adapter>(
    gateway: &Gateway<A>,
    key: Option<StreamKey>,
) -> Option<SoftwareVersion> {
    gateway.streams.borrow().origin(key?).cloned()
}

/// Finds the software version at which a stream may go on that a client continues. The error states
/// why it is unknown.
pub(crate) async fn find_origin<A: Adapter>(
    gateway: &Gateway<A>,
    request: &RoutedRequest,
) -> Result<SoftwareVersion, String> {
    check_versions_known(gateway, now())?;
    let key = request.stream_key().filter(|_| request.resumes.is_some());
    if let Some(origin) = known_origin(gateway, key) {
        return Ok(origin);
    }
    let mut text = String::new();
    for number in 0..MAX_READS {
        if number > 0 {
            // The daemon that began it may not have written it yet.
            sleep(Duration::from_millis(write_interval(gateway).0) * WRITE_INTERVALS).await;
        }
        match read_streams(gateway).await {
            Ok(record) => {
                let origin = record.only_version(&request.service);
                if let Some(origin) = origin.or_else(|| known_origin(gateway, key)) {
                    return Ok(origin);
                }
                text = String::from("no daemon recorded the stream, and several versions serve");
            }
            Err(error) => text = format!("the store cannot be read: {error}"),
        }
        if key.is_none() || now() >= request.first_byte_due {
            break;
        }
    }
    Err(text)
}

/// Reads the record of software versions and, if a service has several, the streams of all daemons.
/// Requests that wait at the same time share a read that starts after they do.
async fn read_streams<A: Adapter>(gateway: &Gateway<A>) -> Result<VersionRecord, String> {
    let started_before = gateway.stream_reads.get();
    let mut lookup = gateway.stream_lookup.lock().await;
    if let Some((number, record)) = &lookup.last
        && *number > started_before
    {
        return Ok(record.clone());
    }
    let number = gateway.stream_reads.get() + 1;
    gateway.stream_reads.set(number);
    let (record, _) = lookup.versions.read(gateway).await?;
    gateway.versions.set_record(record.clone(), now());
    if !record.services_with_several_versions(&BTreeSet::new()).is_empty() {
        let batches = list_streams(&mut lookup.streams, gateway).await?;
        let expires = now() + retention(gateway);
        let mut streams = gateway.streams.borrow_mut();
        for (name, _, batch) in batches {
            if let Err(text) = streams.add_read(&batch, expires) {
                tracing::warn!(event = "streams_unreadable", name, text);
            }
        }
    }
    lookup.last = Some((number, record.clone()));
    Ok(record)
}
