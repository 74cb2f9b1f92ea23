use crate::adapter::Adapter;
use crate::attempt::client_headers;
use crate::clock::now;
use crate::connection::{Connection, ConnectionError};
use crate::gateway::Gateway;
use crate::kept_body::KeptBody;
use crate::metrics::RouteLabels;
use crate::response::{CompleteResponse, ResponseBody};
use crate::routed_request::RoutedRequest;
use crate::stream_body::{StreamWriter, stream_body};
use bytes::Bytes;
use decision::Millis;
use decision::routing::Peer;
use http::{HeaderName, HeaderValue, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use rand::RngExt;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::timeout;

/// Marks a request that another daemon passes on; only the port for peers accepts it.
pub(crate) const RELAYED_HEADER: HeaderName = HeaderName::from_static("chervilspur-relayed");
/// Connect timeout: several round trips between regions.
const CONNECT_TIMEOUT: Millis = Millis(300);
/// Time after the request's deadline in which the other daemon's final answer may still arrive.
const LATE_RESPONSE_MARGIN: Millis = Millis(150);
/// Daemons to which a request is sent at most.
const MAX_RELAYS: usize = 2;
const MAX_RESPONSE_BYTES: usize = 16 << 20;
/// Chunks buffered for a slow client before reading from the other daemon pauses.
const MAX_BUFFERED_CHUNKS: usize = 8;

/// How passing a request on to another daemon ended.
#[derive(Debug)]
pub(crate) enum RelayOutcome {
    Answered(Box<Response<ResponseBody>>),
    /// No other daemon received the request.
    NotSent,
    /// It may have run.
    Broken(String),
}

/// Passes a request on to a daemon that reaches endpoints, and returns its response.
pub(crate) async fn relay_request<A: Adapter>(
    gateway: &Rc<Gateway<A>>,
    request: &RoutedRequest,
) -> RelayOutcome {
    let seed = gateway.rng.borrow_mut().random();
    let own = gateway.settings().name.clone();
    let relays = gateway.relays.borrow().shuffled(&own, seed, now());
    let mut refused = None;
    for peer in relays.iter().take(MAX_RELAYS) {
        let sent_at = now();
        let result = send(gateway, request, peer).await;
        let (result, text) = match result {
            Ok(response) => {
                let text = response.status().to_string();
                (Ok(response), text)
            }
            Err(e) => (Err(e.is_unsent()), e.to_string()),
        };
        tracing::info!(event = "relayed", request = %request.id(), route = %request.route,
            peer = %peer.name, text, took_ms = now().since(sent_at).0);
        match result {
            Ok(response) if response.status() == StatusCode::SERVICE_UNAVAILABLE => {
                refused = Some(response);
            }
            Ok(response) => return answer(gateway, request, response).await,
            Err(true) => {}
            Err(false) => return RelayOutcome::Broken(text),
        }
    }
    match refused {
        Some(response) => answer(gateway, request, response).await,
        None => RelayOutcome::NotSent,
    }
}

async fn send<A: Adapter>(
    gateway: &Gateway<A>,
    request: &RoutedRequest,
    peer: &Peer,
) -> Result<Response<Incoming>, ConnectionError> {
    let Ok(address) = peer.address.parse() else {
        return Err(ConnectionError::Left { endpoint: peer.name.clone() });
    };
    let mut connection = Connection::open(address, CONNECT_TIMEOUT).await?;
    let mut req = Request::new(Full::new(request.body.clone()));
    *req.method_mut() = request.method.clone();
    *req.uri_mut() = request.target.clone();
    *req.headers_mut() = request.headers.clone();
    req.headers_mut().insert(RELAYED_HEADER, HeaderValue::from_static("1"));
    let remaining = request.time_left(now());
    gateway.adapter.write_relayed(req.headers_mut(), request.key.as_deref(), remaining);
    connection.send(req, remaining + LATE_RESPONSE_MARGIN).await
}

async fn answer<A: Adapter>(
    gateway: &Rc<Gateway<A>>,
    request: &RoutedRequest,
    response: Response<Incoming>,
) -> RelayOutcome {
    let labels = RouteLabels { route: request.route.clone(), result: String::from("relayed") };
    gateway.metrics.requests.get_or_create(&labels).inc();
    let (head, body) = response.into_parts();
    let headers = client_headers(&head.headers);
    if request.streamed && head.status.is_success() {
        let (writer, relayed) = stream_body(MAX_BUFFERED_CHUNKS);
        let left = request.time_left(now()) + LATE_RESPONSE_MARGIN;
        let forwarded = forward_body(body, writer, Duration::from_millis(left.0));
        let gateway = gateway.clone();
        spawn_local(async move {
            tokio::select! {
                () = forwarded => {}
                () = gateway.shutdown.final_answers_due() => {}
            }
        });
        let mut response = Response::new(ResponseBody::Relayed(relayed));
        *response.status_mut() = head.status;
        *response.headers_mut() = headers;
        return RelayOutcome::Answered(Box::new(response));
    }
    let limit = Duration::from_millis((request.time_left(now()) + LATE_RESPONSE_MARGIN).0);
    let complete = KeptBody::new(&gateway.endpoint_memory, MAX_RESPONSE_BYTES).receive_all(body);
    match timeout(limit, complete).await {
        Ok(Ok(body)) => {
            let response = CompleteResponse { status: head.status, headers, body };
            RelayOutcome::Answered(Box::new(response.into_response()))
        }
        Ok(Err(e)) => RelayOutcome::Broken(e.to_string()),
        Err(_) => RelayOutcome::Broken(String::from("response body incomplete at the deadline")),
    }
}

/// Forwards a stream as it arrives. It is complete for the client only if it was here.
async fn forward_body(mut body: Incoming, writer: StreamWriter, limit: Duration) {
    let forward = async {
        loop {
            let frame = tokio::select! {
                frame = body.frame() => frame,
                () = writer.client_left() => return false,
            };
            match frame {
                Some(Ok(frame)) => {
                    let chunk: Bytes = frame.into_data().unwrap_or_default();
                    if !writer.send(chunk).await {
                        return false;
                    }
                }
                Some(Err(_)) => return false,
                None => return true,
            }
        }
    };
    if timeout(limit, forward).await == Ok(true) {
        writer.close();
    }
}
