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

/// Bytes of an answer that the kernel holds for a slow reader; Linux doubles the figure.
const SEND_BUFFER: usize = 16 << 10;

const UNACKNOWLEDGED_LIMIT: Duration = Duration::from_secs(30);

/// The time before a listener that failed is used again.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

/// The time for which requests of connections that are open are still taken from a server whose
/// accept thread has ended, when there is no read timeout.
const DRAIN_TIME: Duration = Duration::from_secs(60);

/// A request, or the wish to end the iteration over them.
type Message = Option<Request>;

/// An HTTP server that goes on when its listener reports an error.
///
/// `tiny_http` accepts no connection any more after the first error, and a listener with a read
/// timeout reports one whenever no connection has come for so long.
#[derive(Debug)]
pub struct HttpServer {
    address: SocketAddr,
    tx: Sender<Message>,
    rx: Receiver<Message>,
    closed: Arc<AtomicBool>,
}

impl Drop for HttpServer {
    fn drop(&mut self) {
        // The accept thread ends with its next look at the listener.
        self.closed.store(true, Ordering::Relaxed);
    }
}

/// Opens a listener whose connections are found dead when their other end goes silent.
pub fn listen(address: SocketAddr, read_timeout: Option<Duration>) -> io::Result<HttpServer> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES);
    socket.set_reuse_address(true)?;
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_LIMIT))?;
    socket.set_tcp_nodelay(true)?;
    socket.set_send_buffer_size(SEND_BUFFER)?;
    socket.set_read_timeout(read_timeout)?;
    socket.bind(&address.into())?;
    socket.listen(ACCEPT_BACKLOG)?;
    let listener = TcpListener::from(socket);
    let address = listener.local_addr()?;
    let drain_time = read_timeout.map_or(DRAIN_TIME, |timeout| timeout * 2);
    let (tx, rx) = unbounded();
    let closed = Arc::new(AtomicBool::new(false));
    let first = open(&listener)?;
    let acceptor = Acceptor { listener, drain_time, tx: tx.clone(), closed: Arc::clone(&closed) };
    thread::Builder::new().name("accept".to_string()).spawn(move || accept(&acceptor, first))?;
    Ok(HttpServer { address, tx, rx, closed })
}

impl HttpServer {
    /// Returns the address that the server listens on.
    pub fn server_addr(&self) -> ListenAddr {
        ListenAddr::IP(self.address)
    }

    /// Returns the requests as they come, until the server is unblocked.
    pub fn incoming_requests(&self) -> impl Iterator<Item = Request> + '_ {
        self.rx.iter().map_while(|message| message)
    }

    /// Waits at most `timeout` for a request.
    pub fn recv_timeout(&self, timeout: Duration) -> Option<Request> {
        self.rx.recv_timeout(timeout).ok().flatten()
    }

    /// Ends one iteration over the requests.
    pub fn unblock(&self) {
        // The receiver lives as long as the server.
        let _ = self.tx.send(None);
    }
}

fn open(listener: &TcpListener) -> io::Result<Server> {
    Server::from_listener(listener.try_clone()?, None).map_err(io::Error::other)
}

/// Passes requests on, with a new server after each error of the listener.
fn accept(acceptor: &Acceptor, first: Server) {
    let mut server = first;
    while let Some(error) = acceptor.forward(&server) {
        if error.kind() != io::ErrorKind::WouldBlock {
            thread::sleep(ACCEPT_PAUSE);
        }
        let next = loop {
            match open(&acceptor.listener) {
                Ok(next) => break next,
                Err(_) => thread::sleep(ACCEPT_PAUSE),
            }
        };
        let old = std::mem::replace(&mut server, next);
        let (drain_time, tx) = (acceptor.drain_time, acceptor.tx.clone());
        // Without a thread the requests of idle connections are lost, which their callers see.
        let _ = thread::Builder::new()
            .name("drain".to_string())
            .spawn(move || drain(&old, drain_time, &tx));
    }
}

/// The accept thread's end of a server.
struct Acceptor {
    listener: TcpListener,
    drain_time: Duration,
    tx: Sender<Message>,
    closed: Arc<AtomicBool>,
}

impl Acceptor {
    /// Passes requests on until the listener fails; returns the failure unless the end was wished.
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

/// Passes on the requests of connections that a server accepted before its listener failed.
fn drain(server: &Server, time: Duration, tx: &Sender<Message>) {
    while let Ok(Some(req)) = server.recv_timeout(time) {
        if tx.send(Some(req)).is_err() {
            return;
        }
    }
}
