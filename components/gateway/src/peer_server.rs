use crate::adapter::Adapter;
use crate::clock::now;
use crate::gateway::{Change, Gateway};
use crate::load_reports::rank;
use crate::metrics::FeedLabels;
use crate::notices::receive_notices;
use crate::object_feed;
use crate::response::ResponseBody;
use bytes::Bytes;
use decision::Millis;
use decision::routing::{NoticeSource, Peer, Reporter};
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use messages::feed::{ConfigurationUpdate, FeedPeer, FeedPosition, FeedRequest, FeedResponse};
use messages::{endpoint_loads, load_rows};
use rand::RngExt;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::OwnedSemaphorePermit;
use tokio::time::timeout;

const MAX_REQUEST_BYTES: usize = 1 << 20;
/// Maximum size of a change of the configuration that is sent to any number of followers at the same
/// time.
const MAX_SMALL_BYTES: usize = 8 << 10;
/// Maximum time to wait for a change, whatever the follower requests.
const MAX_WAIT: Millis = Millis(5_000);

/// Responds to a daemon that follows this one or exchanges the loads of its data centre.
pub(crate) async fn respond<A: Adapter>(
    gateway: &Rc<Gateway<A>>,
    req: Request<Incoming>,
) -> Response<ResponseBody> {
    let arrived = now();
    match read(req).await {
        Ok(req) => serve_feed(gateway, &req, arrived).await,
        Err(text) => {
            tracing::warn!(event = "peer_request_unreadable", text);
            text_response(StatusCode::BAD_REQUEST, text)
        }
    }
}

fn text_response(status: StatusCode, text: String) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::Complete(Some(Bytes::from(text))));
    *response.status_mut() = status;
    response
}

async fn read(req: Request<Incoming>) -> Result<FeedRequest, String> {
    let body = Limited::new(req.into_body(), MAX_REQUEST_BYTES).collect().await;
    let body = body.map_err(|e| e.to_string())?.to_bytes();
    rmp_serde::from_slice(&body).map_err(|e| e.to_string())
}

async fn serve_feed<A: Adapter>(
    gateway: &Rc<Gateway<A>>,
    req: &FeedRequest,
    arrived: Millis,
) -> Response<ResponseBody> {
    let sender = Peer { name: req.name.clone(), address: req.address.clone() };
    if req.takes_over && req.data_centre == gateway.settings().data_centre {
        tracing::info!(event = "reader_replaced", by = %sender.name);
        gateway.readers.borrow_mut().observe_reader(&req.data_centre, &sender, &[]);
        gateway.reader_changed.notify_waiters();
        return encode(gateway, &empty_response(gateway, arrived), None);
    }
    gateway.relays.borrow_mut().report(sender.clone(), req.reaches_endpoints, arrived);
    let loads = endpoint_loads(req.loads.clone());
    let outcomes = req.outcomes.clone();
    let daemons = req.daemons.unwrap_or(1) as usize;
    let source = if req.whole_data_centre { NoticeSource::Peer } else { NoticeSource::Follower };
    receive_notices(gateway, &req.notices, source);
    if req.whole_data_centre {
        let mut exchange = gateway.load_exchange.borrow_mut();
        exchange.record_data_centre(&req.data_centre, daemons, loads, arrived);
        let mut exchange = gateway.outcome_exchange.borrow_mut();
        exchange.record_data_centre(&req.data_centre, outcomes, arrived);
    } else {
        let is_local = req.data_centre == gateway.settings().data_centre;
        gateway.outcome_exchange.borrow_mut().record_follower(&req.name, outcomes, arrived);
        let reporter = Reporter { peer: sender, daemons, is_local };
        gateway.load_exchange.borrow_mut().record_follower(reporter, loads, arrived);
        let wait = Duration::from_millis(Millis(req.wait_ms).min(MAX_WAIT).0);
        if !gateway.wait_until_initialized(wait).await {
            let text = String::from("this daemon has not read the store yet");
            return text_response(StatusCode::SERVICE_UNAVAILABLE, text);
        }
        if let Some(permit) = permit_for_large_response(gateway, req, arrived).await {
            let feed = build_feed_response(gateway, req, arrived, true);
            return encode(gateway, &feed, Some(permit));
        }
    }
    encode(gateway, &build_feed_response(gateway, req, arrived, false), None)
}

