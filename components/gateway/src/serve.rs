use crate::adapter::{Adapter, RequestHead};
use crate::attempt::is_hop_header;
use crate::clock::now;
use crate::continuation::find_origin;
use crate::dispatch::{dispatch_until_exit, not_run_refusal, stopping_refusal};
use crate::gateway::Gateway;
use crate::log::LineKind;
use crate::metrics::{ContinuationLabels, RouteLabels, ServiceLabels};
use crate::relayed_request::RELAYED_HEADER;
use crate::response::{Refusal, ResponseBody};
use crate::routed_request::{RoutedRequest, destination, priority};
use crate::stream_end::StreamSummary;
use bytes::Bytes;
use decision::Millis;
use decision::routing::{Caller, Catalog, Route, SoftwareVersion};
use errors::{Reason, Verdict};
use http::header::{CONNECTION, HOST};
use http::request::Parts;
use http::{HeaderMap, HeaderValue, Request, Response, StatusCode, Uri};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use std::cell::OnceCell;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::timeout;

/// The `result` label and log value of a request whose response was forwarded completely.
pub(crate) const ANSWERED: &str = "answered";

/// A refusal before an endpoint is selected, with the cause for the log.
struct Rejection {
    refusal: Refusal,
    text: String,
    /// The route, if one matched.
    route: Option<String>,
}

impl Rejection {
    fn new(refusal: Refusal, text: impl Into<String>) -> Rejection {
        Rejection { refusal, text: text.into(), route: None }
    }

    fn on_route(self, route: &Route) -> Rejection {
        Rejection { route: Some(route.name.clone()), ..self }
    }
}

/// What is logged about a refused request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RefusedRequest<'a> {
    pub(crate) id: &'a str,
    pub(crate) route: &'a str,
    pub(crate) arrived: Millis,
    /// Number of attempts that may have reached an endpoint.
    pub(crate) sends: u32,
}

