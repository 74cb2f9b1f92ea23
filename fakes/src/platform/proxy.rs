use super::closing::{close, set_reset_on_close};
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU8, Ordering};
use std::thread;
use std::time::Duration;

/// How a proxy treats its connections.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Link {
    /// Forwards bytes.
    #[default]
    Healthy,
    /// Forwards each read after `SLOW_LINK_DELAY`.
    Slow,
    /// Resets a connection at its next bytes.
    Reset,
    /// Forwards bytes to the target only; those to the caller are held back.
    OneWay,
    /// Holds back bytes in both directions.
    Silent,
}

const LINKS: [Link; 5] = [Link::Healthy, Link::Slow, Link::Reset, Link::OneWay, Link::Silent];
/// The delay of each read on a slow link.
const SLOW_LINK_DELAY: Duration = Duration::from_millis(60);
/// How often a link that holds back bytes checks whether it may forward them.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// A TCP proxy on loopback between a gateway and another process, which injects network faults.
#[derive(Clone, Debug)]
pub struct Proxy {
    /// The address that it listens on.
    pub address: SocketAddr,
    link: Arc<AtomicU8>,
}

impl Proxy {
    /// Starts a proxy that connects to `target`.
    pub fn start(target: SocketAddr) -> io::Result<Proxy> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let proxy = Proxy { address: listener.local_addr()?, link: Arc::default() };
        let served = proxy.clone();
        thread::spawn(move || {
            for caller in listener.incoming().flatten() {
                let proxy = served.clone();
                // An I/O error ends only the threads of this connection.
                thread::spawn(move || proxy.forward(&caller, target).unwrap_or_default());
            }
        });
        Ok(proxy)
    }

    /// Changes how it treats all connections, open ones included.
    pub fn set(&self, link: Link) {
        let at = LINKS.iter().position(|l| *l == link).unwrap_or(0);
        self.link.store(at as u8, Ordering::SeqCst);
    }

    fn link(&self) -> Link {
        LINKS[usize::from(self.link.load(Ordering::SeqCst))]
    }

    fn forward(&self, caller: &TcpStream, target: SocketAddr) -> io::Result<()> {
        let upstream = TcpStream::connect(target)?;
        let (response_from, response_to) = (upstream.try_clone()?, caller.try_clone()?);
        let responses = self.clone();
        thread::spawn(move || responses.copy(response_from, response_to, true).unwrap_or_default());
        self.copy(caller.try_clone()?, upstream, false)
    }

    fn copy(&self, mut from: TcpStream, mut to: TcpStream, is_response: bool) -> io::Result<()> {
        let mut buf = [0; 8_192];
        loop {
            let read = from.read(&mut buf);
            while self.link() == Link::Silent || (is_response && self.link() == Link::OneWay) {
                thread::sleep(POLL_INTERVAL);
            }
            let len = match read {
                Ok(len) if self.link() != Link::Reset => len,
                _ => return reset(&from).and(reset(&to)),
            };
            if len == 0 {
                return close(&from).and(close(&to));
            }
            if self.link() == Link::Slow {
                thread::sleep(SLOW_LINK_DELAY);
            }
            to.write_all(&buf[..len])?;
        }
    }
}

/// Resets a connection once the other direction has ended too, which this wakes.
fn reset(stream: &TcpStream) -> io::Result<()> {
    set_reset_on_close(stream)?;
    stream.shutdown(Shutdown::Read)
}
