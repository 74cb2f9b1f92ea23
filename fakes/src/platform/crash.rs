use super::crashing_body::CrashStage;
use socket2::SockRef;
use std::io::{self, ErrorKind};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// The pause before a port that is still in use is bound again.
const BIND_RETRY_INTERVAL: Duration = Duration::from_millis(10);

/// The prompt part that crashes an endpoint, and how.
#[derive(Clone, Debug, PartialEq)]
pub struct CrashingPart {
    /// The id of the prompt part, as written in requests.
    pub id: String,
    /// When it crashes.
    pub stage: CrashStage,
    /// The time from a crash to the restart.
    pub restart_after: Duration,
}

#[derive(Debug, Default)]
struct Sockets {
    listener: Option<TcpListener>,
    connections: Vec<TcpStream>,
    crashes: Vec<Instant>,
}

/// The sockets of a process that can crash: all are closed at once, and the port refuses
/// connections until the restart.
#[derive(Debug, Default)]
pub(super) struct CrashableSockets(Mutex<Sockets>);

impl CrashableSockets {
    fn lock(&self) -> MutexGuard<'_, Sockets> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// When the process crashed.
    pub(super) fn crashes(&self) -> Vec<Instant> {
        self.lock().crashes.clone()
    }

    /// Accepts connections until the process crashes.
    pub(super) fn accept(
        &self,
        listener: TcpListener,
        mut serve: impl FnMut(TcpStream),
    ) -> io::Result<()> {
        self.lock().listener = Some(listener.try_clone()?);
        while let Ok((stream, _)) = listener.accept() {
            let mut sockets = self.lock();
            if sockets.listener.is_none() {
                break;
            }
            sockets.connections.push(stream.try_clone()?);
            drop(sockets);
            serve(stream);
        }
        Ok(())
    }

    /// Closes all sockets. Returns when, or `None` if the process had crashed already.
    pub(super) fn crash(&self) -> Option<Instant> {
        let mut sockets = self.lock();
        let listener = sockets.listener.take()?;
        let now = Instant::now();
        sockets.crashes.push(now);
        // The socket may be closed already; the accepting thread then ends by itself.
        let _ = SockRef::from(&listener).shutdown(Shutdown::Both);
        for stream in sockets.connections.drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
        Some(now)
    }
}

/// Binds the port of a crashed process again.
pub(super) fn rebind(address: SocketAddr) -> io::Result<TcpListener> {
    loop {
        match TcpListener::bind(address) {
            Err(e) if e.kind() == ErrorKind::AddrInUse => thread::sleep(BIND_RETRY_INTERVAL),
            bound => return bound,
        }
    }
}
