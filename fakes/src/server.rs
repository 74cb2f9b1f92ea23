use serde::Serialize;
use serde::de::DeserializeOwned;
use std::io;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard};
use std::thread;
use std::time::Duration;
use tiny_http::{Header, Request, Response};
use utils::{ThreadPool, body_text, listen};

/// Calls that a stand-in serves at once.
const WORKERS: usize = 8192;

/// The size of a body that a stand-in takes, in bytes.
pub(crate) const BODY_LIMIT: u64 = 1 << 20;

/// Listens, prints the address and serves each request on a thread of its own.
pub(crate) fn serve<F>(address: SocketAddr, handler: F) -> io::Result<()>
where
    F: Fn(Request) -> io::Result<()> + Send + Sync + 'static,
{
    let server = listen(address, None)?;
    println!("listening {}", server.server_addr());
    let work = move |req| {
        // A caller that has left needs no answer.
        let _ = handler(req);
    };
    let pool = ThreadPool::new("stand-in", WORKERS, work);
    for req in server.incoming_requests() {
        if let Err(req) = pool.run(req) {
            drop_connection(req);
        }
    }
    Ok(())
}

/// Closes the connection without an answer.
pub(crate) fn drop_connection(req: Request) {
    // A request that is dropped is answered with status 500, its writer is not.
    drop(req.into_writer());
}

/// Waits as long as a slow stand-in does.
pub(crate) fn be_slow(ms: u64) {
    if ms > 0 {
        thread::sleep(Duration::from_millis(ms));
    }
}

/// Returns the value of a header, or an empty text.
pub(crate) fn header(req: &Request, name: &'static str) -> String {
    let found = req.headers().iter().find(|h| h.field.equiv(name));
    found.map(|h| h.value.as_str().to_string()).unwrap_or_default()
}

/// Splits a URL into its path and its query.
pub(crate) fn split_url(url: &str) -> (&str, &str) {
    url.split_once('?').unwrap_or((url, ""))
}

/// Returns a number of the query.
pub(crate) fn query_number(query: &str, name: &str) -> Option<u64> {
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.filter(|(key, _)| *key == name).find_map(|(_, value)| value.parse().ok())
}

/// Reads a JSON body; one that is too large or malformed gives `None`.
pub(crate) fn read_json<T: DeserializeOwned>(req: &mut Request) -> io::Result<Option<T>> {
    let text = body_text(req, BODY_LIMIT)?;
    Ok(text.and_then(|text| serde_json::from_str(&text).ok()))
}

/// Refuses a request that was not started, with the header that says so.
pub(crate) fn refuse_not_run(req: Request, cause: &str) -> io::Result<()> {
    let text = text_of(&Cause { error: cause })?;
    let mut res = Response::from_string(text).with_status_code(503);
    for (name, value) in [("content-type", "application/json"), ("x-verdict", "not_run")] {
        if let Ok(header) = Header::from_bytes(name, value) {
            res.add_header(header);
        }
    }
    req.respond(res)
}

/// Locks a table; one that a panic left is used as it stands.
pub(crate) fn lock<T>(table: &Mutex<T>) -> MutexGuard<'_, T> {
    table.lock().unwrap_or_else(|e| e.into_inner())
}

#[derive(Serialize)]
struct Cause<'a> {
    error: &'a str,
}

fn text_of<T: Serialize>(value: &T) -> io::Result<String> {
    serde_json::to_string(value).map_err(io::Error::other)
}