/// Waits for something to send to a follower. Returns a permit if it needs the complete registry or a
/// large change of the configuration. While others receive that change, the follower gets the rest
/// without it.
async fn permit_for_large_response<A: Adapter>(
    gateway: &Gateway<A>,
    req: &FeedRequest,
    arrived: Millis,
) -> Option<OwnedSemaphorePermit> {
    // The semaphore is never closed, so each wait ends with a permit.
    if !has_position(gateway, req) {
        return gateway.full_copies.clone().acquire_owned().await.ok();
    }
    wait_for_change(gateway, req).await;
    if !lacks_large_change(gateway, req) {
        return None;
    }
    let left = Millis(req.wait_ms).min(MAX_WAIT) - now().since(arrived);
    let permit = gateway.full_copies.clone().acquire_owned();
    timeout(Duration::from_millis(left.0), permit).await.ok()?.ok()
}

/// Whether the changes since the position of a follower are known.
fn has_position<A: Adapter>(gateway: &Gateway<A>, req: &FeedRequest) -> bool {
    let from = req.from.as_ref().filter(|from| from.incarnation == gateway.incarnation);
    from.is_some_and(|from| gateway.change_log.borrow().since(from.sequence).is_some())
}

/// The change to the active configuration from the one that a follower holds, if it understands such
/// changes and lacks the active one.
fn configuration_update<A: Adapter>(
    gateway: &Gateway<A>,
    req: &FeedRequest,
) -> Option<ConfigurationUpdate> {
    let held = req.configuration.as_ref()?;
    match gateway.configurations.borrow_mut().update(held) {
        Ok(update) => update,
        Err(text) => {
            tracing::error!(event = "value_not_encoded", error = text);
            None
        }
    }
}

fn lacks_large_change<A: Adapter>(gateway: &Gateway<A>, req: &FeedRequest) -> bool {
    configuration_update(gateway, req).is_some_and(|update| update.change.0.len() > MAX_SMALL_BYTES)
}

/// Whether a follower reports that it lacks the active configuration.
fn lacks_configuration<A: Adapter>(gateway: &Gateway<A>, req: &FeedRequest) -> bool {
    let held = req.configuration.as_ref();
    held.is_some_and(|held| gateway.configurations.borrow().is_newer_than(held))
}

/// An encoded response that holds a permit until it has been sent.
struct LargeResponse {
    body: Vec<u8>,
    _permit: OwnedSemaphorePermit,
}

impl AsRef<[u8]> for LargeResponse {
    fn as_ref(&self) -> &[u8] {
        &self.body
    }
}

fn encode<A: Adapter>(
    gateway: &Gateway<A>,
    feed: &FeedResponse,
    permit: Option<OwnedSemaphorePermit>,
) -> Response<ResponseBody> {
    let body = match rmp_serde::to_vec_named(feed) {
        Ok(body) => body,
        Err(e) => return text_response(StatusCode::INTERNAL_SERVER_ERROR, e.to_string()),
    };
    count_bytes(gateway, feed, body.len());
    let body = match permit {
        Some(permit) => Bytes::from_owner(LargeResponse { body, _permit: permit }),
        None => Bytes::from(body),
    };
    Response::new(ResponseBody::Complete(Some(body)))
}

fn count_bytes<A: Adapter>(gateway: &Gateway<A>, feed: &FeedResponse, bytes: usize) {
    let content = match feed {
        FeedResponse { configuration: Some(_), .. } => "configuration",
        FeedResponse { configuration_update: Some(_), .. } => "configuration",
        FeedResponse { is_complete: true, .. } => "registry",
        _ => "changes",
    };
    gateway.metrics.feed_bytes.get_or_create(&FeedLabels { content }).inc_by(bytes as u64);
}

async fn wait_for_change<A: Adapter>(gateway: &Gateway<A>, req: &FeedRequest) {
    let Some(from) = &req.from else { return };
    let is_behind = from.incarnation != gateway.incarnation
        || from.sequence != gateway.change_log.borrow().last();
    if is_behind || lacks_configuration(gateway, req) {
        return;
    }
    let wait = Millis(req.wait_ms).min(MAX_WAIT);
    // The response is the same whether the wait ends with a change or with the time-out.
    let _ = timeout(Duration::from_millis(wait.0), gateway.change_added.notified()).await;
}

fn empty_response<A: Adapter>(gateway: &Gateway<A>, arrived: Millis) -> FeedResponse {
    let sequence = gateway.change_log.borrow().last();
    FeedResponse {
        position: FeedPosition { incarnation: gateway.incarnation, sequence },
        waited_ms: now().since(arrived).0,
        proof_age_ms: gateway.freshness.borrow().age(now()).map(|age| age.0),
        response_age_ms: gateway.freshness.borrow().response_age(now()).map(|age| age.0),
        continuous_ms: gateway.freshness.borrow().continuous_for(now()).map(|time| time.0),
        is_complete: false,
        is_settled: gateway.is_registry_settled(now()),
        configuration: None,
        configuration_update: None,
        endpoints: Vec::new(),
        packed_endpoints: Vec::new(),
        daemons: None,
        data_centre: gateway.settings().data_centre.clone(),
        reader: None,
        rank: None,
        relays: Vec::new(),
        standbys: Vec::new(),
        loads: Vec::new(),
        outcomes: Vec::new(),
        notices: Vec::new(),
    }
}

