use crate::adapter::Adapter;
use crate::clock::now;
use crate::configuration_updates::{
    MAX_SMALL_BYTES, has_accounts, is_large, lacks_configuration, next_piece,
};
use crate::gateway::{Change, Gateway};
use crate::large_responses::BUSY;
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
use messages::feed::{FeedPeer, FeedPosition, FeedRequest, FeedResponse};
use messages::{endpoint_loads, load_rows};
use rand::RngExt;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::OwnedSemaphorePermit;
use tokio::time::timeout;

const MAX_REQUEST_BYTES: usize = 1 << 20;
/// Maximum time to wait for a change, whatever the follower requests.
const MAX_WAIT: Millis = Millis(5_000);
/// Minimum time between the loads that a follower gets: almost the wait of a poll, after which it gets
/// them without a change. Hundreds of rows with each change would fill the link of a reader.
const LOADS_INTERVAL: Millis = Millis(350);

/// Responds to a daemon that follows this one or exchanges the loads of its data centre.
pub(crate) async fn respond<A: Adapter>(
    gateway: &Rc<Gateway<A>>,
    req: Request<Incoming>,
) -> Response<ResponseBody> {
    let arrived = now();
    match read(gateway, req).await {
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

async fn read<A: Adapter>(
    gateway: &Gateway<A>,
    req: Request<Incoming>,
) -> Result<FeedRequest, String> {
    let body = Limited::new(req.into_body(), MAX_REQUEST_BYTES).collect().await;
    let body = body.map_err(|e| e.to_string())?.to_bytes();
    gateway.metrics.feed_request_bytes.inc_by(body.len() as u64);
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
        return encode(gateway, &empty_response(gateway, arrived));
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
            gateway.large_responses.begin(&req.name, permit, now());
            return encode(gateway, &build_feed_response(gateway, req, arrived, true));
        }
        if needs_large_copy(gateway, req) {
            return text_response(StatusCode::SERVICE_UNAVAILABLE, BUSY.to_owned());
        }
    }
    encode(gateway, &build_feed_response(gateway, req, arrived, false))
}

/// Waits for something to send to a follower. Returns a permit if it needs the complete registry or a
/// piece of a large update. While others receive that update, the follower gets the rest of the feed.
async fn permit_for_large_response<A: Adapter>(
    gateway: &Gateway<A>,
    req: &FeedRequest,
    arrived: Millis,
) -> Option<OwnedSemaphorePermit> {
    let held = gateway.large_responses.finish(&req.name);
    let held = held.filter(|_| lacks_configuration(gateway, req));
    if has_position(gateway, req) {
        wait_for_change(gateway, req).await;
    }
    let has_large_piece = next_piece(gateway, req).is_some_and(|piece| is_large(&piece));
    let needs_large_copy = needs_large_copy(gateway, req);
    if !has_large_piece && !needs_large_copy {
        return None;
    }
    if held.is_some() {
        return held;
    }
    let left = match has_position(gateway, req) || needs_large_copy {
        true => Millis(req.wait_ms).min(MAX_WAIT) - now().since(arrived),
        // What it lacks of the registry does not wait for a piece of a configuration.
        false => Millis(0),
    };
    timeout(Duration::from_millis(left.0), gateway.large_responses.permit()).await.ok()?
}

/// Whether a follower needs so much of the registry that only a few can get it at a time: all of it, or
/// many groups.
fn needs_large_copy<A: Adapter>(gateway: &Gateway<A>, req: &FeedRequest) -> bool {
    if has_position(gateway, req) {
        return false;
    }
    let Some(groups) = endpoint_groups(gateway, req) else { return true };
    match gateway.packed_endpoints(Some(&groups)) {
        Ok(endpoints) => endpoints.packed.len() as u64 > MAX_SMALL_BYTES,
        Err(text) => {
            tracing::error!(event = "value_not_encoded", error = text);
            true
        }
    }
}

/// The groups of the registry in which a follower has other endpoints; `None` if it needs all.
fn endpoint_groups<A: Adapter>(gateway: &Gateway<A>, req: &FeedRequest) -> Option<BTreeSet<u32>> {
    let known = Some(&req.known_endpoints).filter(|known| !known.is_empty())?;
    Some(gateway.registry_digest().differing(known))
}

/// Whether the changes since the position of a follower are known.
fn has_position<A: Adapter>(gateway: &Gateway<A>, req: &FeedRequest) -> bool {
    let from = req.from.as_ref().filter(|from| from.incarnation == gateway.incarnation);
    from.is_some_and(|from| gateway.change_log.borrow().since(from.sequence).is_some())
}

fn encode<A: Adapter>(gateway: &Gateway<A>, feed: &FeedResponse) -> Response<ResponseBody> {
    match rmp_serde::to_vec_named(feed) {
        Ok(body) => {
            count_bytes(gateway, feed, body.len());
            Response::new(ResponseBody::Complete(Some(Bytes::from(body))))
        }
        Err(e) => text_response(StatusCode::INTERNAL_SERVER_ERROR, e.to_string()),
    }
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
    let report_due = gateway.source_health.borrow().report_due(now());
    let wait = report_due.map_or(wait, |due| wait.min(due));
    // The response is the same whether the wait ends with a change or with the time-out.
    let _ = timeout(Duration::from_millis(wait.0), gateway.change_added.notified()).await;
}

