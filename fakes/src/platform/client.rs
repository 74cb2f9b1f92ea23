use super::wire::{Message, read_chunk, read_head, read_message};
use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// The connect and read timeout.
const IO_TIMEOUT: Duration = Duration::from_secs(15);

/// A response, as far as it was received.
#[derive(Clone, Debug)]
pub struct ClientResponse {
    /// The status line, the headers and the received part of the body.
    pub message: Message,
    /// Whether the whole body was received.
    pub is_complete: bool,
}

/// An HTTP client with one connection to a gateway.
#[derive(Debug)]
pub struct Client {
    reader: BufReader<TcpStream>,
    writer: TcpStream,
}

impl Client {
    /// Connects to a gateway.
    pub fn connect(address: SocketAddr) -> io::Result<Client> {
        let writer = TcpStream::connect_timeout(&address, IO_TIMEOUT)?;
        writer.set_nodelay(true)?;
        writer.set_read_timeout(Some(IO_TIMEOUT))?;
        Ok(Client { reader: BufReader::new(writer.try_clone()?), writer })
    }

    /// Sends raw bytes.
    pub fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.writer.write_all(bytes)
    }

    /// Sends a POST request with an attempt id, an API key and a body.
    pub fn send_request(
        &mut self,
        target: &str,
        id: &str,
        key: &str,
        body: &str,
    ) -> io::Result<()> {
        self.send_request_with(target, id, key, body, "")
    }

    /// Sends a POST request with extra headers, each ended by CR LF.
    pub fn send_request_with(
        &mut self,
        target: &str,
        id: &str,
        key: &str,
        body: &str,
        headers: &str,
    ) -> io::Result<()> {
        let request = format!(
            "POST {target} HTTP/1.1\r\nHost: model.example\r\nX-Chervilspur-Attempt-Id: {id}\r\n\
             X-Chervilspur-Deadline-Remaining: 5000\r\nApi-Key: {key}\r\n{headers}\
             Content-Length: {}\r\n\r\n{body}",
            body.len()
        );
        self.send(request.as_bytes())
    }

    /// Reads a response to its end, or to the point where the connection fails.
    pub fn read_response(&mut self) -> io::Result<ClientResponse> {
        let head = read_head(&mut self.reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
        if head.header("transfer-encoding") == "chunked" {
            return Ok(self.read_chunks(head));
        }
        let mut message = head;
        let length: usize = message.header("content-length").parse().unwrap_or(0);
        message.body = vec![0; length];
        let is_complete = io::Read::read_exact(&mut self.reader, &mut message.body).is_ok();
        Ok(ClientResponse { message, is_complete })
    }

    fn read_chunks(&mut self, mut message: Message) -> ClientResponse {
        loop {
            match read_chunk(&mut self.reader) {
                Ok(Some(chunk)) => message.body.extend(chunk),
                Ok(None) => return ClientResponse { message, is_complete: true },
                Err(_) => return ClientResponse { message, is_complete: false },
            }
        }
    }

    /// Reads the head of a response and the first chunk of its body.
    pub fn read_first_chunk(&mut self) -> io::Result<Vec<u8>> {
        read_head(&mut self.reader)?;
        Ok(read_chunk(&mut self.reader)?.unwrap_or_default())
    }

    /// Reads the remaining chunks of a body after `read_first_chunk`; true if the last chunk arrives.
    pub fn read_to_end(&mut self) -> bool {
        self.read_rest().is_complete
    }

    /// Reads the remaining chunks of a body after `read_first_chunk`, without a head.
    pub fn read_rest(&mut self) -> ClientResponse {
        self.read_chunks(Message::default())
    }

    /// Reads until the connection ends. Returns the number of bytes, and whether it ended in the
    /// ordinary way or by a reset.
    pub fn read_until_closed(&mut self) -> (usize, io::Result<()>) {
        let mut received = Vec::new();
        let result = io::Read::read_to_end(&mut self.reader, &mut received);
        (received.len(), result.map(|_| ()))
    }

    /// Whether the gateway closed the connection without another response. Blocks until it does.
    pub fn is_closed(&mut self) -> bool {
        matches!(read_message(&mut self.reader), Ok(None) | Err(_))
    }
}
