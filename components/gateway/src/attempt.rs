use crate::adapter::{Adapter, ForwardedHead};
use crate::brittle::observe_brittleness;
use crate::broken_response::BrokenResponse;
use crate::busy_connection::BusyConnection;
use crate::clock::now;
use crate::connection::{Connection, ConnectionError};
use crate::contents::condemned;
use crate::duties::count_request;
use crate::framing::Framing;
use crate::gateway::Gateway;
use crate::in_flight::InFlightRequest;
use crate::kept_body::KeptBody;
use crate::log::LineKind;
use crate::metrics::AttemptLabels;
use crate::notices::{observe_limit, record_completion};
use crate::response::CompleteResponse;
use crate::routed_request::RoutedRequest;
use crate::stated_departure::observe_departure;
use bytes::Bytes;
use decision::Millis;
use decision::routing::{Choice, Outcome};
use errors::Verdict;
use http::header::{
    CONNECTION, CONTENT_ENCODING, CONTENT_LENGTH, CONTENT_TYPE, HeaderName, TRANSFER_ENCODING,
};
use http::{HeaderMap, Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::timeout;

/// Connect timeout for endpoints: several round trips between regions.
const CONNECT_TIMEOUT: Millis = Millis(600);
/// Time after a request's deadline in which the endpoint's own time-out response may still arrive.
const LATE_RESPONSE_MARGIN: Millis = Millis(150);
/// The header in which an endpoint states its idle timeout.
const KEEP_ALIVE: &str = "keep-alive";
/// Maximum size of a response that is not streamed.
const MAX_RESPONSE_BYTES: usize = 16 << 20;

/// A response of an endpoint.
#[derive(Debug)]
pub(crate) enum EndpointResponse<A: Adapter> {
    Complete(CompleteResponse),
    /// The head has arrived and the events follow.
    Streaming(Box<StreamingResponse<A>>),
}

/// An event stream whose head has arrived.
#[derive(Debug)]
pub(crate) struct StreamingResponse<A: Adapter> {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) framing: Framing,
    pub(crate) body: Incoming,
    pub(crate) connection: BusyConnection<A>,
}

/// A failed attempt. `verdict` and the route decide whether the request may be tried again.
#[derive(Debug)]
pub(crate) struct AttemptFailure {
    pub(crate) verdict: Verdict,
    /// Whether the request may have reached the endpoint.
    pub(crate) sent: bool,
    /// The endpoint's error response, forwarded if no further attempt is made. `None` if there is
    /// none, or if its status would wrongly tell the client that the request did not run.
    pub(crate) response: Option<CompleteResponse>,
    /// Whether the endpoint did not respond in time.
    pub(crate) timed_out: bool,
    pub(crate) text: String,
}

impl AttemptFailure {
    fn from_connection_error(e: &ConnectionError) -> AttemptFailure {
        AttemptFailure {
            verdict: if e.is_unsent() { Verdict::NotRun } else { Verdict::MayHaveRun },
            sent: !e.is_unsent(),
            response: None,
            timed_out: matches!(e, ConnectionError::ResponseTimeout { .. }),
            text: e.to_string(),
        }
    }

    /// Whether the endpoint may have crashed under the request: it gave no answer, and not too late.
    pub(crate) fn is_broken(&self) -> bool {
        self.verdict == Verdict::MayHaveRun && self.response.is_none() && !self.timed_out
    }

    fn unusable_response(text: String) -> AttemptFailure {
        let verdict = Verdict::MayHaveRun;
        AttemptFailure { verdict, sent: true, response: None, timed_out: false, text }
    }
}

