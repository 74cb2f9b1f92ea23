use crossbeam::channel::{Receiver, Sender, unbounded};
use socket2::{Domain, Protocol, Socket, TcpKeepalive, Type};
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;
use tiny_http::{ListenAddr, Request, Server};

const ACCEPT_BACKLOG: i32 = 1024;
const KEEPALIVE_IDLE: Duration = Duration::from_secs(10);
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(5);
const KEEPALIVE_PROBES: u32 = 3;

/// The part of a response that the kernel buffers for a slow client; Linux doubles the value.
const SEND_BUFFER_BYTES: usize = 16 << 10;

/// How long sent data may stay unacknowledged before the connection is closed.
const TCP_USER_TIMEOUT: Duration = Duration::from_secs(30);

/// The delay before a listener that failed is used again.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// How long a server that accepts no more connections may receive no request on its open ones
/// before it is dropped, if there is no read timeout.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(60);

/// A request, or `None` to end one iteration over the requests.
type Message = Option<Request>;

/// An HTTP server that keeps accepting connections after its listener reports an error.
///
/// `tiny_http` stops accepting after the first error, and a listener with a read timeout reports an
/// error whenever no connection arrives within that time.
#[derive(Debug)]
pub struct HttpServer {
    address: SocketAddr,
    tx: Sender<Message>,
    rx: Receiver<Message>,
    closed: Arc<AtomicBool>,
}

impl Drop for HttpServer {
    fn drop(&mut self) {
        // The accept thread ends when the listener next fails or a request is next forwarded.
        self.closed.store(true, Ordering::Relaxed);
    }
}

/// Starts a server that detects dead connections by keep-alive and unacknowledged data.
///
/// `read_timeout` limits each read from a connection; without it, reads wait forever.
pub fn listen(address: SocketAddr, read_timeout: Option<Duration>) -> io::Result<HttpServer> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES);
    socket.set_reuse_address(true)?;
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(TCP_USER_TIMEOUT))?;
    socket.set_tcp_nodelay(true)?;
    socket.set_send_buffer_size(SEND_BUFFER_BYTES)?;
    socket.set_read_timeout(read_timeout)?;
    socket.bind(&address.into())?;
    socket.listen(ACCEPT_BACKLOG)?;
    let listener = TcpListener::from(socket);
    let address = listener.local_addr()?;
    let drain_timeout = read_timeout.map_or(DRAIN_TIMEOUT, |timeout| timeout * 2);
    let (tx, rx) = unbounded();
    let closed = Arc::new(AtomicBool::new(false));
    let first = open(&listener)?;
    let acceptor =
        Acceptor { listener, drain_timeout, tx: tx.clone(), closed: Arc::clone(&closed) };
    thread::Builder::new().name("accept".to_string()).spawn(move || accept(&acceptor, first))?;
    Ok(HttpServer { address, tx, rx, closed })
}

impl HttpServer {
    /// The address that the server listens on, with the port that was assigned if it was 0.
    pub fn server_addr(&self) -> ListenAddr {
        ListenAddr::IP(self.address)
    }

    /// Iterates over requests as they arrive; ends after a call of `unblock`.
    pub fn incoming_requests(&self) -> impl Iterator<Item = Request> + '_ {
        self.rx.iter().map_while(|message| message)
    }

    /// Waits up to `timeout` for a request; also returns `None` after a call of `unblock`.
    pub fn recv_timeout(&self, timeout: Duration) -> Option<Request> {
        self.rx.recv_timeout(timeout).ok().flatten()
    }

    /// Ends one iteration over the requests, or one wait for a request.
    pub fn unblock(&self) {
        // Sending cannot fail, because `self` owns the receiver.
        let _ = self.tx.send(None);
    }
}

fn open(listener: &TcpListener) -> io::Result<Server> {
    Server::from_listener(listener.try_clone()?, None).map_err(io::Error::other)
}

/// Forwards requests and replaces the `tiny_http` server after each error of the listener.
fn accept(acceptor: &Acceptor, first: Server) {
    let mut server = first;
    while let Some(error) = acceptor.forward(&server) {
        if error.kind() != io::ErrorKind::WouldBlock {
            thread::sleep(ACCEPT_RETRY_DELAY);
        }
        let next = loop {
            match open(&acceptor.listener) {
                Ok(next) => break next,
                Err(_) => thread::sleep(ACCEPT_RETRY_DELAY),
            }
        };
        let old = std::mem::replace(&mut server, next);
        let (drain_timeout, tx) = (acceptor.drain_timeout, acceptor.tx.clone());
        // If no thread can be started, requests on open connections of the old server are lost,
        // which their callers notice.
        let _ = thread::Builder::new()
            .name("drain".to_string())
            .spawn(move || drain(&old, drain_timeout, &tx));
    }
}

/// The state of the accept thread.
struct Acceptor {
    listener: TcpListener,
    drain_timeout: Duration,
    tx: Sender<Message>,
    closed: Arc<AtomicBool>,
}

impl Acceptor {
    /// Forwards requests until the listener fails; returns the error unless the server was dropped.
    fn forward(&self, server: &Server) -> Option<io::Error> {
        loop {
            let req = match server.recv() {
                Ok(req) => req,
                Err(e) => return (!self.closed.load(Ordering::Relaxed)).then_some(e),
            };
            if self.tx.send(Some(req)).is_err() {
                return None;
            }
        }
    }
}

/// Forwards requests on connections that a server accepted before its listener failed.
fn drain(server: &Server, timeout: Duration, tx: &Sender<Message>) {
    while let Ok(Some(req)) = server.recv_timeout(timeout) {
        if tx.send(Some(req)).is_err() {
            return;
        }
    }
}
