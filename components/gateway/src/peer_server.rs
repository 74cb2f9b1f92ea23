use crate::adapter::Adapter;
use crate::clock::now;
use crate::gateway::{Change, Gateway};
use crate::object_feed;
use crate::response::ResponseBody;
use bytes::Bytes;
use decision::Millis;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use messages::feed::{FeedPosition, FeedRequest, FeedResponse};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::timeout;

const MAX_REQUEST_BYTES: usize = 1 << 20;
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
    let loads = req.loads.clone();
    if req.whole_data_centre {
        gateway.load_exchange.borrow_mut().record_data_centre(&req.data_centre, loads, arrived);
    } else {
        gateway.load_exchange.borrow_mut().record_follower(&req.name, loads, arrived);
        wait_for_change(gateway, req).await;
    }
    let feed = build_feed_response(gateway, req, arrived);
    match rmp_serde::to_vec_named(&feed) {
        Ok(body) => Response::new(ResponseBody::Complete(Some(Bytes::from(body)))),
        Err(e) => text_response(StatusCode::INTERNAL_SERVER_ERROR, e.to_string()),
    }
}

async fn wait_for_change<A: Adapter>(gateway: &Gateway<A>, req: &FeedRequest) {
    let Some(from) = &req.from else { return };
    if from.incarnation != gateway.incarnation
        || from.sequence != gateway.change_log.borrow().last()
    {
        return;
    }
    let wait = Millis(req.wait_ms).min(MAX_WAIT);
    // The response is the same whether the wait ends with a change or with the time-out.
    let _ = timeout(Duration::from_millis(wait.0), gateway.change_added.notified()).await;
}

fn build_feed_response<A: Adapter>(
    gateway: &Gateway<A>,
    req: &FeedRequest,
    arrived: Millis,
) -> FeedResponse {
    let own = gateway.loads.borrow().own_loads();
    let load_exchange = gateway.load_exchange.borrow();
    let change_log = gateway.change_log.borrow();
    let position = FeedPosition { incarnation: gateway.incarnation, sequence: change_log.last() };
    let mut feed = FeedResponse {
        position,
        waited_ms: now().since(arrived).0,
        proof_age_ms: gateway.freshness.borrow().age(now()).map(|age| age.0),
        is_complete: false,
        is_settled: gateway.is_registry_settled(now()),
        configuration: None,
        endpoints: Vec::new(),
        loads: Vec::new(),
    };
    if req.whole_data_centre {
        feed.loads = load_exchange.data_centre_loads(&own);
        return feed;
    }
    feed.loads = load_exchange.fleet_loads(&own, &req.name);
    let from = req.from.as_ref().filter(|from| from.incarnation == gateway.incarnation);
    match from.and_then(|from| change_log.since(from.sequence)) {
        Some(changes) => {
            for change in changes {
                match change {
                    Change::Configuration => feed.configuration = configuration(gateway),
                    Change::Endpoint(change) => feed.endpoints.push(change.clone()),
                }
            }
        }
        None => {
            feed.is_complete = true;
            feed.configuration = configuration(gateway);
            feed.endpoints.extend_from_slice(&gateway.usable_endpoints());
        }
    }
    feed
}

fn configuration<A: Adapter>(gateway: &Gateway<A>) -> Option<String> {
    gateway.catalog().and_then(|catalog| object_feed::to_json(catalog.configuration()))
}
