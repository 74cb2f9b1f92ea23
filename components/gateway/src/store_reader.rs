use crate::adapter::{Adapter, ObjectKind};
use crate::clock::now;
use crate::connection::{Connection, ConnectionError};
use crate::gateway::Gateway;
use crate::metrics::StoreLabels;
use crate::object_feed::ObjectFeed;
use crate::source::UpdateSource;
use bytes::Bytes;
use decision::Millis;
use decision::routing::REREGISTRATION_TIMEOUT;
use http::StatusCode;
use rand::RngExt;
use snafu::Snafu;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

/// The longest wait for an answer to a read: a store that answers sixty times as slowly as usual.
const READ_TIMEOUT: Millis = Millis(2_000);
/// The longest wait for a connection to the store.
const CONNECT_TIMEOUT: Millis = Millis(1_000);
/// The largest answer of the store, in bytes: a page of 1 MB with its encoding.
const MAX_RESPONSE_BYTES: usize = 4 << 20;
/// Time without an answer of the store from which entries may lapse: two heartbeats of an endpoint
/// that writes each second, of the three after which an entry lapses.
const OUTAGE_THRESHOLD: Millis = Millis(2_000);
/// The first pause after a failed call; it doubles up to [`MAX_RETRY_DELAY`].
const FIRST_RETRY_DELAY: Millis = Millis(150);
/// The longest pause, so that keys work again within a second of the store's return.
const MAX_RETRY_DELAY: Millis = Millis(800);

/// A call to the store that did not give what was asked.
#[derive(Debug, Snafu)]
enum CallError {
    #[snafu(display("{text}"))]
    Unreachable { text: String },
    #[snafu(display("{target}: the store answered {status}"))]
    Status { target: String, status: StatusCode },
    #[snafu(display("{target}: the history is gone"))]
    HistoryGone { target: String },
    #[snafu(display("{target}: unreadable answer: {text}"))]
    Unreadable { target: String, text: String },
}

impl From<ConnectionError> for CallError {
    fn from(e: ConnectionError) -> CallError {
        CallError::Unreachable { text: e.to_string() }
    }
}

/// How this daemon stands with the store.
struct StoreReader<A> {
    gateway: Rc<Gateway<A>>,
    connection: Option<Connection>,
    /// The revision from which to watch.
    revision: Option<u64>,
    failing_since: Option<Millis>,
    retry_delay: Millis,
}

/// Follows one kind of object for as long as the daemon runs.
pub(crate) async fn read_store<A: Adapter, F: ObjectFeed>(gateway: Rc<Gateway<A>>) {
    let mut reader = StoreReader {
        gateway,
        connection: None,
        revision: None,
        failing_since: None,
        retry_delay: FIRST_RETRY_DELAY,
    };
    let gateway = reader.gateway.clone();
    loop {
        gateway.update_source.until(UpdateSource::Store).await;
        let result = tokio::select! {
            result = reader.read_next::<F>() => result,
            () = gateway.update_source.until(UpdateSource::Peer) => {
                reader.reset();
                continue;
            }
        };
        match result {
            Ok(()) => reader.record_success::<F>(),
            Err(e) => reader.handle_failure::<F>(&e).await,
        }
    }
}

impl<A: Adapter> StoreReader<A> {
    async fn read_next<F: ObjectFeed>(&mut self) -> Result<(), CallError> {
        match self.revision {
            Some(since) => self.watch::<F>(since).await,
            None => self.list::<F>().await,
        }
    }

    async fn list<F: ObjectFeed>(&mut self) -> Result<(), CallError> {
        let sent = now();
        let mut items = Vec::new();
        let mut revision = None;
        loop {
            let after = items.last().map(|item: &crate::adapter::Item<F::Value>| &*item.name);
            let target = self.gateway.adapter.list_target(F::KIND, after, false);
            let body = self.get::<F>(&target, READ_TIMEOUT).await?;
            let page = F::read_page(&self.gateway.adapter, &body)
                .map_err(|text| CallError::Unreadable { target, text })?;
            // Changes made while later pages were read show in the watch from the first one.
            revision.get_or_insert(page.revision);
            let is_last = !page.has_more || page.items.is_empty();
            items.extend(page.items);
            if is_last {
                break;
            }
        }
        F::replace(&self.gateway, items, self.is_after_outage(now()), now());
        F::confirm(&self.gateway, sent);
        self.revision = revision;
        Ok(())
    }

