use crate::stream_body::{StreamBody, TruncatedResponse};
use bytes::Bytes;
use errors::{Reason, Verdict};
use http::header::{CONTENT_TYPE, RETRY_AFTER};
use http::{HeaderMap, HeaderValue, Response, StatusCode};
use http_body::{Body, Frame, SizeHint};
use std::pin::Pin;
use std::task::{Context, Poll};

/// The body of a response to a client.
#[derive(Debug)]
pub(crate) enum ResponseBody {
    /// A body that is completely known; `None` if it is empty or has been sent.
    Complete(Option<Bytes>),
    /// A body that is forwarded from an endpoint.
    Relayed(StreamBody),
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = TruncatedResponse;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, TruncatedResponse>>> {
        match self.get_mut() {
            ResponseBody::Complete(bytes) => Poll::Ready(bytes.take().map(|b| Ok(Frame::data(b)))),
            ResponseBody::Relayed(body) => Pin::new(body).poll_frame(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, ResponseBody::Complete(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            ResponseBody::Complete(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |b| b.len() as u64))
            }
            ResponseBody::Relayed(_) => SizeHint::default(),
        }
    }
}

/// A response of an endpoint with its entire body.
#[derive(Clone, Debug)]
pub(crate) struct CompleteResponse {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

impl CompleteResponse {
    pub(crate) fn into_response(self) -> Response<ResponseBody> {
        let body = Some(self.body).filter(|b| !b.is_empty());
        let mut response = Response::new(ResponseBody::Complete(body));
        *response.status_mut() = self.status;
        *response.headers_mut() = self.headers;
        response
    }
}

/// A response that refuses a request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Refusal {
    pub(crate) status: StatusCode,
    pub(crate) reason: Reason,
    pub(crate) verdict: Verdict,
    /// Seconds after which the client may retry.
    pub(crate) retry_after: Option<f64>,
}

impl Refusal {
    pub(crate) fn new(reason: Reason, verdict: Verdict) -> Refusal {
        let status = StatusCode::from_u16(reason.status()).unwrap_or(StatusCode::BAD_GATEWAY);
        Refusal { status, reason, verdict, retry_after: None }
    }

    pub(crate) fn into_response(self) -> Response<ResponseBody> {
        let text = format!(
            "{{\"error\":\"{}\",\"verdict\":\"{}\"}}",
            self.reason.as_str(),
            self.verdict.as_str()
        );
        let mut response = Response::new(ResponseBody::Complete(Some(Bytes::from(text))));
        *response.status_mut() = self.status;
        let headers = response.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        if let Some(seconds) = self.retry_after {
            let value = HeaderValue::from_str(&format!("{seconds:.3}"));
            headers.extend(value.ok().map(|value| (RETRY_AFTER, value)));
        }
        response
    }
}
