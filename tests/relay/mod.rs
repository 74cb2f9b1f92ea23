//! TCP and UDP relays that simulate a network partition between two groups of processes.

use std::collections::BTreeSet;
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;

const BIND_ATTEMPTS: usize = 16;

/// A partition that separates the isolated processes from all others while it is active.
#[derive(Clone, Default)]
pub struct Partition {
    state: Arc<Mutex<State>>,
}

#[derive(Default)]
struct State {
    isolated: BTreeSet<SocketAddr>,
    is_active: bool,
    /// Both sides of each connection that crosses the partition.
    crossing: Vec<TcpStream>,
}

impl Partition {
    /// Adds a process to the isolated ones.
    pub fn isolate(&self, process: SocketAddr) {
        self.lock().isolated.insert(process);
    }

    /// Starts the partition and closes the open connections that cross it.
    pub fn start(&self) {
        let mut state = self.lock();
        state.is_active = true;
        for stream in state.crossing.drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    pub fn end(&self) {
        self.lock().is_active = false;
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap()
    }

    fn blocks(&self, from: SocketAddr, to: SocketAddr) -> bool {
        let state = self.lock();
        state.is_active && state.isolated.contains(&from) != state.isolated.contains(&to)
    }
}

/// Forwards TCP connections and UDP packets to one process. Other processes know the process by the
/// address of its relay.
pub struct Relay {
    /// The address that TCP and UDP share.
    pub address: SocketAddr,
    target: Arc<Mutex<Option<SocketAddr>>>,
}

impl Relay {
    /// Starts a relay. `tcp_from_isolated` says whether its TCP clients are isolated processes; the
    /// sender address of a connection does not tell.
    pub fn start(partition: &Partition, tcp_from_isolated: bool) -> io::Result<Relay> {
        let (tcp, udp) = bind_same_port()?;
        let address = tcp.local_addr()?;
        let target = Arc::new(Mutex::new(None));
        let (udp_partition, udp_target) = (partition.clone(), Arc::clone(&target));
        thread::spawn(move || relay_packets(&udp, &udp_partition, &udp_target));
        let (tcp_partition, tcp_target) = (partition.clone(), Arc::clone(&target));
        thread::spawn(move || relay_streams(&tcp, &tcp_partition, &tcp_target, tcp_from_isolated));
        Ok(Relay { address, target })
    }

    /// Sets the address of the process. Before the first call, packets and connections are dropped.
    pub fn set_target(&self, process: SocketAddr) {
        *self.target.lock().unwrap() = Some(process);
    }
}

fn bind_same_port() -> io::Result<(TcpListener, UdpSocket)> {
    let mut last = io::Error::other("no port is free for both TCP and UDP");
    for _ in 0..BIND_ATTEMPTS {
        let tcp = TcpListener::bind("127.0.0.1:0")?;
        match UdpSocket::bind(tcp.local_addr()?) {
            Ok(udp) => return Ok((tcp, udp)),
            Err(e) => last = e,
        }
    }
    Err(last)
}

fn relay_packets(socket: &UdpSocket, partition: &Partition, target: &Mutex<Option<SocketAddr>>) {
    let mut buf = [0u8; 2_048];
    loop {
        // An error here belongs to an earlier packet whose target did not listen.
        let Ok((len, from)) = socket.recv_from(&mut buf) else { continue };
        let Some(to) = *target.lock().unwrap() else { continue };
        if !partition.blocks(from, to) {
            let _ = socket.send_to(&buf[..len], to);
        }
    }
}

fn relay_streams(
    listener: &TcpListener,
    partition: &Partition,
    target: &Mutex<Option<SocketAddr>>,
    from_isolated: bool,
) {
    for client in listener.incoming() {
        let (Ok(client), Some(to)) = (client, *target.lock().unwrap()) else { continue };
        let mut state = partition.lock();
        let crosses = from_isolated != state.isolated.contains(&to);
        if state.is_active && crosses {
            continue;
        }
        let Ok(server) = TcpStream::connect(to) else { continue };
        if crosses {
            state.crossing.extend([client.try_clone().unwrap(), server.try_clone().unwrap()]);
        }
        drop(state);
        spawn_copy(client.try_clone().unwrap(), server.try_clone().unwrap());
        spawn_copy(server, client);
    }
}

fn spawn_copy(mut from: TcpStream, mut to: TcpStream) {
    thread::spawn(move || {
        let mut buf = [0u8; 16_384];
        while let Ok(len) = from.read(&mut buf) {
            if len == 0 || to.write_all(&buf[..len]).is_err() {
                break;
            }
        }
        let _ = to.shutdown(Shutdown::Write);
    });
}