/// Sends a request to one endpoint and logs the outcome.
pub(crate) async fn attempt<A: Adapter>(
    gateway: &Rc<Gateway<A>>,
    request: &RoutedRequest,
    choice: &Choice,
    last_event: Option<&str>,
) -> Result<EndpointResponse<A>, AttemptFailure> {
    let started = now();
    let in_flight = InFlightRequest::start(gateway, choice, request);
    let software_version = in_flight.software_version().map(str::to_owned);
    let result = tokio::select! {
        result = run(gateway, request, in_flight, last_event) => result,
        () = condemned(gateway, request) => Err(AttemptFailure::unusable_response(String::from(
            "the request or a part of its prompt was found to crash endpoints, and it was cancelled",
        ))),
    };
    let (outcome, text) = match &result {
        Ok(EndpointResponse::Complete(response)) => ("answered", response.status.to_string()),
        Ok(EndpointResponse::Streaming(streaming)) => ("streaming", streaming.status.to_string()),
        Err(failure) => (failure.verdict.as_str(), failure.text.clone()),
    };
    let labels = AttemptLabels { service: request.service.clone(), outcome };
    gateway.metrics.attempts.get_or_create(&labels).inc();
    let kind = if result.is_ok() { LineKind::Routine } else { LineKind::Failure };
    if gateway.log_quota.borrow_mut().admits(kind, now()) {
        tracing::info!(
            event = "attempt",
            request = %request.id(),
            route = %request.route,
            service = %request.service,
            version = request.version,
            proof_age_ms = gateway.freshness.borrow().age(started).map(|age| age.0),
            priority = request.priority,
            endpoint = %choice.id,
            software_version,
            resumes = request.resumes,
            last_event = last_event.or(request.last_event.as_deref()),
            outcome,
            text,
            expected_ms = choice.expected_ms as u64,
            wait_ms = choice.wait_ms as u64,
            queued_ms = choice.queued_ms as u64,
            unread_tokens = choice.unread_tokens,
            fetch_from = choice.fetch_from,
            took_ms = now().since(started).0,
        );
    }
    result
}

async fn run<A: Adapter>(
    gateway: &Rc<Gateway<A>>,
    request: &RoutedRequest,
    in_flight: InFlightRequest<A>,
    last_event: Option<&str>,
) -> Result<EndpointResponse<A>, AttemptFailure> {
    let (response, address, connection) = match send(gateway, request, &in_flight, last_event).await
    {
        Ok(sent) => sent,
        Err(e) => {
            let failure = AttemptFailure::from_connection_error(&e);
            let broken = match &e {
                ConnectionError::Broken { address, .. } => {
                    BrokenResponse::new(request, &in_flight, *address, now())
                }
                _ => None,
            };
            in_flight.close(connection_outcome(&e, request, now()));
            if let Some(broken) = broken {
                broken.investigate_before_retry(gateway, request).await;
            }
            return Err(failure);
        }
    };
    in_flight.record_first_byte(request);
    let (head, body) = response.into_parts();
    let idle_timeout = stated_idle_timeout(&head.headers);
    let server_closes = has_close_token(&head.headers);
    let busy = BusyConnection { in_flight, connection, address, idle_timeout, server_closes };
    let response_head = gateway.adapter.read_response(head.status, &head.headers);
    if response_head.is_leaving {
        observe_departure(gateway, request, &busy, head.status);
    }
    if response_head.request_id != request.request_id {
        busy.in_flight.close(Outcome::Failed);
        return Err(AttemptFailure::unusable_response(
            "response does not carry the id of this request".to_owned(),
        ));
    }
    if !is_valid(head.status) {
        busy.in_flight.close(Outcome::Failed);
        let text = format!("response has the invalid status {}", head.status.as_str());
        return Err(AttemptFailure::unusable_response(text));
    }
    // Only a complete success tells that an endpoint no longer states a limit.
    if response_head.limit_per_second.is_some() || head.status.is_success() {
        observe_limit(gateway, busy.in_flight.endpoint(), response_head.limit_per_second);
    }
    let endpoint = busy.in_flight.endpoint();
    observe_brittleness(gateway, &request.service, endpoint, head.status, &response_head);
    let headers = client_headers(&head.headers);
    if head.status.is_success() {
        if !response_head.signed || headers.contains_key(CONTENT_ENCODING) {
            busy.in_flight.close(Outcome::Failed);
            return Err(AttemptFailure::unusable_response(
                "response is unsigned or content-encoded and is not forwarded".to_owned(),
            ));
        }
        if request.origin.is_some() && busy.in_flight.has_other_version() {
            busy.in_flight.close(Outcome::Replaced);
            return Err(AttemptFailure::unusable_response(
                "endpoint has restarted with another software version".to_owned(),
            ));
        }
        if request.streamed && is_event_stream(&headers) {
            let framing = Framing::of(&head.headers);
            let streaming =
                StreamingResponse { status: head.status, headers, framing, body, connection: busy };
            return Ok(EndpointResponse::Streaming(Box::new(streaming)));
        }
    }
    if !response_head.not_run {
        count_request(gateway, request);
    }
    let body = match collect(gateway, body, request, now()).await {
        Ok(body) => body,
        Err(text) if response_head.not_run => {
            busy.in_flight.close(not_run_outcome(head.status));
            return Err(not_run_failure(head.status, text));
        }
        Err(text) => {
            let broken = BrokenResponse::new(request, &busy.in_flight, address, now());
            busy.in_flight.close(Outcome::Failed);
            if let Some(broken) = broken {
                broken.investigate_before_retry(gateway, request).await;
            }
            return Err(AttemptFailure::unusable_response(text));
        }
    };
    if response_head.not_run {
        busy.close(gateway, not_run_outcome(head.status));
        return Err(not_run_failure(head.status, String::from("endpoint did not run the request")));
    }
    let response = CompleteResponse { status: head.status, headers, body };
    if head.status.is_server_error() || signals_not_run(head.status) {
        busy.close(gateway, Outcome::Failed);
        if response_head.signed {
            // The endpoint ran it and has not crashed.
            record_completion(gateway, request);
        }
        return Err(endpoint_failure(response));
    }
    busy.close(gateway, Outcome::Answered);
    if response.status.is_success() {
        record_completion(gateway, request);
    }
    Ok(EndpointResponse::Complete(response))
}

