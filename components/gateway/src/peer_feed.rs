use crate::adapter::{Adapter, Item};
use crate::clock::now;
use crate::connection::Connection;
use crate::gateway::Gateway;
use crate::object_feed::{Endpoints, ObjectFeed, activate};
use crate::update_source::UpdateSource;
use bytes::Bytes;
use decision::Millis;
use decision::routing::{Configuration, Registration};
use http::header::HOST;
use http::{Method, Request, StatusCode};
use http_body_util::Full;
use messages::feed::{EndpointLoad, FeedPosition, FeedRequest, FeedResponse};
use serde::de::DeserializeOwned;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{sleep, timeout};

/// How long a followed daemon may delay its response while it waits for a change. Loads are
/// reported with each request, so about as often.
const FEED_WAIT: Millis = Millis(400);
/// Response timeout within a data centre, in addition to the wait.
const RESPONSE_MARGIN: Millis = Millis(400);
/// Connect timeout within a data centre.
const CONNECT_TIMEOUT: Millis = Millis(300);
/// Time between load exchanges with the other data centres.
const EXCHANGE_INTERVAL: Duration = Duration::from_millis(500);
/// Timeout of calls to another data centre: several round trips between regions.
const REMOTE_TIMEOUT: Millis = Millis(800);
/// Time after a failure in which a daemon is not followed again.
const PEER_RETRY_DELAY: Millis = Millis(5_000);
/// Number of daemons of the data centre that are considered, in order of rank. With more, a daemon
/// of a large data centre could try one after the other until its own keys are no longer fresh.
const MAX_PEER_CANDIDATES: usize = 2;
/// Maximum age of a followed daemon's freshness confirmation, as a share of the revocation bound.
const MAX_CONFIRMATION_AGE_SHARE: f64 = 0.6;
/// Maximum response size: a configuration of 1 MB and the registry.
const MAX_RESPONSE_BYTES: usize = 8 << 20;
/// The path of the feed on the peer listener.
pub(crate) const PATH: &str = "/feed";

/// Follows the highest-ranked daemon of the data centre that is ranked before this one, or the next
/// one if that fails. Reads the store when neither is available. Never returns.
pub(crate) async fn follow<A: Adapter>(gateway: Rc<Gateway<A>>) {
    let mut unavailable: BTreeMap<String, Millis> = BTreeMap::new();
    loop {
        unavailable.retain(|_, until| now() < *until);
        let settings = gateway.settings();
        let ranked =
            gateway.members.borrow().ranked_before(&settings.name, &settings.data_centre, now());
        let mut candidates = ranked.into_iter().take(MAX_PEER_CANDIDATES);
        let candidate = candidates.find(|(name, _)| !unavailable.contains_key(name));
        let Some((name, address)) = candidate else {
            gateway.update_source.set(UpdateSource::Store);
            let wait = Duration::from_millis(PEER_RETRY_DELAY.0 / 5);
            // Members are checked again after the time-out, also without a notification.
            let _ = timeout(wait, gateway.members_changed.notified()).await;
            continue;
        };
        let text = follow_peer(&gateway, &name, &address).await;
        tracing::info!(event = "peer_lost", peer = %name, text);
        unavailable.insert(name, now() + PEER_RETRY_DELAY);
    }
}

/// Follows one daemon until a call fails or its configuration was confirmed too long ago. Returns
/// the reason.
async fn follow_peer<A: Adapter>(gateway: &Rc<Gateway<A>>, name: &str, address: &str) -> String {
    let address: SocketAddr = match address.parse() {
        Ok(address) => address,
        Err(e) => return format!("{address}: {e}"),
    };
    let mut from: Option<FeedPosition> = None;
    let mut connection_slot = None;
    loop {
        let sent = now();
        let loads = gateway.loads.borrow().own_loads();
        let loads = gateway.load_exchange.borrow().data_centre_loads(&loads);
        let feed_req = feed_request(gateway, from.clone(), loads, false);
        let limit = FEED_WAIT + RESPONSE_MARGIN;
        let feed =
            match call(&mut connection_slot, address, &feed_req, CONNECT_TIMEOUT, limit).await {
                Ok(feed) => feed,
                Err(text) => return text,
            };
        if let Err(text) = check_freshness(gateway, &feed) {
            return text;
        }
        if from.is_none() {
            tracing::info!(event = "peer_followed", peer = %name);
        }
        from = Some(feed.position.clone());
        apply_feed(gateway, feed, sent);
        gateway.update_source.set(UpdateSource::Peer);
    }
}

/// Exchanges loads with the other data centres while this daemon is the store reader of its own.
/// Never returns.
pub(crate) async fn exchange_loads<A: Adapter>(gateway: Rc<Gateway<A>>) {
    let mut connections: BTreeMap<String, Option<Connection>> = BTreeMap::new();
    loop {
        sleep(EXCHANGE_INTERVAL).await;
        if gateway.update_source.get() == UpdateSource::Peer {
            connections.clear();
            continue;
        }
        for (data_centre, address) in exchange_partners(&gateway) {
            let own = gateway.loads.borrow().own_loads();
            let loads = gateway.load_exchange.borrow().data_centre_loads(&own);
            let feed_req = feed_request(&gateway, None, loads, true);
            let connection_slot = connections.entry(data_centre.clone()).or_default();
            match call(connection_slot, address, &feed_req, REMOTE_TIMEOUT, REMOTE_TIMEOUT).await {
                Ok(feed) => {
                    let mut exchange = gateway.load_exchange.borrow_mut();
                    exchange.record_data_centre(&data_centre, feed.loads, now());
                }
                Err(text) => {
                    tracing::debug!(event = "loads_not_exchanged", data_centre, text);
                }
            }
        }
        apply_peer_loads(&gateway);
    }
}

