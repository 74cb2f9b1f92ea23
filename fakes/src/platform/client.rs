use super::wire::{Message, read_chunk, read_head, read_message};
use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// The longest that a client waits for bytes.
const PATIENCE: Duration = Duration::from_secs(15);

/// What a client got.
#[derive(Clone, Debug)]
pub struct ClientResponse {
    /// The answer, with the body as far as it came.
    pub message: Message,
    /// Whether the answer came whole.
    pub is_complete: bool,
}

/// A client with one connection.
#[derive(Debug)]
pub struct Client {
    reader: BufReader<TcpStream>,
    writer: TcpStream,
}

impl Client {
    /// Connects to the gateway.
    pub fn connect(address: SocketAddr) -> io::Result<Client> {
        let writer = TcpStream::connect_timeout(&address, PATIENCE)?;
        writer.set_nodelay(true)?;
        writer.set_read_timeout(Some(PATIENCE))?;
        Ok(Client { reader: BufReader::new(writer.try_clone()?), writer })
    }

    /// Sends bytes as they are.
    pub fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.writer.write_all(bytes)
    }

    /// Sends a request with a key, an id and a body.
    pub fn send_request(
        &mut self,
        target: &str,
        id: &str,
        key: &str,
        body: &str,
    ) -> io::Result<()> {
        self.send_request_with(target, id, key, body, "")
    }

    /// Sends a request with further headers, each ended by a line break.
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

    /// Reads an answer to its end or as far as it comes.
    pub fn read_response(&mut self) -> io::Result<ClientResponse> {
        let head = read_head(&mut self.reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
        if head.header("transfer-encoding") == "chunked" {
            return Ok(self.chunked(head));
        }
        let mut message = head;
        let length: usize = message.header("content-length").parse().unwrap_or(0);
        message.body = vec![0; length];
        let is_complete = io::Read::read_exact(&mut self.reader, &mut message.body).is_ok();
        Ok(ClientResponse { message, is_complete })
    }

    fn chunked(&mut self, mut message: Message) -> ClientResponse {
        loop {
            match read_chunk(&mut self.reader) {
                Ok(Some(chunk)) => message.body.extend(chunk),
                Ok(None) => return ClientResponse { message, is_complete: true },
                Err(_) => return ClientResponse { message, is_complete: false },
            }
        }
    }

    /// Reads the head of an answer and the first chunk of its body.
    pub fn read_first_chunk(&mut self) -> io::Result<Vec<u8>> {
        read_head(&mut self.reader)?;
        Ok(read_chunk(&mut self.reader)?.unwrap_or_default())
    }

    /// Reads the rest of a body after its first chunk; returns whether it came whole.
    pub fn read_to_end(&mut self) -> bool {
        self.chunked(Message::default()).is_complete
    }

    /// Returns whether the gateway closed the connection without another answer.
    pub fn is_closed(&mut self) -> bool {
        matches!(read_message(&mut self.reader), Ok(None) | Err(_))
    }
}
