//! Clients.

use crate::config::{HOST, KEY};
use crate::http::{Message, read_message};
use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// The head of a POST request with further header lines, each ended by CR LF.
pub fn head(target: &str, id: &str, remaining_ms: u64, further: &str) -> String {
    format!(
        "POST {target} HTTP/1.1\r\nHost: {HOST}\r\nX-Chervilspur-Attempt-Id: {id}\r\n\
         X-Chervilspur-Deadline-Remaining: {remaining_ms}\r\nApi-Key: {KEY}\r\n{further}\r\n"
    )
}

/// Sends a request on a new connection and reads the answer; `None` if there is none.
///
/// # Errors
///
/// Returns the error of the connection.
pub fn request(
    address: SocketAddr,
    target: &str,
    id: &str,
    body: &[u8],
    limit: Duration,
) -> io::Result<Option<Message>> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(limit + Duration::from_millis(500)))?;
    let length = format!("Content-Length: {}\r\n", body.len());
    let remaining = u64::try_from(limit.as_millis()).unwrap_or(u64::MAX);
    stream.write_all(head(target, id, remaining, &length).as_bytes())?;
    stream.write_all(body)?;
    read_message(&mut BufReader::new(stream), true)
}

/// Whether the readiness check answers 200.
pub fn is_ready(address: SocketAddr) -> bool {
    let ask = || -> io::Result<u16> {
        let mut stream = TcpStream::connect_timeout(&address, Duration::from_millis(500))?;
        stream.set_read_timeout(Some(Duration::from_millis(1000)))?;
        stream.write_all(b"GET /readiness HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n")?;
        let answer = read_message(&mut BufReader::new(stream), true)?;
        Ok(answer.map_or(0, |answer| answer.status()))
    };
    ask().is_ok_and(|status| status == 200)
}

/// Waits until the readiness check answers 200.
pub fn wait_until_ready(address: SocketAddr, limit: Duration) -> bool {
    let deadline = Instant::now() + limit;
    while Instant::now() < deadline {
        if is_ready(address) {
            return true;
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    false
}
