use crate::adapter::Adapter;
use crate::clock::now;
use crate::gateway::Gateway;
use crate::response::ResponseBody;
use bytes::Bytes;
use http::header::CONTENT_TYPE;
use http::{HeaderValue, Request, Response, StatusCode};
use hyper::body::Incoming;
use std::rc::Rc;

/// The path of the readiness check.
const READY_PATH: &str = "/readiness";
const METRICS_CONTENT_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

fn text_response(status: StatusCode, text: String) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::Complete(Some(Bytes::from(text))));
    *response.status_mut() = status;
    response
}

/// Responds to readiness checks and requests for metrics.
pub(crate) async fn serve_monitoring<A: Adapter>(
    gateway: &Rc<Gateway<A>>,
    req: Request<Incoming>,
) -> Response<ResponseBody> {
    if req.uri().path() == READY_PATH {
        return if gateway.is_ready(now()) {
            text_response(StatusCode::OK, String::from("ready\n"))
        } else {
            text_response(StatusCode::SERVICE_UNAVAILABLE, String::from("not ready\n"))
        };
    }
    if req.uri().path() != gateway.settings().metrics_path {
        return text_response(StatusCode::NOT_FOUND, String::from("no such page\n"));
    }
    // A process that was suspended has no longer the lease that it had.
    gateway.metrics.duty_holder.set(i64::from(gateway.duties.may_act(now()).is_some()));
    match gateway.metrics.text() {
        Ok(text) => {
            let mut response = text_response(StatusCode::OK, text);
            let format = HeaderValue::from_static(METRICS_CONTENT_TYPE);
            response.headers_mut().insert(CONTENT_TYPE, format);
            response
        }
        Err(e) => text_response(StatusCode::INTERNAL_SERVER_ERROR, format!("{e}\n")),
    }
}