/// Whether a status may end a request (RFC 9110, section 15). The parser refuses those below 100, and
/// clients need not understand those above 599.
fn is_valid(status: StatusCode) -> bool {
    (200..600).contains(&status.as_u16())
}

/// Whether a response to a streamed request consists of events, as it does unless its head states
/// another type.
fn is_event_stream(headers: &HeaderMap) -> bool {
    let Some(content_type) = headers.get(CONTENT_TYPE) else { return true };
    let media_type = content_type.to_str().unwrap_or("").split(';').next().unwrap_or("");
    media_type.trim().eq_ignore_ascii_case("text/event-stream")
}

/// The outcome for the load table if the endpoint states that it did not run the request.
fn not_run_outcome(status: StatusCode) -> Outcome {
    match status {
        StatusCode::MISDIRECTED_REQUEST => Outcome::Replaced,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS => Outcome::Full,
        _ => Outcome::Abandoned,
    }
}

fn not_run_failure(status: StatusCode, text: String) -> AttemptFailure {
    let text = format!("{status}: {text}");
    AttemptFailure { verdict: Verdict::NotRun, sent: true, response: None, timed_out: false, text }
}

/// Whether a status tells clients that the request did not run.
fn signals_not_run(status: StatusCode) -> bool {
    matches!(status.as_u16(), 408 | 421 | 429 | 503)
}

/// The failure if the endpoint sent an error response and may have run the request.
fn endpoint_failure(response: CompleteResponse) -> AttemptFailure {
    let text = format!("endpoint responded with status {}", response.status);
    // Without a not-run marker from the endpoint, the client must not get a status that signals it.
    let response = (!signals_not_run(response.status)).then_some(response);
    AttemptFailure { verdict: Verdict::MayHaveRun, sent: true, response, timed_out: false, text }
}

/// The outcome for the load table if no response head was received.
fn connection_outcome(e: &ConnectionError, request: &RoutedRequest, now: Millis) -> Outcome {
    match e {
        ConnectionError::Connect { .. } | ConnectionError::ConnectTimeout { .. } => Outcome::Silent,
        ConnectionError::ResponseTimeout { .. } if now >= request.first_byte_due => Outcome::Silent,
        ConnectionError::ResponseTimeout { .. } => Outcome::Abandoned,
        ConnectionError::Unsent { .. } | ConnectionError::Left { .. } => Outcome::Abandoned,
        ConnectionError::Broken { .. }
        | ConnectionError::Body { .. }
        | ConnectionError::Target { .. } => Outcome::Failed,
    }
}

async fn send<A: Adapter>(
    gateway: &Rc<Gateway<A>>,
    request: &RoutedRequest,
    in_flight: &InFlightRequest<A>,
    last_event: Option<&str>,
) -> Result<(Response<Incoming>, SocketAddr, Connection), ConnectionError> {
    let address = registered_address(gateway, in_flight)?;
    loop {
        let only_recently_used = !request.repeat.may_run_again();
        let pooled = gateway.pool.borrow_mut().take(address, only_recently_used, now());
        let mut connection = match pooled {
            Some(connection) => connection,
            None => {
                gateway.metrics.connections_opened.inc();
                let limit = CONNECT_TIMEOUT.min(request.time_left(now()));
                let opened = Connection::open(address, limit).await;
                // A limit below the connect timeout tells nothing about the endpoint.
                if opened.is_ok() || limit == CONNECT_TIMEOUT {
                    let (service, endpoint) = (&request.service, in_flight.endpoint());
                    gateway.record_connection(service, endpoint, opened.is_ok(), now());
                }
                opened?
            }
        };
        // It may have left while the connection was opened.
        if registered_address(gateway, in_flight)? != address {
            return Err(ConnectionError::Left { endpoint: in_flight.endpoint().to_owned() });
        }
        let was_pooled = !connection.is_new;
        let req = build_request(gateway, request, in_flight, last_event);
        request.may_have_run.set(true);
        match connection.send(req, request.time_left(now()) + LATE_RESPONSE_MARGIN).await {
            Err(ConnectionError::Unsent { .. }) if was_pooled => {}
            Err(e) => return Err(e),
            Ok(response) => return Ok((response, address, connection)),
        }
    }
}

