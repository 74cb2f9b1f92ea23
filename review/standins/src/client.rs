//! A client with a kept channel.

use crate::http::{Message, read_message};
use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// A request of a client.
#[derive(Clone, Debug, Default)]
pub struct ClientRequest<'a> {
    pub method: &'a str,
    pub target: &'a str,
    pub host: &'a str,
    pub key: &'a str,
    pub id: &'a str,
    /// How long the client waits, in milliseconds.
    pub limit_ms: u64,
    /// Further header lines, each with its end.
    pub more: &'a str,
    pub body: &'a str,
}

impl ClientRequest<'_> {
    pub fn text(&self) -> String {
        let ClientRequest { method, target, host, key, id, limit_ms, more, body } = self;
        format!(
            "{method} {target} HTTP/1.1\r\nHost: {host}\r\nX-Chervilspur-Attempt-Id: {id}\r\n\
             X-Chervilspur-Deadline-Remaining: {limit_ms}\r\nApi-Key: {key}\r\n{more}\
             Content-Length: {}\r\n\r\n{body}",
            body.len()
        )
    }
}

/// A channel to a gateway.
#[derive(Debug)]
pub struct Client {
    pub writer: TcpStream,
    pub reader: BufReader<TcpStream>,
}

impl Client {
    pub fn connect(address: SocketAddr) -> io::Result<Client> {
        let writer = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        writer.set_nodelay(true)?;
        let reader = BufReader::new(writer.try_clone()?);
        Ok(Client { writer, reader })
    }

    pub fn send(&mut self, req: &ClientRequest<'_>) -> io::Result<()> {
        self.writer.set_read_timeout(Some(Duration::from_millis(req.limit_ms + 500)))?;
        self.writer.write_all(req.text().as_bytes())
    }

    /// Reads a complete response; `None` if the channel ends before it.
    pub fn read(&mut self) -> io::Result<Option<Message>> {
        read_message(&mut self.reader)
    }
}
