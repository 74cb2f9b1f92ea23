use super::closing::{close, set_reset_on_close};
use super::crash::rebind;
use socket2::{Domain, SockRef, Socket, Type};
use std::collections::BTreeMap;
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;

/// How a network path treats connections.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PathState {
    /// Forwards them.
    Open,
    /// Resets open ones and refuses new ones.
    Reset,
    /// Forwards open ones and refuses new ones.
    RefusesNew,
    /// Holds back the bytes of open ones and does not respond to new ones.
    Hanging,
}

/// How often a path that holds back bytes checks whether it may forward them.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Connections that fill the queue of a listener that accepts none.
const QUEUE_FILLERS: usize = 4;

/// A connection through a path.
#[derive(Debug)]
struct Forwarded {
    sides: [TcpStream; 2],
    /// The bytes that its caller sent last.
    last_sent: Vec<u8>,
    is_silent: bool,
}

#[derive(Debug, Default)]
struct Sockets {
    listener: Option<TcpListener>,
    connections: BTreeMap<u64, Forwarded>,
    last_number: u64,
    /// Holds the port while connections are refused.
    held_port: Option<Socket>,
    /// Connections that fill the queue of a listener that accepts none.
    fillers: Vec<Socket>,
}

/// A network path on loopback to a process, which can be cut for those who use it.
#[derive(Clone, Debug)]
pub struct NetworkPath {
    /// The address that it listens on.
    pub address: SocketAddr,
    target: SocketAddr,
    sockets: Arc<Mutex<Sockets>>,
    holds: Arc<AtomicBool>,
}

impl NetworkPath {
    /// Starts a path to `target`.
    pub fn start(target: SocketAddr) -> io::Result<NetworkPath> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let path = NetworkPath {
            address: listener.local_addr()?,
            target,
            sockets: Arc::default(),
            holds: Arc::default(),
        };
        path.accept(listener)?;
        Ok(path)
    }

    fn sockets(&self) -> MutexGuard<'_, Sockets> {
        self.sockets.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Changes how it treats connections.
    pub fn set(&self, state: PathState) -> io::Result<()> {
        self.close_listener()?;
        self.holds.store(state == PathState::Hanging, Ordering::SeqCst);
        match state {
            PathState::Open => self.accept(rebind(self.address)?),
            PathState::RefusesNew => self.hold_port(),
            PathState::Reset => {
                self.hold_port()?;
                let mut sockets = self.sockets();
                let numbers: Vec<u64> = sockets.connections.keys().copied().collect();
                numbers.into_iter().try_for_each(|number| sockets.reset(number))
            }
            PathState::Hanging => self.fill_queue(),
        }
    }

    /// Holds back the bytes of open connections whose callers sent `request` last, for good, while new
    /// ones work. Returns how many there are.
    pub fn silence(&self, request: &str) -> usize {
        let mut sockets = self.sockets();
        let is_sent = |sent: &[u8]| sent.windows(request.len()).any(|w| w == request.as_bytes());
        let connections = sockets.connections.values_mut().filter(|c| is_sent(&c.last_sent));
        connections.map(|connection| connection.is_silent = true).count()
    }

    fn close_listener(&self) -> io::Result<()> {
        let mut sockets = self.sockets();
        sockets.fillers.clear();
        sockets.held_port = None;
        match sockets.listener.take() {
            Some(listener) => SockRef::from(&listener).shutdown(Shutdown::Both),
            None => Ok(()),
        }
    }

    /// Binds the port without listening, so that it refuses connections and no other process gets it.
    fn hold_port(&self) -> io::Result<()> {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
        socket.set_reuse_address(true)?;
        while let Err(e) = socket.bind(&self.address.into()) {
            if e.kind() != io::ErrorKind::AddrInUse {
                return Err(e);
            }
            thread::sleep(POLL_INTERVAL);
        }
        self.sockets().held_port = Some(socket);
        Ok(())
    }

    /// Listens without accepting, with a full queue, so that new connections get no response.
    fn fill_queue(&self) -> io::Result<()> {
        let listener = Socket::new(Domain::IPV4, Type::STREAM, None)?;
        listener.set_reuse_address(true)?;
        listener.bind(&self.address.into())?;
        listener.listen(0)?;
        for _ in 0..QUEUE_FILLERS {
            let filler = Socket::new(Domain::IPV4, Type::STREAM, None)?;
            filler.set_nonblocking(true)?;
            // It is in progress, or waits for its place in the queue.
            let _ = filler.connect(&self.address.into());
            self.sockets().fillers.push(filler);
        }
        self.sockets().listener = Some(listener.into());
        Ok(())
    }

    fn accept(&self, listener: TcpListener) -> io::Result<()> {
        self.sockets().listener = Some(listener.try_clone()?);
        let path = self.clone();
        thread::spawn(move || {
            while let Ok((caller, _)) = listener.accept() {
                let path = path.clone();
                // An I/O error ends only the threads of this connection.
                thread::spawn(move || path.forward(caller).unwrap_or_default());
            }
        });
        Ok(())
    }

    fn forward(&self, caller: TcpStream) -> io::Result<()> {
        let upstream = TcpStream::connect(self.target)?;
        let number = self.sockets().add([caller.try_clone()?, upstream.try_clone()?]);
        let (response_from, response_to) = (upstream.try_clone()?, caller.try_clone()?);
        let responses = self.clone();
        thread::spawn(move || {
            responses.copy(number, response_from, response_to, false).unwrap_or_default();
        });
        self.copy(number, caller, upstream, true)
    }

    /// Copies one direction of a connection until it ends. A reset on one side is one on the other.
    fn copy(
        &self,
        number: u64,
        mut from: TcpStream,
        mut to: TcpStream,
        is_request: bool,
    ) -> io::Result<()> {
        let mut buf = [0; 8_192];
        loop {
            let read = from.read(&mut buf);
            if is_request && let Ok(len) = read {
                self.sockets().record_sent(number, &buf[..len]);
            }
            while self.holds.load(Ordering::SeqCst) || self.sockets().is_silent(number) {
                thread::sleep(POLL_INTERVAL);
            }
            let copied = match read {
                Ok(0) => return close(&to),
                Ok(len) => to.write_all(&buf[..len]),
                Err(e) => Err(e),
            };
            if copied.is_err() {
                return self.sockets().reset(number);
            }
        }
    }
}

impl Sockets {
    fn add(&mut self, sides: [TcpStream; 2]) -> u64 {
        self.last_number += 1;
        let connection = Forwarded { sides, last_sent: Vec::new(), is_silent: false };
        self.connections.insert(self.last_number, connection);
        self.last_number
    }

    fn record_sent(&mut self, number: u64, bytes: &[u8]) {
        if let Some(connection) = self.connections.get_mut(&number) {
            connection.last_sent = bytes.to_vec();
        }
    }

    fn is_silent(&self, number: u64) -> bool {
        self.connections.get(&number).is_some_and(|connection| connection.is_silent)
    }

    /// Resets both sides of a connection as soon as the threads that copy it have ended.
    fn reset(&mut self, number: u64) -> io::Result<()> {
        for stream in self.connections.remove(&number).into_iter().flat_map(|c| c.sides) {
            set_reset_on_close(&stream)?;
            // It may have ended already.
            let _ = stream.shutdown(Shutdown::Read);
        }
        Ok(())
    }
}
