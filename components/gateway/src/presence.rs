use crate::adapter::{Adapter, ObjectKind};
use crate::clock::now;
use crate::connection::{Connection, ConnectionError};
use crate::gateway::Gateway;
use bytes::Bytes;
use decision::Millis;
use decision::routing::DaemonRecord;
use http::header::{CONTENT_TYPE, HOST};
use http::{Method, Request, StatusCode};
use http_body_util::Full;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

/// Time between updates of this daemon's record and reads of the others.
const UPDATE_INTERVAL: Duration = Duration::from_secs(10);
/// Delays before the first reads after start-up. Daemons that start at the same time write their
/// records meanwhile.
const FIRST_READ_DELAYS: [Duration; 2] = [Duration::from_millis(700), Duration::from_secs(2)];
const STORE_TIMEOUT: Millis = Millis(2_000);
const MAX_RESPONSE_BYTES: usize = 4 << 20;

/// Writes this daemon's record to the store and reads those of the others. Never returns.
pub(crate) async fn run<A: Adapter>(gateway: Rc<Gateway<A>>) {
    let mut presence = Presence { gateway, connection: None, heartbeats: 0 };
    presence.write_or_log_error().await;
    for delay in FIRST_READ_DELAYS {
        sleep(delay).await;
        presence.read_or_log_error(false).await;
    }
    loop {
        sleep(UPDATE_INTERVAL).await;
        presence.write_or_log_error().await;
        presence.read_or_log_error(true).await;
    }
}

struct Presence<A> {
    gateway: Rc<Gateway<A>>,
    connection: Option<Connection>,
    heartbeats: u64,
}

impl<A: Adapter> Presence<A> {
    async fn write_or_log_error(&mut self) {
        if let Err(e) = self.write().await {
            tracing::warn!(event = "presence_not_written", error = e);
        }
    }

    async fn read_or_log_error(&mut self, stale: bool) {
        if let Err(e) = self.read(stale).await {
            tracing::warn!(event = "presence_not_read", error = e);
        }
    }

    /// Creates or replaces the record: the first write tries to create it first, later ones to
    /// replace it.
    async fn write(&mut self) -> Result<(), String> {
        let settings = self.gateway.settings();
        let Some(address) = settings.listen_peers else { return Ok(()) };
        self.heartbeats += 1;
        let record = DaemonRecord {
            data_centre: settings.data_centre.clone(),
            address: address.to_string(),
            beat: self.heartbeats,
        };
        let adapter = &self.gateway.adapter;
        let create = (Method::POST, adapter.object_target(ObjectKind::Daemons, None));
        let replace =
            (Method::PUT, adapter.object_target(ObjectKind::Daemons, Some(&settings.name)));
        let body = Bytes::from(adapter.write_daemon(&settings.name, &record));
        let (first, second) =
            if self.heartbeats == 1 { (create, replace) } else { (replace, create) };
        for (method, target) in [first, second] {
            let (status, _) =
                self.call(method, &target, body.clone()).await.map_err(|e| e.to_string())?;
            match status {
                StatusCode::CONFLICT | StatusCode::NOT_FOUND => {}
                status if status.is_success() => return Ok(()),
                status => return Err(format!("{target}: store responded with status {status}")),
            }
        }
        Err(String::from("cannot write the daemon record: it was created and deleted concurrently"))
    }

    async fn read(&mut self, stale: bool) -> Result<(), String> {
        let mut records = BTreeMap::new();
        let mut after = None;
        loop {
            let adapter = &self.gateway.adapter;
            let target = adapter.list_target(ObjectKind::Daemons, after.as_deref(), stale);
            let (status, body) =
                self.call(Method::GET, &target, Bytes::new()).await.map_err(|e| e.to_string())?;
            if status != StatusCode::OK {
                return Err(format!("{target}: store responded with status {status}"));
            }
            let page = self.gateway.adapter.read_daemons(&body)?;
            after = page.items.last().map(|item| item.name.clone());
            for item in page.items {
                match item.value {
                    Some(Ok(record)) => {
                        records.insert(item.name, record);
                    }
                    Some(Err(text)) => {
                        tracing::warn!(event = "daemon_unreadable", name = %item.name, text);
                    }
                    None => {}
                }
            }
            if !page.has_more || after.is_none() {
                break;
            }
        }
        self.gateway.members.borrow_mut().observe(records, now());
        self.gateway.members_changed.notify_waiters();
        let count = self.gateway.members.borrow().count(now());
        tracing::info!(event = "daemons_counted", count);
        Ok(())
    }

    async fn call(
        &mut self,
        method: Method,
        target: &str,
        body: Bytes,
    ) -> Result<(StatusCode, Bytes), ConnectionError> {
        let address = self.gateway.settings().store;
        let mut connection = match self.connection.take().filter(Connection::is_ready) {
            Some(connection) => connection,
            None => Connection::open(address, STORE_TIMEOUT).await?,
        };
        let mut req = Request::new(Full::new(body));
        *req.method_mut() = method;
        *req.uri_mut() = target.parse().map_err(|e: http::uri::InvalidUri| {
            ConnectionError::Body { address, max_bytes: 0, text: e.to_string() }
        })?;
        let host = address.to_string();
        req.headers_mut().extend(host.parse().ok().map(|host| (HOST, host)));
        let json = http::HeaderValue::from_static("application/json");
        req.headers_mut().insert(CONTENT_TYPE, json);
        let response = connection.send_and_read(req, STORE_TIMEOUT, MAX_RESPONSE_BYTES).await?;
        self.connection = Some(connection);
        Ok(response)
    }
}
