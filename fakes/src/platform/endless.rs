use super::wire::read_message;
use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;

/// Bytes that are written at a time, at most.
const BLOCK_BYTES: usize = 16 << 10;
const CHUNK_BYTES: usize = 1_000;

/// The part of a response that does not end.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum EndlessPart {
    /// An event of a stream, after a complete first event.
    #[default]
    Event,
    /// An event of a stream that ends with its connection, after a complete first event.
    UnframedEvent,
    /// A body in chunks.
    Chunks,
    /// A body that ends with its connection.
    UnframedBody,
    /// A body whose stated length is many times the memory of a gateway.
    LongBody,
    /// A line of the head.
    HeadLine,
    /// The lines of the head.
    HeadLines,
    /// Interim responses (1xx) before the head.
    InterimResponses,
    /// The extension of a chunk.
    ChunkExtension,
    /// The lines of the trailer after the last chunk.
    Trailer,
    /// Bytes after a complete response.
    Excess,
}

impl EndlessPart {
    /// The response up to the part that does not end, and what that part repeats.
    fn pieces(self, signed: &str) -> (String, String) {
        let head = |framing: &str| format!("HTTP/1.1 200 OK\r\n{signed}{framing}\r\n\r\n");
        let chunked = |more: &str| head(&format!("{more}Transfer-Encoding: chunked"));
        let stream = "Content-Type: text/event-stream\r\n";
        let event = "id: 1\ndata: a\n\n";
        let framed_event = format!("{:x}\r\n{event}\r\n", event.len());
        let chunk = || format!("{CHUNK_BYTES:x}\r\n{}\r\n", "x".repeat(CHUNK_BYTES));
        let byte = || String::from("x");
        let line = || String::from("x-more: y\r\n");
        let status = "HTTP/1.1 200 OK\r\n";
        match self {
            EndlessPart::Event => (chunked(stream) + &framed_event, chunk()),
            EndlessPart::UnframedEvent => {
                (head(&format!("{stream}Connection: close")) + event, byte())
            }
            EndlessPart::Chunks => (chunked(""), chunk()),
            EndlessPart::UnframedBody => (head("Connection: close"), byte()),
            EndlessPart::LongBody => (head("Content-Length: 8000000000"), byte()),
            EndlessPart::HeadLine => (format!("{status}{signed}X-Long: "), byte()),
            EndlessPart::HeadLines => (format!("{status}{signed}"), line()),
            EndlessPart::InterimResponses => {
                (String::new(), String::from("HTTP/1.1 100 Continue\r\n\r\n"))
            }
            EndlessPart::ChunkExtension => (chunked("") + "2;", byte()),
            EndlessPart::Trailer => (chunked("") + "2\r\nok\r\n0\r\n", line()),
            EndlessPart::Excess => (head("Content-Length: 2") + "ok", byte()),
        }
    }
}

/// A stand-in for a faulty endpoint whose responses do not end until the caller closes the connection;
/// clones share their state.
#[derive(Clone, Debug)]
pub struct EndlessEndpoint {
    /// The address that it listens on.
    pub address: SocketAddr,
    id: String,
    part: Arc<Mutex<EndlessPart>>,
    responses: Arc<AtomicU64>,
}

impl EndlessEndpoint {
    /// Starts an endpoint.
    pub fn start(id: &str, part: EndlessPart) -> io::Result<EndlessEndpoint> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let endpoint = EndlessEndpoint {
            address: listener.local_addr()?,
            id: id.to_owned(),
            part: Arc::new(Mutex::new(part)),
            responses: Arc::default(),
        };
        let served = endpoint.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let endpoint = served.clone();
                // An I/O error ends only the thread of this connection.
                thread::spawn(move || endpoint.serve(stream).unwrap_or_default());
            }
        });
        Ok(endpoint)
    }

    /// Changes which part of its responses does not end.
    pub fn set(&self, part: EndlessPart) {
        *self.part.lock().unwrap_or_else(PoisonError::into_inner) = part;
    }

    /// The number of responses that its callers closed.
    pub fn closed_responses(&self) -> u64 {
        self.responses.load(Ordering::SeqCst)
    }

    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut writer = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        let Some(message) = read_message(&mut reader)? else { return Ok(()) };
        let signed = format!(
            "X-Chervilspur-Attempt-Id: {}\r\nX-Chervilspur-Server-Seal: {}\r\n",
            message.header("x-chervilspur-attempt-id"),
            self.id
        );
        let part = *self.part.lock().unwrap_or_else(PoisonError::into_inner);
        let (start, repeated) = part.pieces(&signed);
        let block = repeated.repeat(BLOCK_BYTES / repeated.len());
        let mut sent = writer.write_all(start.as_bytes());
        while sent.is_ok() {
            sent = writer.write_all(block.as_bytes());
        }
        self.responses.fetch_add(1, Ordering::SeqCst);
        sent
    }
}
