//! Clients that send requests as the platform's clients do.

use crate::http::{Message, read_message};
use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// The host of all routes.
pub const HOST: &str = "ficu95.example";
/// The key of the only tenant.
pub const KEY: &str = "n2ctnfzs989anu6wsjnb";

/// A channel to a gateway.
#[derive(Debug)]
pub struct Client {
    reader: BufReader<TcpStream>,
    writer: TcpStream,
}

impl Client {
    /// Opens a channel; a client allows one second for that.
    pub fn connect(address: SocketAddr) -> io::Result<Client> {
        let writer = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        writer.set_nodelay(true)?;
        Ok(Client { reader: BufReader::new(writer.try_clone()?), writer })
    }

    /// Sends the head of a request.
    pub fn send_head(
        &mut self,
        path: &str,
        id: &str,
        limit_ms: u64,
        framing: &str,
    ) -> io::Result<()> {
        write!(
            self.writer,
            "POST {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Chervilspur-Attempt-Id: {id}\r\n\
             X-Chervilspur-Deadline-Remaining: {limit_ms}\r\nApi-Key: {KEY}\r\n{framing}\r\n\r\n"
        )
    }

    /// Sends bytes of a body.
    pub fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.writer.write_all(bytes)
    }

    /// Sends a whole request with a small body.
    pub fn send_request(&mut self, path: &str, id: &str, limit_ms: u64) -> io::Result<()> {
        let body = [b'b'; 600];
        let request = format!(
            "POST {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Chervilspur-Attempt-Id: {id}\r\n\
             X-Chervilspur-Deadline-Remaining: {limit_ms}\r\nApi-Key: {KEY}\r\n\
             Content-Length: {}\r\n\r\n",
            body.len()
        );
        self.writer.write_all(&[request.as_bytes(), &body].concat())
    }

    /// Waits for a whole answer until the time limit; `None` if the channel ends before it begins.
    pub fn receive(&mut self, limit: Duration) -> io::Result<Option<Message>> {
        self.writer.set_read_timeout(Some(limit))?;
        read_message(&mut self.reader)
    }
}