/// Returns the store readers of the data centres that this one calls. Of each pair of data centres,
/// the one whose name sorts first calls the other.
fn exchange_partners<A: Adapter>(gateway: &Gateway<A>) -> Vec<(String, SocketAddr)> {
    let own = gateway.settings().data_centre.clone();
    let members = gateway.members.borrow();
    let others = members.data_centres(now()).into_iter().filter(|other| *other > own);
    let reader = |data_centre: String| {
        let address = members.ranked(&data_centre, now()).first()?.1.address.parse().ok()?;
        Some((data_centre, address))
    };
    others.filter_map(reader).collect()
}

/// Applies the loads that other daemons reported to this store reader.
fn apply_peer_loads<A: Adapter>(gateway: &Gateway<A>) {
    let rows = gateway.load_exchange.borrow().fleet_loads(&[], "");
    gateway.loads.borrow_mut().set_peer_loads(&rows, now());
}

fn feed_request<A: Adapter>(
    gateway: &Gateway<A>,
    from: Option<FeedPosition>,
    loads: Vec<EndpointLoad>,
    whole_data_centre: bool,
) -> FeedRequest {
    let settings = gateway.settings();
    FeedRequest {
        name: settings.name.clone(),
        data_centre: settings.data_centre.clone(),
        whole_data_centre,
        from,
        wait_ms: FEED_WAIT.0,
        loads,
    }
}

async fn call(
    connection_slot: &mut Option<Connection>,
    address: SocketAddr,
    feed_req: &FeedRequest,
    connect_limit: Millis,
    limit: Millis,
) -> Result<FeedResponse, String> {
    let body = rmp_serde::to_vec_named(feed_req).map_err(|e| e.to_string())?;
    let mut connection = match connection_slot.take().filter(Connection::is_ready) {
        Some(connection) => connection,
        None => Connection::open(address, connect_limit).await.map_err(|e| e.to_string())?,
    };
    let mut req = Request::new(Full::new(Bytes::from(body)));
    *req.method_mut() = Method::POST;
    *req.uri_mut() = http::Uri::from_static(PATH);
    req.headers_mut().extend(address.to_string().parse().ok().map(|host| (HOST, host)));
    let (status, body) = connection
        .send_and_read(req, limit, MAX_RESPONSE_BYTES)
        .await
        .map_err(|e| e.to_string())?;
    if status != StatusCode::OK {
        return Err(format!("{address}: response status {status}"));
    }
    *connection_slot = Some(connection);
    rmp_serde::from_slice(&body).map_err(|e| format!("{address}: {e}"))
}

/// Checks that the configuration of a followed daemon was confirmed recently enough to rely on.
fn check_freshness<A: Adapter>(gateway: &Gateway<A>, feed: &FeedResponse) -> Result<(), String> {
    let Some(bound) = gateway.settings().revocation_bound else {
        return feed.proof_age_ms.map(drop).ok_or_else(|| {
            String::from("peer has never confirmed its configuration with the store")
        });
    };
    let limit = bound.0 as f64 * MAX_CONFIRMATION_AGE_SHARE;
    match feed.proof_age_ms {
        Some(age) if (age as f64) < limit => Ok(()),
        Some(age) => Err(format!(
            "freshness confirmation of the peer is {age} ms old, limit is {limit:.0} ms"
        )),
        None => Err(String::from("peer has never confirmed its configuration with the store")),
    }
}

fn apply_feed<A: Adapter>(gateway: &Gateway<A>, feed: FeedResponse, sent: Millis) {
    if let Some(configuration) = from_json::<Configuration>(feed.configuration.as_deref()) {
        activate(gateway, configuration);
    }
    if !feed.is_settled {
        gateway.unsettled_until.set(now() + FEED_WAIT + RESPONSE_MARGIN);
    }
    let items = feed.endpoints.into_iter().map(|change| Item {
        value: from_json::<Registration>(change.registration.as_deref()).map(Ok),
        name: change.endpoint,
    });
    if feed.is_complete {
        Endpoints::replace(gateway, items.collect(), !feed.is_settled, now());
    } else {
        items.for_each(|item| Endpoints::apply_change(gateway, item, false, now()));
    }
    if let Some(age) = feed.proof_age_ms {
        // The peer measured `age` when it built its response. That is no earlier than `built_at`,
        // so the result does not overstate the freshness.
        let built_at = sent + Millis(feed.waited_ms);
        gateway.freshness.borrow_mut().confirm(built_at - Millis(age));
    }
    gateway.loads.borrow_mut().set_peer_loads(&feed.loads, now());
}

fn from_json<T: DeserializeOwned>(text: Option<&str>) -> Option<T> {
    match serde_json::from_str(text?) {
        Ok(value) => Some(value),
        Err(e) => {
            tracing::error!(event = "peer_answer_unreadable", error = %e);
            None
        }
    }
}
