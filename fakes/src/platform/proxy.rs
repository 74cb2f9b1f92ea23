use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU8, Ordering};
use std::thread;
use std::time::Duration;

/// What a proxy does to the connections through it.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Link {
    /// It passes bytes on.
    #[default]
    Healthy,
    /// It passes bytes on late.
    Slow,
    /// It closes connections.
    Reset,
    /// It passes no bytes back to the caller.
    OneWay,
    /// It passes no bytes on.
    Silent,
}

const LINKS: [Link; 5] = [Link::Healthy, Link::Slow, Link::Reset, Link::OneWay, Link::Silent];
/// How long bytes wait on a slow link.
const DELAY: Duration = Duration::from_millis(60);
/// How often a silent link looks whether it is sound again.
const LOOK: Duration = Duration::from_millis(10);

/// A proxy on loopback between the gateway and another process.
#[derive(Clone, Debug)]
pub struct Proxy {
    /// Its address.
    pub address: SocketAddr,
    link: Arc<AtomicU8>,
}

impl Proxy {
    /// Starts a proxy to an address.
    pub fn start(target: SocketAddr) -> io::Result<Proxy> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let proxy = Proxy { address: listener.local_addr()?, link: Arc::default() };
        let served = proxy.clone();
        thread::spawn(move || {
            for caller in listener.incoming().flatten() {
                let proxy = served.clone();
                // A broken connection ends its threads and nothing else.
                thread::spawn(move || proxy.join(&caller, target).unwrap_or_default());
            }
        });
        Ok(proxy)
    }

    /// Changes what it does from now on.
    pub fn set(&self, link: Link) {
        let at = LINKS.iter().position(|l| *l == link).unwrap_or(0);
        self.link.store(at as u8, Ordering::SeqCst);
    }

    fn link(&self) -> Link {
        LINKS[usize::from(self.link.load(Ordering::SeqCst))]
    }

    fn join(&self, caller: &TcpStream, target: SocketAddr) -> io::Result<()> {
        let callee = TcpStream::connect(target)?;
        let (back_from, back_to) = (callee.try_clone()?, caller.try_clone()?);
        let back = self.clone();
        thread::spawn(move || back.pump(back_from, back_to, true).unwrap_or_default());
        self.pump(caller.try_clone()?, callee, false)
    }

    fn pump(&self, mut from: TcpStream, mut to: TcpStream, is_back: bool) -> io::Result<()> {
        let mut buf = [0; 8_192];
        loop {
            let len = from.read(&mut buf)?;
            while self.link() == Link::Silent || (is_back && self.link() == Link::OneWay) {
                thread::sleep(LOOK);
            }
            if len == 0 || self.link() == Link::Reset {
                from.shutdown(Shutdown::Both).and(to.shutdown(Shutdown::Both))?;
                return Ok(());
            }
            if self.link() == Link::Slow {
                thread::sleep(DELAY);
            }
            to.write_all(&buf[..len])?;
        }
    }
}
