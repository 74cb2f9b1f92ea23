use errors::Refusal;
use serde::Serialize;
use std::io;
use tiny_http::{Header, Request, Response};

/// The body of a refusal, in a response or in an error event.
#[derive(Debug, Serialize)]
struct ErrorBody<'a> {
    request: &'a str,
    error: &'a Refusal,
}

/// Encodes a refusal as JSON.
pub fn refusal_json(request: &str, refusal: &Refusal) -> String {
    serde_json::to_string(&ErrorBody { request, error: refusal }).unwrap_or_default()
}

/// Sends a refusal as the response; an invalid header value is left out.
pub fn respond_refusal(req: Request, request: &str, refusal: &Refusal) -> io::Result<()> {
    let mut res = Response::from_string(refusal_json(request, refusal))
        .with_status_code(refusal.reason.status());
    add_header(&mut res, "content-type", "application/json");
    add_header(&mut res, "x-request-id", request);
    add_header(&mut res, "x-verdict", refusal.verdict.as_str());
    if let Some(ms) = refusal.retry_after_ms {
        add_header(&mut res, "retry-after", &ms.div_ceil(1_000).to_string());
    }
    req.respond(res)
}

fn add_header<R: io::Read>(res: &mut Response<R>, name: &str, value: &str) {
    if let Ok(header) = Header::from_bytes(name, value) {
        res.add_header(header);
    }
}
