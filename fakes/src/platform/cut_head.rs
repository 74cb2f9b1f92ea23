use super::closing::{close, set_reset_on_close};
use super::wire::read_message;
use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;

/// Where an endpoint cuts the head of a response, and how.
#[derive(Clone, Copy, Debug, Default)]
pub struct HeadCut {
    /// The bytes of the head that are sent.
    pub bytes: usize,
    /// Whether the connection is reset, not closed.
    pub is_reset: bool,
    /// The complete responses that a connection carries before.
    pub complete_before: usize,
}

/// A stand-in for an endpoint that cuts the heads of its responses; clones share their state.
#[derive(Clone, Debug)]
pub struct HeadCutter {
    /// The address that it listens on.
    pub address: SocketAddr,
    id: String,
    framing: String,
    cut: Arc<Mutex<HeadCut>>,
    cuts: Arc<AtomicUsize>,
}

impl HeadCutter {
    /// Starts an endpoint; `framing` are the header lines that state the type and length of a body of
    /// two bytes, each ended by CR LF.
    pub fn start(id: &str, framing: &str) -> io::Result<HeadCutter> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let endpoint = HeadCutter {
            address: listener.local_addr()?,
            id: id.to_owned(),
            framing: framing.to_owned(),
            cut: Arc::default(),
            cuts: Arc::default(),
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

    /// Changes where responses are cut.
    pub fn set(&self, cut: HeadCut) {
        *self.cut.lock().unwrap_or_else(PoisonError::into_inner) = cut;
    }

    /// The number of responses that were cut.
    pub fn cuts(&self) -> usize {
        self.cuts.load(Ordering::SeqCst)
    }

    /// The head of the response to a request.
    pub fn head(&self, request: &str) -> String {
        format!(
            "HTTP/1.1 200 OK\r\nX-Chervilspur-Attempt-Id: {request}\r\n\
             X-Chervilspur-Server-Seal: {}\r\n{}\r\n",
            self.id, self.framing
        )
    }

    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut writer = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        let mut complete = 0;
        while let Some(message) = read_message(&mut reader)? {
            let cut = *self.cut.lock().unwrap_or_else(PoisonError::into_inner);
            let head = self.head(message.header("x-chervilspur-attempt-id"));
            if complete < cut.complete_before {
                complete += 1;
                write!(writer, "{head}ok")?;
                continue;
            }
            self.cuts.fetch_add(1, Ordering::SeqCst);
            writer.write_all(&head.as_bytes()[..cut.bytes])?;
            if cut.is_reset {
                return set_reset_on_close(&writer);
            }
            return close(&writer);
        }
        Ok(())
    }
}
