use serde::Serialize;
use serde::de::DeserializeOwned;
use std::io;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard};
use std::thread;
use std::time::Duration;
use tiny_http::{Header, Request, Response};
use utils::{ThreadPool, body_text, listen};

/// The maximum number of concurrent requests.
const MAX_WORKERS: usize = 8192;

/// The largest accepted request body.
pub(crate) const BODY_LIMIT_BYTES: u64 = 1 << 20;

/// Listens, prints `listening ADDRESS` and serves each request on a pooled thread. A request that
/// finds no free thread gets its connection closed.
pub(crate) fn serve<F>(address: SocketAddr, handler: F) -> io::Result<()>
where
    F: Fn(Request) -> io::Result<()> + Send + Sync + 'static,
{
    let server = listen(address, None)?;
    println!("listening {}", server.server_addr());
    let work = move |req| {
        // Writing the response fails if the caller has disconnected.
        let _ = handler(req);
    };
    let pool = ThreadPool::new("stand-in", MAX_WORKERS, work);
    for req in server.incoming_requests() {
        if let Err(req) = pool.run(req) {
            drop_connection(req);
        }
    }
    Ok(())
}

/// Closes the connection without a response.
pub(crate) fn drop_connection(req: Request) {
    // tiny_http responds with status 500 when a `Request` is dropped, but not when its writer is.
    drop(req.into_writer());
}

/// Blocks the thread, if `ms` is not 0.
pub(crate) fn delay(ms: u64) {
    if ms > 0 {
        thread::sleep(Duration::from_millis(ms));
    }
}

/// The value of a header, or an empty string.
pub(crate) fn header(req: &Request, name: &'static str) -> String {
    let found = req.headers().iter().find(|h| h.field.equiv(name));
    found.map(|h| h.value.as_str().to_string()).unwrap_or_default()
}

/// Splits a URL into its path and its query.
pub(crate) fn split_url(url: &str) -> (&str, &str) {
    url.split_once('?').unwrap_or((url, ""))
}

/// The first parameter `name` of the query that is a number.
pub(crate) fn query_number(query: &str, name: &str) -> Option<u64> {
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.filter(|(key, _)| *key == name).find_map(|(_, value)| value.parse().ok())
}

/// Reads a JSON body; `None` if it is too large or malformed.
pub(crate) fn read_json<T: DeserializeOwned>(req: &mut Request) -> io::Result<Option<T>> {
    let text = body_text(req, BODY_LIMIT_BYTES)?;
    Ok(text.and_then(|text| serde_json::from_str(&text).ok()))
}

/// Responds with 503 and `x-verdict: not_run`: the request was not started and is safe to retry.
pub(crate) fn respond_not_run(req: Request, cause: &str) -> io::Result<()> {
    let text = to_json(&ErrorBody { error: cause })?;
    let mut res = Response::from_string(text).with_status_code(503);
    for (name, value) in [("content-type", "application/json"), ("x-verdict", "not_run")] {
        if let Ok(header) = Header::from_bytes(name, value) {
            res.add_header(header);
        }
    }
    req.respond(res)
}

/// Locks a mutex, ignoring poisoning.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|e| e.into_inner())
}

#[derive(Serialize)]
struct ErrorBody<'a> {
    error: &'a str,
}

fn to_json<T: Serialize>(value: &T) -> io::Result<String> {
    serde_json::to_string(value).map_err(io::Error::other)
}