fn count(daemons: usize) -> Option<u32> {
    u32::try_from(daemons).ok()
}

fn feed_peer(peer: &Peer) -> FeedPeer {
    FeedPeer { name: peer.name.clone(), address: peer.address.clone() }
}

/// Some daemons that reach endpoints, this one included if it does, to name to another daemon.
fn relays<A: Adapter>(gateway: &Gateway<A>, to: &str) -> Vec<FeedPeer> {
    let seed = gateway.rng.borrow_mut().random();
    let offered = gateway.relays.borrow().offered(to, seed, now());
    let settings = gateway.settings();
    let own = settings.listen_peers.filter(|_| !gateway.is_cut_off());
    let own =
        own.map(|address| FeedPeer { name: settings.name.clone(), address: address.to_string() });
    offered.iter().map(feed_peer).chain(own).collect()
}

/// Builds the response to a request; a large change of the configuration is left out unless
/// `may_be_large`.
fn build_feed_response<A: Adapter>(
    gateway: &Gateway<A>,
    req: &FeedRequest,
    arrived: Millis,
    may_be_large: bool,
) -> FeedResponse {
    let own = gateway.loads.borrow().own_loads();
    let own_outcomes = gateway.loads.borrow().own_outcomes(now());
    let outcome_exchange = gateway.outcome_exchange.borrow();
    let load_exchange = gateway.load_exchange.borrow();
    let change_log = gateway.change_log.borrow();
    let mut feed = empty_response(gateway, arrived);
    feed.relays = relays(gateway, &req.name);
    if req.whole_data_centre {
        feed.daemons = count(load_exchange.followers_and_self());
        feed.loads = load_rows(load_exchange.data_centre_loads(&own));
        feed.outcomes = outcome_exchange.data_centre_outcomes(&own_outcomes);
        let notices = gateway.notices.borrow();
        feed.notices = if req.all_notices { notices.all(now()) } else { notices.forwarded(now()) };
        return feed;
    }
    feed.daemons = gateway.daemon_count(now()).and_then(count);
    let readers = gateway.readers.borrow();
    feed.reader = readers.reader().map(feed_peer);
    let members = gateway.data_centre_members.borrow();
    let members = members.as_ref().filter(|members| members.contains(&req.name));
    feed.rank = members.map(|members| rank(members, &req.name));
    feed.standbys = readers.standbys().iter().map(feed_peer).collect();
    feed.loads = load_rows(load_exchange.fleet_loads(&own, &req.name));
    feed.outcomes = outcome_exchange.fleet_outcomes(&own_outcomes, &req.name);
    if lacks_configuration(gateway, req) {
        let update = configuration_update(gateway, req);
        feed.configuration_update =
            update.filter(|update| may_be_large || update.change.0.len() <= MAX_SMALL_BYTES);
        // The freshness of the active configuration says nothing of an older one.
        feed.proof_age_ms = feed.proof_age_ms.filter(|_| feed.configuration_update.is_some());
    }
    let from = req.from.as_ref().filter(|from| from.incarnation == gateway.incarnation);
    match from.and_then(|from| change_log.since(from.sequence)) {
        Some(changes) => {
            for change in changes {
                match change {
                    Change::Configuration => feed.configuration = configuration(gateway, req),
                    Change::Endpoint(change) => feed.endpoints.push(change.clone()),
                    Change::Notice(id) => {
                        feed.notices.extend(gateway.notices.borrow().get(*id, now()));
                    }
                }
            }
        }
        None => {
            feed.is_complete = true;
            feed.notices = gateway.notices.borrow().all(now());
            feed.configuration = configuration(gateway, req);
            match gateway.packed_endpoints() {
                Ok(packed) => feed.packed_endpoints = packed.to_vec(),
                Err(text) => tracing::error!(event = "value_not_encoded", error = text),
            }
        }
    }
    feed
}

/// The whole configuration for a follower that does not understand changes of it.
fn configuration<A: Adapter>(gateway: &Gateway<A>, req: &FeedRequest) -> Option<String> {
    let catalog = gateway.catalog().filter(|_| req.configuration.is_none())?;
    object_feed::to_json(catalog.configuration())
}
