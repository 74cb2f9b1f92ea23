//! HTTP with `tiny_http` and `attohttpc`: requests are never retried, and streamed chunks are not
//! buffered.

use attohttpc::header::{CONTENT_LENGTH, HeaderMap, TRANSFER_ENCODING};
use attohttpc::{ProxySettings, RequestBuilder};
use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::{ResultExt, Snafu};
use std::io::{self, Read, Write};
use std::time::Duration;
use tiny_http::{Header, Request, Response};

/// An error in an HTTP exchange with another process.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum HttpError {
    /// No complete response was received, for example because the connection failed.
    #[snafu(display("{url}: {source}"))]
    Exchange {
        /// The requested URL.
        url: String,
        /// The error of the HTTP client.
        source: attohttpc::Error,
    },
    /// The response has a status of 300 or above.
    #[snafu(display("{url}: status {status}: {body}"))]
    Status {
        /// The requested URL.
        url: String,
        /// The HTTP status.
        status: u16,
        /// The response body.
        body: String,
    },
    /// The response body, or the value to send, does not convert from or to JSON.
    #[snafu(display("{url}: {source}"))]
    Decode {
        /// The requested URL.
        url: String,
        /// The error of the conversion.
        source: serde_json::Error,
    },
}

impl HttpError {
    /// Whether the connection was refused, so that no byte of the request was sent.
    pub fn is_unsent(&self) -> bool {
        let HttpError::Exchange { source, .. } = self else { return false };
        let attohttpc::ErrorKind::Io(source) = source.kind() else { return false };
        source.kind() == io::ErrorKind::ConnectionRefused
    }
}

/// Sets up a request without redirects or a proxy; `timeout` limits connecting and each read.
pub fn prepare_request(req: RequestBuilder, timeout: Duration) -> RequestBuilder {
    req.follow_redirects(false)
        .proxy_settings(ProxySettings::builder().build())
        .connect_timeout(timeout)
        .read_timeout(timeout)
}

/// Sends a GET request and decodes the JSON response.
pub fn get_json<T: DeserializeOwned>(url: &str, timeout: Duration) -> Result<T, HttpError> {
    let res =
        prepare_request(attohttpc::get(url), timeout).send().context(ExchangeSnafu { url })?;
    decode(url, res)
}

/// Sends a POST request with a JSON body and decodes the JSON response.
pub fn post_json<B: Serialize, T: DeserializeOwned>(
    url: &str,
    body: &B,
    timeout: Duration,
) -> Result<T, HttpError> {
    send_json(url, attohttpc::post(url), body, timeout)
}

/// Sends a PUT request with a JSON body and decodes the JSON response.
pub fn put_json<B: Serialize, T: DeserializeOwned>(
    url: &str,
    body: &B,
    timeout: Duration,
) -> Result<T, HttpError> {
    send_json(url, attohttpc::put(url), body, timeout)
}

/// Sends a DELETE request and decodes the JSON response.
pub fn delete_json<T: DeserializeOwned>(url: &str, timeout: Duration) -> Result<T, HttpError> {
    let res =
        prepare_request(attohttpc::delete(url), timeout).send().context(ExchangeSnafu { url })?;
    decode(url, res)
}

fn send_json<B: Serialize, T: DeserializeOwned>(
    url: &str,
    req: RequestBuilder,
    body: &B,
    timeout: Duration,
) -> Result<T, HttpError> {
    let text = serde_json::to_string(body).context(DecodeSnafu { url })?;
    let res = prepare_request(req, timeout)
        .header("content-type", "application/json")
        .text(text)
        .send()
        .context(ExchangeSnafu { url })?;
    decode(url, res)
}

fn decode<T: DeserializeOwned>(url: &str, res: attohttpc::Response) -> Result<T, HttpError> {
    let status = res.status().as_u16();
    let body = response_text(res).context(ExchangeSnafu { url })?;
    if status >= 300 {
        return StatusSnafu { url, status, body }.fail();
    }
    serde_json::from_str(&body).context(DecodeSnafu { url })
}

/// Reads a response body as UTF-8 text. A body that is shorter than its stated length is an error,
/// which `attohttpc` does not detect.
pub fn response_text(res: attohttpc::Response) -> attohttpc::Result<String> {
    let stated = stated_length(res.headers());
    let text = res.text()?;
    check_length(text.len(), stated)?;
    Ok(text)
}

/// The stated length of a body; `None` if it ends with a chunk or with its connection. `attohttpc`
/// rejects a response whose stated length is not a number.
fn stated_length(headers: &HeaderMap) -> Option<usize> {
    if headers.contains_key(TRANSFER_ENCODING) {
        return None;
    }
    headers.get(CONTENT_LENGTH)?.to_str().ok()?.parse().ok()
}

fn check_length(received: usize, stated: Option<usize>) -> io::Result<()> {
    match stated {
        Some(stated) if received < stated => {
            let text = format!("body ended after {received} of {stated} bytes");
            Err(io::Error::new(io::ErrorKind::UnexpectedEof, text))
        }
        _ => Ok(()),
    }
}

/// Reads a request body as UTF-8 text; `None` if it is longer than `limit` bytes. A body that is
/// shorter than its stated length is an error, which `tiny_http` does not detect.
pub fn body_text(req: &mut Request, limit: u64) -> io::Result<Option<String>> {
    let stated = req.body_length();
    let mut text = String::new();
    req.as_reader().take(limit + 1).read_to_string(&mut text)?;
    if text.len() as u64 > limit {
        return Ok(None);
    }
    check_length(text.len(), stated)?;
    Ok(Some(text))
}

/// Responds to a request with a JSON body.
pub fn respond_json<T: Serialize>(req: Request, status: u16, body: &T) -> io::Result<()> {
    let text = serde_json::to_string(body).map_err(io::Error::other)?;
    let content_type = Header::from_bytes("content-type", "application/json")
        .map_err(|()| io::Error::other("cannot build the content-type header"))?;
    req.respond(Response::from_string(text).with_status_code(status).with_header(content_type))
}

/// Writes a chunked HTTP response and flushes after each chunk.
pub struct ChunkWriter {
    inner: Box<dyn Write + Send>,
}

impl ChunkWriter {
    /// Sends the response head; `status` is the code with its reason phrase, like `200 OK`.
    pub fn start(req: Request, status: &str, headers: &[(&str, &str)]) -> io::Result<ChunkWriter> {
        let mut inner: Box<dyn Write + Send> = req.into_writer();
        write!(inner, "HTTP/1.1 {status}\r\nTransfer-Encoding: chunked\r\n")?;
        for (name, value) in headers {
            write!(inner, "{name}: {value}\r\n")?;
        }
        inner.write_all(b"Connection: close\r\n\r\n")?;
        inner.flush()?;
        Ok(ChunkWriter { inner })
    }

    /// Sends one chunk; an empty one is skipped, as it would end the response.
    pub fn send(&mut self, chunk: &[u8]) -> io::Result<()> {
        if chunk.is_empty() {
            return Ok(());
        }
        let mut buf = Vec::with_capacity(chunk.len() + 16);
        write!(buf, "{:x}\r\n", chunk.len())?;
        buf.extend_from_slice(chunk);
        buf.extend_from_slice(b"\r\n");
        self.inner.write_all(&buf)?;
        self.inner.flush()
    }

    /// Ends the response; without this call the receiver sees a truncated response.
    pub fn close(mut self) -> io::Result<()> {
        self.inner.write_all(b"0\r\n\r\n")?;
        self.inner.flush()
    }
}
