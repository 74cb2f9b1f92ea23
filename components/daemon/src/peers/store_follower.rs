use super::Peers;
use config::{LISTS_KIND, LISTS_NAME, Lists, Manifest, PublishedLists, Reader};
use crossbeam::channel::Receiver;
use decision::Millis;
use decision::cluster::{Event, Scope, StoreCall, StoreOutcome};
use serde::{Deserialize, Serialize};
use std::fmt::Display;
use std::sync::atomic::Ordering;
use std::time::Duration;
use store::{Change, Changes, Object, Store, StoreError};

const STORE_TIMEOUT: Duration = Duration::from_secs(2);
const WATCH_TIMEOUT: Duration = Duration::from_secs(30);

/// The gossip key under which the daemons that watch the store report whether it responds.
pub(super) const STORE_KEY: &str = "store";

/// Lifetime of a report; longer than `WATCH_TIMEOUT`, so that it is renewed before it expires.
const STORE_TTL: Millis = Millis(45_000);

/// The lists in the form in which daemons exchange them.
#[derive(Deserialize, Serialize)]
pub(super) struct ListsDocument {
    /// The digest of the manifest in the object API.
    pub digest: String,
    pub lists: Lists,
}

/// Makes the calls to the store that the cluster requests, and reports whether it responds.
pub(super) fn follow_store(peers: &Peers, calls: &Receiver<StoreCall>) {
    let store = Store::new(peers.tables.cfg.store, STORE_TIMEOUT);
    let mut reader = Reader::default();
    for call in calls {
        let event = call_store(&store, &mut reader, call);
        let reachable = event != Event::Store(StoreOutcome::Failed);
        if reachable {
            let responded_at = peers.tables.now().0 + 1;
            peers.tables.last_store_response.store(responded_at, Ordering::Relaxed);
        }
        peers.handle(event);
        peers.handle(Event::Publish {
            key: STORE_KEY.to_string(),
            scope: Scope::DataCentre,
            ttl: STORE_TTL,
            values: vec![u64::from(reachable)],
        });
    }
}

fn call_store(store: &Store, reader: &mut Reader, call: StoreCall) -> Event {
    match call {
        StoreCall::Read => read(store, reader),
        StoreCall::Watch { after } => watch(store, reader, after),
    }
}

fn read(store: &Store, reader: &mut Reader) -> Event {
    let (version, mut objects) = match store.list::<Manifest>(LISTS_KIND) {
        Ok(listing) => listing,
        Err(e) => return failed(&e),
    };
    match objects.remove(LISTS_NAME) {
        Some(manifest) => assemble(store, reader, manifest, version),
        None => Event::Store(StoreOutcome::Unchanged { version }),
    }
}

fn watch(store: &Store, reader: &mut Reader, after: u64) -> Event {
    let watched: Result<Changes<Manifest>, StoreError> =
        store.watch(LISTS_KIND, after, WATCH_TIMEOUT);
    let Changes { version, changes } = match watched {
        Ok(changes) => changes,
        Err(StoreError::HistoryGone { .. }) => return Event::Store(StoreOutcome::Gap),
        Err(e) => return failed(&e),
    };
    let last = changes.into_iter().rfind(|change| change.name == LISTS_NAME);
    let Some(Change { version: written, value: Some(value), .. }) = last else {
        return Event::Store(StoreOutcome::Unchanged { version });
    };
    assemble(store, reader, Object { version: written, value }, version)
}

fn assemble(store: &Store, reader: &mut Reader, manifest: Object<Manifest>, version: u64) -> Event {
    let PublishedLists { revision, digest, lists, .. } = match reader.assemble(store, manifest) {
        Ok(published) => published,
        Err(e) => return failed(&e),
    };
    match serde_json::to_string(&ListsDocument { digest, lists }) {
        Ok(text) => Event::Lists { version, revision, text },
        Err(e) => failed(&e),
    }
}

fn failed<E: Display>(error: &E) -> Event {
    log::warn!("cannot read the lists from the store; the active lists stay: {error}");
    Event::Store(StoreOutcome::Failed)
}