/// Responds to one request of a client; with `is_relayed`, another daemon passed it on.
pub(crate) async fn serve<A: Adapter>(
    gateway: &Rc<Gateway<A>>,
    req: Request<Incoming>,
    is_relayed: bool,
) -> Response<ResponseBody> {
    let arrived = now();
    let (parts, body) = req.into_parts();
    let head = gateway.adapter.read_request(&parts.headers);
    let id = head.request_id.as_deref().unwrap_or("-").to_owned();
    let routed = match read_body(gateway, body).await {
        Ok(body) => {
            // Without a configuration after the wait, the request is refused.
            gateway.wait_until_initialized(gateway.start_wait(now())).await;
            let routed = route_request(gateway, &parts, head, body, arrived);
            routed.map(|request| RoutedRequest { is_relayed, ..request })
        }
        Err(rejection) => Err(rejection),
    };
    let continued = match routed {
        Ok(request) => continue_stream(gateway, request).await,
        Err(rejection) => Err(rejection),
    };
    let mut response = match continued {
        Ok(request) => dispatch_until_exit(gateway, request).await,
        Err(rejection) => {
            let route = rejection.route.as_deref().unwrap_or("-");
            let refused_request = RefusedRequest { id: &id, route, arrived, sends: 0 };
            refuse(gateway, &refused_request, rejection.refusal, &rejection.text)
        }
    };
    let unread_body = [StatusCode::PAYLOAD_TOO_LARGE, StatusCode::REQUEST_TIMEOUT];
    if gateway.shutdown.is_stopping() || unread_body.contains(&response.status()) {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

/// Finds the software version at which a stream goes on that a client continues.
async fn continue_stream<A: Adapter>(
    gateway: &Gateway<A>,
    request: RoutedRequest,
) -> Result<RoutedRequest, Rejection> {
    if !request.streamed || request.last_event.is_none() {
        return Ok(request);
    }
    let route = request.route.clone();
    let continued = match find_origin(gateway, &request).await {
        Ok(origin) => go_on_at(gateway, request, origin),
        Err(text) => Err(text),
    };
    let result = if continued.is_ok() { "known" } else { "unknown" };
    gateway.metrics.continuations.get_or_create(&ContinuationLabels { result }).inc();
    continued.map_err(|text| {
        let refusal = not_run_refusal(gateway, Reason::CannotResume);
        Rejection { route: Some(route), ..Rejection::new(refusal, text) }
    })
}

/// Binds a request to the service and software version that began its stream. The error states why
/// its route does not allow that.
fn go_on_at<A: Adapter>(
    gateway: &Gateway<A>,
    request: RoutedRequest,
    origin: SoftwareVersion,
) -> Result<RoutedRequest, String> {
    let catalog = gateway.catalog().filter(|_| origin.service != request.service);
    let Some(catalog) = catalog else {
        return Ok(RoutedRequest { origin: Some(origin), ..request });
    };
    let routes = &catalog.configuration().routes;
    let route = routes.iter().find(|route| route.name == request.route).filter(|route| {
        route.destinations.iter().any(|d| d.service == origin.service && d.weight > 0)
    });
    let Some(route) = route else {
        return Err(format!("the route no longer leads to service {}", origin.service));
    };
    let lane = catalog.lane(route, &origin.service);
    Ok(RoutedRequest { service: origin.service.clone(), lane, origin: Some(origin), ..request })
}

/// Finds the route of a request, checks its key and selects its service.
fn route_request<A: Adapter>(
    gateway: &Gateway<A>,
    parts: &Parts,
    head: RequestHead,
    body: Bytes,
    arrived: Millis,
) -> Result<RoutedRequest, Rejection> {
    let Some(catalog) = gateway.catalog() else {
        let refusal = not_run_refusal(gateway, Reason::NotReady);
        return Err(Rejection::new(refusal, "no configuration has been read yet"));
    };
    let Some(route) = catalog.route(host(parts), parts.uri.path()) else {
        if !gateway.may_deny(now()) {
            return Err(undecided(gateway, &catalog, "route"));
        }
        let refusal = Refusal::new(Reason::UnknownClass, Verdict::NotRun);
        let refusal = Refusal { status: StatusCode::NOT_FOUND, ..refusal };
        return Err(Rejection::new(
            refusal,
            format!("no route matches in configuration version {}", version(&catalog)),
        ));
    };
    let limit = head.remaining.map_or(route.timeout, |remaining| remaining.min(route.timeout));
    if !gateway.shutdown.accepts_request(limit, now()) {
        let text = format!("daemon exits too soon to serve a request of up to {} ms", limit.0);
        return Err(Rejection::new(stopping_refusal(gateway), text).on_route(route));
    }
    let caller = catalog.caller(route, head.key.as_deref());
    let account =
        account(gateway, &catalog, caller).map_err(|rejection| rejection.on_route(route))?;
    // A stream that a client continues goes where its first request went.
    let continued = head.resumes.as_ref().filter(|_| head.last_event.is_some());
    let id = continued.or(head.request_id.as_ref()).map_or("", String::as_str);
    let Some(service) = destination(route, &catalog, id) else {
        let refusal = not_run_refusal(gateway, Reason::NoEndpoint);
        return Err(Rejection::new(refusal, "route has no configured service").on_route(route));
    };
    Ok(RoutedRequest {
        request_id: head.request_id,
        method: parts.method.clone(),
        target: origin_form(&parts.uri),
        headers: forwarded_headers(gateway, &parts.headers),
        body,
        route: route.name.clone(),
        version: version(&catalog),
        service: service.to_owned(),
        account,
        key: head.key,
        is_relayed: false,
        repeat: route.repeat,
        streamed: route.streamed,
        max_attempts: route.attempts.max(1),
        priority: priority(route, caller),
        prompt: head.prompt,
        lane: catalog.lane(route, service),
        last_event: head.last_event,
        resumes: head.resumes,
        origin: None,
        client_leaves: arrived + head.remaining.unwrap_or(route.timeout),
        may_have_run: Rc::default(),
        is_counted: Rc::default(),
        digest: OnceCell::new(),
        arrived,
        deadline: arrived + limit,
        first_byte_due: arrived + route.objective.min(limit),
    })
}

/// Checks the key of a request. Returns the name of the client account; `None` on routes that allow
/// anonymous requests.
fn account<A: Adapter>(
    gateway: &Gateway<A>,
    catalog: &Catalog,
    caller: Caller<'_>,
) -> Result<Option<String>, Rejection> {
    if caller == Caller::Anonymous {
        return Ok(None);
    }
    if !gateway.keys_are_fresh(now()) {
        let age = gateway.freshness.borrow().age(now());
        let text = match age {
            Some(age) => {
                format!(
                    "keys were last confirmed {} ms ago, longer than the revocation bound",
                    age.0
                )
            }
            None => String::from("keys were never confirmed with the store"),
        };
        return Err(Rejection::new(not_run_refusal(gateway, Reason::StoreUnavailable), text));
    }
    match caller {
        Caller::Known(account) => Ok(Some(account.name.clone())),
        Caller::Anonymous | Caller::Unknown => {
            if !gateway.may_deny(now()) {
                return Err(undecided(gateway, catalog, "key"));
            }
            let refusal = Refusal::new(Reason::UnknownAccount, Verdict::NotRun);
            Err(Rejection::new(
                refusal,
                format!("unknown key in configuration version {}", version(catalog)),
            ))
        }
    }
}

/// The refusal of a request whose route or key is unknown here, but may be in a newer configuration.
fn undecided<A: Adapter>(gateway: &Gateway<A>, catalog: &Catalog, what: &str) -> Rejection {
    let text = format!(
        "unknown {what} in configuration version {}, which is not known to be the newest",
        version(catalog)
    );
    Rejection::new(not_run_refusal(gateway, Reason::StoreUnavailable), text)
}

fn version(catalog: &Catalog) -> u64 {
    catalog.configuration().version
}

async fn read_body<A: Adapter>(gateway: &Gateway<A>, body: Incoming) -> Result<Bytes, Rejection> {
    let limits = gateway.catalog().map(|c| c.configuration().limits).unwrap_or_default();
    let complete = Limited::new(body, limits.body_bytes).collect();
    let error = match timeout(Duration::from_millis(limits.idle_time.0), complete).await {
        Ok(Ok(body)) => return Ok(body.to_bytes()),
        Ok(Err(e)) => e,
        Err(_) => {
            let refusal = Refusal::new(Reason::MalformedRequest, Verdict::NotRun);
            let refusal = Refusal { status: StatusCode::REQUEST_TIMEOUT, ..refusal };
            return Err(Rejection::new(
                refusal,
                "request body was not received within the idle timeout",
            ));
        }
    };
    let reason = match error.downcast_ref::<LengthLimitError>() {
        Some(_) => Reason::BodyTooLarge,
        None => Reason::MalformedRequest,
    };
    Err(Rejection::new(Refusal::new(reason, Verdict::NotRun), error.to_string()))
}

/// The host of a request, without the port.
fn host(parts: &Parts) -> &str {
    let header = parts.headers.get(HOST).and_then(|value| value.to_str().ok());
    let host = parts.uri.host().or(header).unwrap_or("");
    host.rsplit_once(':').map_or(host, |(name, _)| name)
}

fn origin_form(uri: &Uri) -> Uri {
    let target = uri.path_and_query().cloned();
    target.map_or_else(|| Uri::from_static("/"), Uri::from)
}

fn forwarded_headers<A: Adapter>(gateway: &Gateway<A>, headers: &HeaderMap) -> HeaderMap {
    let listed: Vec<String> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    let mut forwarded = HeaderMap::with_capacity(headers.len());
    for (name, value) in headers {
        let is_hop_by_hop = is_hop_header(name)
            || *name == RELAYED_HEADER
            || listed.iter().any(|n| n == name.as_str());
        if !is_hop_by_hop && gateway.adapter.forwards_header(name) {
            forwarded.append(name.clone(), value.clone());
        }
    }
    forwarded
}

/// Builds the response that refuses a request, counts it and logs the reason.
pub(crate) fn refuse<A: Adapter>(
    gateway: &Gateway<A>,
    refused_request: &RefusedRequest<'_>,
    refusal: Refusal,
    text: &str,
) -> Response<ResponseBody> {
    let result = refusal.reason.as_str();
    let labels = RouteLabels { route: refused_request.route.to_owned(), result: result.to_owned() };
    gateway.metrics.requests.get_or_create(&labels).inc();
    if gateway.log_quota.borrow_mut().admits(LineKind::Failure, now()) {
        tracing::info!(
            event = "refused",
            request = %refused_request.id,
            route = refused_request.route,
            status = refusal.status.as_u16(),
            reason = result,
            verdict = refusal.verdict.as_str(),
            version = gateway.catalog().map(|catalog| version(&catalog)),
            proof_age_ms = gateway.freshness.borrow().age(now()).map(|age| age.0),
            retry_after_s = refusal.retry_after,
            sends = refused_request.sends,
            after_ms = now().since(refused_request.arrived).0,
            text,
        );
    }
    refusal.into_response()
}

/// How a request ended for which an endpoint's response was forwarded, at least in part.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct FinishedRequest<'a> {
    /// The `result` label and log value.
    pub(crate) result: &'a str,
    pub(crate) text: &'a str,
    /// Number of attempts that may have reached an endpoint.
    pub(crate) sends: u32,
    /// The last endpoint's stream; `None` if the response was not streamed.
    pub(crate) stream: Option<StreamSummary>,
}

/// Counts and logs a request for which an endpoint's response was forwarded, at least in part.
pub(crate) fn finish<A: Adapter>(
    gateway: &Gateway<A>,
    request: &RoutedRequest,
    finished: &FinishedRequest<'_>,
) {
    let result = finished.result;
    let labels = RouteLabels { route: request.route.clone(), result: result.to_owned() };
    gateway.metrics.requests.get_or_create(&labels).inc();
    let elapsed = now().since(request.arrived);
    let service = ServiceLabels { service: request.service.clone() };
    let seconds = elapsed.0 as f64 / 1000.0;
    gateway.metrics.complete_response_seconds.get_or_create(&service).observe(seconds);
    let kind = if result == ANSWERED { LineKind::Routine } else { LineKind::Failure };
    if gateway.log_quota.borrow_mut().admits(kind, now()) {
        tracing::info!(
            event = "finished",
            request = %request.id(),
            route = %request.route,
            result,
            text = finished.text,
            sends = finished.sends,
            framing = finished.stream.map(|stream| stream.framing.as_str()),
            unfinished_bytes = finished.stream.map(|stream| stream.unfinished_bytes as u64),
            took_ms = elapsed.0,
        );
    }
}
