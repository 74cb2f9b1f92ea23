use crate::adapter::Adapter;
use crate::clock::now;
use crate::configuration_updates::{MAX_SMALL_BYTES, is_large, lacks_configuration, next_piece};
use crate::duties::{REPORT_PATH, respond_to_report};
use crate::feed_response::{build_feed_response, empty_response, endpoint_groups};
use crate::gateway::Gateway;
use crate::large_responses::{BUSY, LargeContent, LargePermit};
use crate::metrics::FeedLabels;
use crate::notices::receive_notices;
use crate::response::ResponseBody;
use bytes::Bytes;
use decision::Millis;
use decision::routing::{NoticeSource, Peer, Reporter};
use http::{Request, Response, StatusCode};
use http_body::Body;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use messages::endpoint_loads;
use messages::feed::{FeedRequest, FeedResponse};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::timeout;

const MAX_REQUEST_BYTES: usize = 1 << 20;
/// Maximum time to wait for a change, whatever the follower requests.
const MAX_WAIT: Millis = Millis(5_000);
/// Maximum time for which a follower waits for its turn to get a piece of a large update. It asks again
/// after that, unless it has been lost, and only its last request can hold up others.
const MAX_PIECE_WAIT: Millis = Millis(200);

/// Responds to a daemon that reports to the holder of the duties, follows this one or exchanges the loads of
/// its data centre.
pub(crate) async fn respond<A: Adapter>(
    gateway: &Rc<Gateway<A>>,
    req: Request<Incoming>,
) -> Response<ResponseBody> {
    if req.uri().path() == REPORT_PATH {
        return respond_to_report(gateway, req).await;
    }
    let arrived = now();
    match read(gateway, req).await {
        Ok(req) => serve_feed(gateway, &req, arrived).await,
        Err(text) => {
            tracing::warn!(event = "peer_request_unreadable", text);
            text_response(StatusCode::BAD_REQUEST, text)
        }
    }
}

pub(crate) fn text_response(status: StatusCode, text: String) -> Response<ResponseBody> {
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
        // The followers leave for the successor now: this daemon may be waiting for the store.
        gateway.change_added.notify_waiters();
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
            let response = encode(gateway, &build_feed_response(gateway, req, arrived, true));
            let bytes = response.body().size_hint().exact().unwrap_or(0) as usize;
            gateway.large_responses.begin(&req.name, permit, bytes, now());
            return response;
        }
        if needs_large_copy(gateway, req) {
            return text_response(StatusCode::SERVICE_UNAVAILABLE, BUSY.to_owned());
        }
    }
    encode(gateway, &build_feed_response(gateway, req, arrived, false))
}

/// Waits for something to send to a follower. Returns a permit if it needs the complete registry or a
/// piece of a large update. Meanwhile the follower gets the rest of the feed, and asks again:
///
/// - while others receive that update;
/// - if it has waited for a change, since it may have been lost since it asked.
async fn permit_for_large_response<A: Adapter>(
    gateway: &Gateway<A>,
    req: &FeedRequest,
    arrived: Millis,
) -> Option<LargePermit> {
    let asks_for_piece = lacks_configuration(gateway, req);
    let held = gateway.large_responses.finish(&req.name).filter(|_| asks_for_piece);
    if has_position(gateway, req) {
        wait_for_change(gateway, req).await;
    }
    let has_large_piece = next_piece(gateway, req).is_some_and(|piece| is_large(&piece));
    let needs_piece = asks_for_piece && has_large_piece;
    let needs_copy = needs_large_copy(gateway, req);
    if !needs_copy && !needs_piece {
        return None;
    }
    let content = if needs_copy { LargeContent::Copy } else { LargeContent::Piece };
    if let Some(permit) = held.filter(|permit| permit.is_for(content)) {
        return Some(permit);
    }
    let left = Millis(req.wait_ms).min(MAX_WAIT) - now().since(arrived);
    let left = match needs_copy {
        true => left,
        false if has_position(gateway, req) => left.min(MAX_PIECE_WAIT),
        // What it lacks of the registry does not wait for a piece of a configuration.
        false => Millis(0),
    };
    let permit = gateway.large_responses.permit(content, now());
    timeout(Duration::from_millis(left.0), permit).await.ok()?
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
