//! HTTP by `tiny_http` and `attohttpc`, set up so that nothing is repeated or buffered.

use attohttpc::{ProxySettings, RequestBuilder};
use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::{ResultExt, Snafu};
use std::io::{self, Read, Write};
use std::time::Duration;
use tiny_http::{Header, Request, Response};

/// A failed exchange with another process.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum HttpError {
    /// The exchange failed below HTTP.
    #[snafu(display("{url}: {source}"))]
    Exchange {
        /// The address that was called.
        url: String,
        /// The failure.
        source: attohttpc::Error,
    },
    /// The other side answered with an unexpected status.
    #[snafu(display("{url}: status {status}: {body}"))]
    Status {
        /// The address that was called.
        url: String,
        /// The HTTP status.
        status: u16,
        /// The text of the answer.
        body: String,
    },
    /// The answer is not the JSON that was expected.
    #[snafu(display("{url}: {source}"))]
    Decode {
        /// The address that was called.
        url: String,
        /// The failure.
        source: serde_json::Error,
    },
}

impl HttpError {
    /// Returns whether the other side refused the connection, so that no byte left.
    pub fn is_unsent(&self) -> bool {
        let HttpError::Exchange { source, .. } = self else { return false };
        let attohttpc::ErrorKind::Io(source) = source.kind() else { return false };
        source.kind() == io::ErrorKind::ConnectionRefused
    }
}

/// Prepares a request that follows no redirect, uses no proxy and is sent once.
pub fn prepare_request(req: RequestBuilder, timeout: Duration) -> RequestBuilder {
    req.follow_redirects(false)
        .proxy_settings(ProxySettings::builder().build())
        .connect_timeout(timeout)
        .read_timeout(timeout)
}

/// Gets a JSON value.
pub fn get_json<T: DeserializeOwned>(url: &str, timeout: Duration) -> Result<T, HttpError> {
    let res =
        prepare_request(attohttpc::get(url), timeout).send().context(ExchangeSnafu { url })?;
    decode(url, res)
}

/// Posts a JSON value and reads the JSON answer.
pub fn post_json<B: Serialize, T: DeserializeOwned>(
    url: &str,
    body: &B,
    timeout: Duration,
) -> Result<T, HttpError> {
    send_json(url, attohttpc::post(url), body, timeout)
}

/// Puts a JSON value and reads the JSON answer.
pub fn put_json<B: Serialize, T: DeserializeOwned>(
    url: &str,
    body: &B,
    timeout: Duration,
) -> Result<T, HttpError> {
    send_json(url, attohttpc::put(url), body, timeout)
}

/// Deletes what is at `url` and reads the JSON answer.
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
    let body = res.text().context(ExchangeSnafu { url })?;
    if status >= 300 {
        return StatusSnafu { url, status, body }.fail();
    }
    serde_json::from_str(&body).context(DecodeSnafu { url })
}

/// Reads a request body of at most `limit` bytes; a longer one gives `None`.
pub fn body_text(req: &mut Request, limit: u64) -> io::Result<Option<String>> {
    let mut text = String::new();
    req.as_reader().take(limit + 1).read_to_string(&mut text)?;
    Ok(if text.len() as u64 > limit { None } else { Some(text) })
}

/// Answers a request with a status and a JSON value.
pub fn respond_json<T: Serialize>(req: Request, status: u16, body: &T) -> io::Result<()> {
    let text = serde_json::to_string(body).map_err(io::Error::other)?;
    let content_type = Header::from_bytes("content-type", "application/json")
        .map_err(|()| io::Error::other("content-type"))?;
    req.respond(Response::from_string(text).with_status_code(status).with_header(content_type))
}

/// Writes a chunked HTTP answer and flushes each piece as it is written.
pub struct ChunkWriter {
    inner: Box<dyn Write + Send>,
}

impl ChunkWriter {
    /// Starts an answer with the given status line text and headers.
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

    /// Sends one piece.
    pub fn send(&mut self, piece: &[u8]) -> io::Result<()> {
        if piece.is_empty() {
            return Ok(());
        }
        let mut buf = Vec::with_capacity(piece.len() + 16);
        write!(buf, "{:x}\r\n", piece.len())?;
        buf.extend_from_slice(piece);
        buf.extend_from_slice(b"\r\n");
        self.inner.write_all(&buf)?;
        self.inner.flush()
    }

    /// Ends the answer; an answer that is dropped without it reads as cut off.
    pub fn close(mut self) -> io::Result<()> {
        self.inner.write_all(b"0\r\n\r\n")?;
        self.inner.flush()
    }
}