fn empty_response<A: Adapter>(gateway: &Gateway<A>, arrived: Millis) -> FeedResponse {
    let sequence = gateway.change_log.borrow().last();
    FeedResponse {
        position: FeedPosition { incarnation: gateway.incarnation, sequence },
        waited_ms: now().since(arrived).0,
        proof_age_ms: gateway.freshness.borrow().age(now()).map(|age| age.0),
        confirmation_age_ms: gateway.freshness.borrow().age(now()).map(|age| age.0),
        registry_age_ms: gateway.freshness.borrow().registry_age(now()).map(|age| age.0),
        response_age_ms: gateway.freshness.borrow().response_age(now()).map(|age| age.0),
        continuous_ms: gateway.freshness.borrow().continuous_for(now()).map(|time| time.0),
        failing_ms: gateway.source_health.borrow().failing_for(now()).map(|time| time.0),
        is_complete: false,
        is_settled: gateway.is_registry_settled(now()),
        configuration: None,
        configuration_update: None,
        accounts_version: None,
        endpoints: Vec::new(),
        has_endpoint_groups: false,
        endpoint_groups: Vec::new(),
        packed_endpoints: Vec::new(),
        missing_endpoints: Vec::new(),
        daemons: None,
        data_centre: gateway.settings().data_centre.clone(),
        reader: None,
        rank: None,
        relays: Vec::new(),
        standbys: Vec::new(),
        has_loads: true,
        loads: Vec::new(),
        outcomes: Vec::new(),
        has_notice_groups: false,
        notice_groups: Vec::new(),
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
    let own = settings.listen_peers.filter(|_| gateway.takes_relayed_requests());
    let own =
        own.map(|address| FeedPeer { name: settings.name.clone(), address: address.to_string() });
    offered.iter().map(feed_peer).chain(own).collect()
}

/// Builds the response to a request; a piece of a large update is left out unless `may_be_large`.
fn build_feed_response<A: Adapter>(
    gateway: &Gateway<A>,
    req: &FeedRequest,
    arrived: Millis,
    may_be_large: bool,
) -> FeedResponse {
    let load_exchange = gateway.load_exchange.borrow();
    let change_log = gateway.change_log.borrow();
    let mut feed = empty_response(gateway, arrived);
    feed.relays = relays(gateway, &req.name);
    if req.whole_data_centre {
        let own = gateway.loads.borrow().own_loads();
        let own_outcomes = gateway.loads.borrow().own_outcomes(now());
        let outcome_exchange = gateway.outcome_exchange.borrow();
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
    add_fleet_loads(gateway, req, &mut feed);
    let piece = next_piece(gateway, req).filter(|piece| may_be_large || !is_large(piece));
    feed.proof_age_ms = feed.proof_age_ms.filter(|_| has_accounts(gateway, req, piece.as_ref()));
    feed.configuration_update = piece;
    let held = req.configuration.as_ref();
    feed.accounts_version =
        held.and_then(|held| gateway.configurations.borrow().accounts_version(held));
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
            add_unknown_notices(gateway, req, &mut feed);
            add_endpoints(gateway, req, &mut feed);
            feed.configuration = configuration(gateway, req);
        }
    }
    feed
}

/// Adds the loads of the fleet, unless the follower got them a moment ago.
fn add_fleet_loads<A: Adapter>(gateway: &Gateway<A>, req: &FeedRequest, feed: &mut FeedResponse) {
    let age = req.loads_age_ms.map(|age| Millis(age) + Millis(feed.waited_ms));
    feed.has_loads = age.is_none_or(|age| age >= LOADS_INTERVAL);
    if feed.has_loads {
        let own = gateway.loads.borrow().own_loads();
        let own_outcomes = gateway.loads.borrow().own_outcomes(now());
        feed.loads = load_rows(gateway.load_exchange.borrow().fleet_loads(&own, &req.name));
        let outcomes = gateway.outcome_exchange.borrow();
        feed.outcomes = outcomes.fleet_outcomes(&own_outcomes, &req.name);
    }
}

/// Adds the endpoints of the groups in which a new follower has others, or all.
fn add_endpoints<A: Adapter>(gateway: &Gateway<A>, req: &FeedRequest, feed: &mut FeedResponse) {
    let groups = endpoint_groups(gateway, req);
    match gateway.packed_endpoints(groups.as_ref()) {
        Ok(endpoints) => {
            feed.packed_endpoints = endpoints.packed.to_vec();
            feed.missing_endpoints = endpoints.missing;
        }
        Err(text) => tracing::error!(event = "value_not_encoded", error = text),
    }
    feed.is_complete = groups.is_none();
    feed.has_endpoint_groups = groups.is_some();
    feed.endpoint_groups = groups.into_iter().flatten().collect();
}

/// Adds the notices that a new follower may lack.
fn add_unknown_notices<A: Adapter>(
    gateway: &Gateway<A>,
    req: &FeedRequest,
    feed: &mut FeedResponse,
) {
    let notices = gateway.notices.borrow();
    feed.has_notice_groups = !req.known_notices.is_empty();
    if !feed.has_notice_groups {
        feed.notices = notices.all(now());
        return;
    }
    let groups = notices.digest().differing(&req.known_notices);
    feed.notices = notices.in_groups(&groups, now());
    feed.notice_groups = groups.into_iter().collect();
}

/// The whole configuration for a follower that does not understand changes of it.
fn configuration<A: Adapter>(gateway: &Gateway<A>, req: &FeedRequest) -> Option<String> {
    let catalog = gateway.catalog().filter(|_| req.configuration.is_none())?;
    object_feed::to_json(catalog.configuration())
}