/// The address of the endpoint of a request, unless it has left or another version replaced it.
fn registered_address<A: Adapter>(
    gateway: &Gateway<A>,
    in_flight: &InFlightRequest<A>,
) -> Result<SocketAddr, ConnectionError> {
    let directory = gateway.directory();
    let registration =
        directory.get(in_flight.endpoint()).filter(|_| !in_flight.has_other_version());
    let address = registration.and_then(|registration| registration.address.parse().ok());
    address.ok_or_else(|| ConnectionError::Left { endpoint: in_flight.endpoint().to_owned() })
}

fn build_request<A: Adapter>(
    gateway: &Gateway<A>,
    request: &RoutedRequest,
    in_flight: &InFlightRequest<A>,
    last_event: Option<&str>,
) -> Request<Full<Bytes>> {
    let mut req = Request::new(Full::new(request.body.clone()));
    *req.method_mut() = request.method.clone();
    *req.uri_mut() = request.target.clone();
    *req.headers_mut() = request.headers.clone();
    let directory = gateway.directory();
    // What endpoints of two software versions keep need not fit together.
    let source = in_flight
        .fetch_from()
        .and_then(|id| directory.get(id))
        .filter(|source| Some(source.software_version.as_str()) == in_flight.software_version());
    let forwarded = ForwardedHead {
        endpoint: in_flight.endpoint(),
        remaining: request.time_left(now()),
        account: request.account.as_deref(),
        priority: request.prompt.as_ref().map(|_| request.priority),
        last_event: last_event.or(request.last_event.as_deref()),
        fetch_from: source.map(|source| &*source.address),
    };
    gateway.adapter.write_request(req.headers_mut(), &forwarded);
    req
}

async fn collect<A: Adapter>(
    gateway: &Gateway<A>,
    body: Incoming,
    request: &RoutedRequest,
    now: Millis,
) -> Result<Bytes, String> {
    let limit = request.time_left(now) + LATE_RESPONSE_MARGIN;
    let complete = KeptBody::new(&gateway.endpoint_memory, MAX_RESPONSE_BYTES).receive_all(body);
    match timeout(Duration::from_millis(limit.0), complete).await {
        Ok(Ok(body)) => Ok(body),
        Ok(Err(e)) => Err(e.to_string()),
        Err(_) => Err(format!("response body still incomplete {} ms after the head", limit.0)),
    }
}

/// Whether a header is hop-by-hop: it applies to one connection and is not forwarded.
pub(crate) fn is_hop_header(name: &HeaderName) -> bool {
    *name == CONNECTION
        || name.as_str() == KEEP_ALIVE
        || *name == TRANSFER_ENCODING
        || *name == CONTENT_LENGTH
        || matches!(
            name.as_str(),
            "proxy-connection" | "proxy-authorization" | "te" | "trailer" | "upgrade" | "expect"
        )
}

/// The headers of a response that clients get.
pub(crate) fn client_headers(headers: &HeaderMap) -> HeaderMap {
    let mut forwarded = HeaderMap::with_capacity(headers.len());
    for (name, value) in headers.iter().filter(|(name, _)| !is_hop_header(name)) {
        forwarded.append(name.clone(), value.clone());
    }
    forwarded
}

fn has_close_token(headers: &HeaderMap) -> bool {
    let values = headers.get_all(CONNECTION);
    values.iter().any(|v| v.to_str().is_ok_and(|v| v.to_ascii_lowercase().contains("close")))
}

/// Parses the endpoint's idle timeout from a header value such as `timeout=5`.
fn stated_idle_timeout(headers: &HeaderMap) -> Option<Millis> {
    let text = headers.get(KEEP_ALIVE)?.to_str().ok()?;
    let seconds = text.split(',').find_map(|p| p.trim().strip_prefix("timeout="))?;
    seconds.trim().parse::<u64>().ok().map(|s| Millis(s * 1000))
}