    async fn watch<F: ObjectFeed>(&mut self, since: u64) -> Result<(), CallError> {
        let sent = now();
        let target = self.gateway.adapter.watch_target(F::KIND, since, F::WATCH_WAIT);
        let body = match self.get::<F>(&target, F::WATCH_WAIT + READ_TIMEOUT).await {
            Ok(body) => body,
            Err(CallError::HistoryGone { target }) => {
                self.revision = None;
                tracing::info!(event = "history_gone", kind = F::KIND.as_str(), target);
                return Ok(());
            }
            Err(e) => return Err(e),
        };
        let changes = F::read_changes(&self.gateway.adapter, &body)
            .map_err(|text| CallError::Unreadable { target, text })?;
        let after_outage = self.is_after_outage(now());
        for item in changes.items {
            F::apply_change(&self.gateway, item, after_outage, now());
        }
        F::confirm(&self.gateway, sent);
        self.revision = Some(changes.revision);
        Ok(())
    }

    /// Returns whether entries may be missing only because the store was away.
    fn is_after_outage(&self, now: Millis) -> bool {
        self.was_outage(now) || !self.gateway.is_registry_settled(now)
    }

    async fn get<F: ObjectFeed>(
        &mut self,
        target: &str,
        limit: Millis,
    ) -> Result<Bytes, CallError> {
        let result = self.call(target, limit).await;
        let text = match &result {
            Ok((status, _)) if status.is_success() => "ok",
            Ok(_) => "refused",
            Err(_) => "unreachable",
        };
        let labels = StoreLabels { kind: F::KIND.as_str(), result: text };
        self.gateway.metrics.store_calls.get_or_create(&labels).inc();
        let target = target.to_owned();
        match result? {
            (StatusCode::OK, body) => Ok(body),
            (StatusCode::GONE, _) => Err(CallError::HistoryGone { target }),
            (status, _) => Err(CallError::Status { target, status }),
        }
    }

    async fn call(
        &mut self,
        target: &str,
        limit: Millis,
    ) -> Result<(StatusCode, Bytes), ConnectionError> {
        let address = self.gateway.settings().store;
        let mut connection = match self.connection.take().filter(Connection::is_ready) {
            Some(connection) => connection,
            None => Connection::open(address, CONNECT_TIMEOUT).await?,
        };
        let host = address.to_string();
        let answer = connection.get(&host, target, limit, MAX_RESPONSE_BYTES).await?;
        self.connection = Some(connection);
        Ok(answer)
    }

    /// Stops reading while another daemon is followed.
    fn reset(&mut self) {
        self.connection = None;
        self.revision = None;
        self.failing_since = None;
        self.retry_delay = FIRST_RETRY_DELAY;
    }

    /// Returns whether calls have failed for so long that entries may have lapsed.
    fn was_outage(&self, now: Millis) -> bool {
        self.failing_since.is_some_and(|since| now.since(since) >= OUTAGE_THRESHOLD)
    }

    fn record_success<F: ObjectFeed>(&mut self) {
        self.retry_delay = FIRST_RETRY_DELAY;
        if F::KIND == ObjectKind::Endpoints && self.was_outage(now()) {
            self.gateway.unsettled_until.set(now() + REREGISTRATION_TIMEOUT);
        }
        if let Some(failing_since) = self.failing_since.take() {
            let after_ms = now().since(failing_since).0;
            tracing::info!(event = "store_regained", kind = F::KIND.as_str(), after_ms);
        }
    }

    async fn handle_failure<F: ObjectFeed>(&mut self, e: &CallError) {
        self.connection = None;
        // A list answers at once when the store is back; a watch would wait for a change.
        self.revision = None;
        if self.failing_since.is_none() {
            self.failing_since = Some(now());
            tracing::warn!(event = "store_lost", kind = F::KIND.as_str(), error = %e);
        }
        let jitter: f64 = self.gateway.rng.borrow_mut().random();
        let delay = self.retry_delay.0 as f64 * (0.75 + jitter / 2.0);
        sleep(Duration::from_millis(delay as u64)).await;
        self.retry_delay = (self.retry_delay + self.retry_delay).min(MAX_RETRY_DELAY);
    }
}
