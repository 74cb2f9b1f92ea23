use super::gateway::{GatewayConfig, GatewayProcess};
use super::store::{AddressMap, PlatformStore};
use socket2::SockRef;
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// Bytes that a path forwards at a time.
const CHUNK_BYTES: usize = 4_096;
/// Receive buffer of a path: a sender notices a full link after about as many bytes.
const WINDOW_BYTES: usize = 64 * 1_024;
/// Time after which bytes that may be the beginning of an address are forwarded.
const HOLD_TIME: Duration = Duration::from_millis(10);

/// The outgoing link of a gateway, shared by all connections to it.
#[derive(Debug)]
struct NarrowLink {
    bytes_per_second: u64,
    /// When the bytes that were accepted so far have been sent.
    free_at: Mutex<Instant>,
}

impl NarrowLink {
    /// Returns when the link has sent `bytes` more.
    fn transmit(&self, bytes: usize) {
        let time = Duration::from_secs_f64(bytes as f64 / self.bytes_per_second as f64);
        let sent_at = {
            let mut free_at = self.free_at.lock().unwrap_or_else(PoisonError::into_inner);
            *free_at = (*free_at).max(Instant::now()) + time;
            *free_at
        };
        thread::sleep(sent_at.saturating_duration_since(Instant::now()));
    }
}

/// A gateway of the network, as the paths see it.
#[derive(Clone, Debug)]
struct Node {
    peers: SocketAddr,
    link: Arc<NarrowLink>,
    /// The paths that it uses to the others, by their addresses.
    paths: AddressMap,
}

/// Gateways that reach each other over links of limited bandwidth. Each has a path of its own to each
/// other one, and the addresses in responses of the store and of gateways are replaced by paths.
#[derive(Debug)]
pub struct NarrowNetwork {
    bytes_per_second: u64,
    nodes: Vec<Node>,
}

impl NarrowNetwork {
    /// Creates a network in which each gateway sends `bytes_per_second` to all others together.
    pub fn new(bytes_per_second: u64) -> NarrowNetwork {
        NarrowNetwork { bytes_per_second, nodes: Vec::new() }
    }

    /// Starts a gateway that reads the store directly and the other gateways through the network.
    pub fn start_gateway(
        &mut self,
        store: &PlatformStore,
        cfg: &GatewayConfig,
    ) -> io::Result<GatewayProcess> {
        let paths = AddressMap::default();
        for node in &self.nodes {
            start_path(node, &paths)?;
        }
        let view = store.start_view(paths.clone())?;
        let gateway = GatewayProcess::start(view, cfg)?;
        let free_at = Mutex::new(Instant::now());
        let link = Arc::new(NarrowLink { bytes_per_second: self.bytes_per_second, free_at });
        let started = Node { peers: gateway.peers, link, paths };
        for node in &self.nodes {
            start_path(&started, &node.paths)?;
        }
        self.nodes.push(started);
        Ok(gateway)
    }
}

/// Starts a path to `target` for the gateway that uses `paths`.
fn start_path(target: &Node, paths: &AddressMap) -> io::Result<()> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    SockRef::from(&listener).set_recv_buffer_size(WINDOW_BYTES)?;
    paths.insert(target.peers, listener.local_addr()?);
    let (target, paths) = (target.clone(), paths.clone());
    thread::spawn(move || {
        for caller in listener.incoming().flatten() {
            let (target, paths) = (target.clone(), paths.clone());
            // An I/O error ends only the threads of this connection.
            thread::spawn(move || forward(&caller, &target, &paths).unwrap_or_default());
        }
    });
    Ok(())
}

fn forward(caller: &TcpStream, target: &Node, paths: &AddressMap) -> io::Result<()> {
    let upstream = TcpStream::connect(target.peers)?;
    SockRef::from(&upstream).set_recv_buffer_size(WINDOW_BYTES)?;
    caller.set_nodelay(true)?;
    upstream.set_nodelay(true)?;
    let (mut request_from, mut request_to) = (caller.try_clone()?, upstream.try_clone()?);
    thread::spawn(move || {
        // The end of the requests ends the connection, whatever the reason.
        let _ = io::copy(&mut request_from, &mut request_to);
        let _ = request_to.shutdown(Shutdown::Both);
    });
    let result = forward_responses(&upstream, caller, target, paths);
    // The caller may have closed its side already.
    let _ = caller.shutdown(Shutdown::Both);
    result
}

/// Copies responses at the speed of the link, with the addresses of gateways replaced.
fn forward_responses(
    mut from: &TcpStream,
    mut to: &TcpStream,
    target: &Node,
    paths: &AddressMap,
) -> io::Result<()> {
    from.set_read_timeout(Some(HOLD_TIME))?;
    let mut buf = [0; CHUNK_BYTES];
    let mut held = Vec::new();
    loop {
        let len = match from.read(&mut buf) {
            Ok(0) => return to.write_all(&held),
            Ok(len) => len,
            Err(e) if matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) => {
                to.write_all(&held)?;
                held.clear();
                continue;
            }
            Err(e) => return Err(e),
        };
        target.link.transmit(len);
        held.extend_from_slice(&buf[..len]);
        paths.replace_in(&mut held);
        let complete = held.len() - paths.possible_prefix(&held);
        to.write_all(&held[..complete])?;
        held.drain(..complete);
    }
}
