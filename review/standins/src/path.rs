//! The network path from the machines to the store. One of its open channels can go silent: it stays
//! open, and nothing more is delivered on it in either direction. New channels work.

use crate::now_ms;
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;

/// A channel through the path.
#[derive(Clone, Debug)]
struct Channel {
    /// The first line of the last call on it, and when it was forwarded.
    last_call: Arc<Mutex<(String, u64)>>,
    is_silent: Arc<AtomicBool>,
    is_open: Arc<AtomicBool>,
}

/// A path to the store; clones share its state.
#[derive(Clone, Debug)]
pub struct Path {
    pub address: SocketAddr,
    channels: Arc<Mutex<Vec<Channel>>>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Path {
    pub fn start(target: SocketAddr) -> io::Result<Path> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let path = Path { address: listener.local_addr()?, channels: Arc::default() };
        let served = path.clone();
        thread::spawn(move || {
            for near in listener.incoming().flatten() {
                // A channel that cannot be opened is closed.
                let _ = served.open(near, target);
            }
        });
        Ok(path)
    }

    fn open(&self, near: TcpStream, target: SocketAddr) -> io::Result<()> {
        let far = TcpStream::connect(target)?;
        near.set_nodelay(true)?;
        far.set_nodelay(true)?;
        let channel = Channel {
            last_call: Arc::default(),
            is_silent: Arc::default(),
            is_open: Arc::new(AtomicBool::new(true)),
        };
        lock(&self.channels).push(channel.clone());
        let (near_writer, far_writer) = (near.try_clone()?, far.try_clone()?);
        let back = channel.clone();
        thread::spawn(move || forward(near, far_writer, &channel, true));
        thread::spawn(move || forward(far, near_writer, &back, false));
        Ok(())
    }

    /// Silences the open channel on which a call that begins with `line` was forwarded last, at most
    /// `max_age_ms` ago. Returns that line, or `None` if there is none at present.
    pub fn silence(&self, line: &str, max_age_ms: u64) -> Option<String> {
        let channels = lock(&self.channels);
        let open = channels.iter().filter(|c| c.is_open.load(Ordering::SeqCst));
        for channel in open {
            let (call, at) = lock(&channel.last_call).clone();
            if call.starts_with(line) && now_ms() - at <= max_age_ms {
                channel.is_silent.store(true, Ordering::SeqCst);
                return Some(call);
            }
        }
        None
    }
}

/// Forwards bytes until the channel ends. Those of a silent channel are dropped, its end too.
fn forward(mut from: TcpStream, mut to: TcpStream, channel: &Channel, has_calls: bool) {
    let mut buf = [0; 16 * 1024];
    loop {
        let len = from.read(&mut buf).unwrap_or(0);
        if channel.is_silent.load(Ordering::SeqCst) {
            if len == 0 {
                return;
            }
            continue;
        }
        if len == 0 || to.write_all(&buf[..len]).is_err() {
            break;
        }
        if has_calls {
            let text = String::from_utf8_lossy(&buf[..len]);
            let line = text.lines().next().unwrap_or("").to_owned();
            *lock(&channel.last_call) = (line, now_ms());
        }
    }
    channel.is_open.store(false, Ordering::SeqCst);
    let _ = from.shutdown(Shutdown::Both);
    let _ = to.shutdown(Shutdown::Both);
}
