//! A relay in front of one process that can be switched off for packets that cross a cut.

use std::collections::BTreeSet;
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;

const TRIES: usize = 16;

/// Which processes are cut off from all others.
#[derive(Clone, Default)]
pub struct Cut {
    state: Arc<Mutex<State>>,
}

#[derive(Default)]
struct State {
    inside: BTreeSet<SocketAddr>,
    is_on: bool,
    crossing: Vec<TcpStream>,
}

impl Cut {
    /// Counts a process among those that a cut separates from the others.
    pub fn add(&self, process: SocketAddr) {
        self.lock().inside.insert(process);
    }

    /// Cuts the processes off, open connections too.
    pub fn open(&self) {
        let mut state = self.lock();
        state.is_on = true;
        for stream in state.crossing.drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Ends the cut.
    pub fn heal(&self) {
        self.lock().is_on = false;
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap()
    }

    fn blocks(&self, from: SocketAddr, to: SocketAddr) -> bool {
        let state = self.lock();
        state.is_on && state.inside.contains(&from) != state.inside.contains(&to)
    }
}

/// The address that the others know of a process.
pub struct Relay {
    /// The address, for TCP and UDP.
    pub address: SocketAddr,
    target: Arc<Mutex<Option<SocketAddr>>>,
}

impl Relay {
    /// Opens a relay; connections count as coming from outside the cut, or from inside.
    pub fn start(cut: &Cut, tcp_from_inside: bool) -> io::Result<Relay> {
        let (tcp, udp) = open()?;
        let address = tcp.local_addr()?;
        let target = Arc::new(Mutex::new(None));
        let (udp_cut, udp_target) = (cut.clone(), Arc::clone(&target));
        thread::spawn(move || relay_packets(&udp, &udp_cut, &udp_target));
        let (tcp_cut, tcp_target) = (cut.clone(), Arc::clone(&target));
        thread::spawn(move || relay_streams(&tcp, &tcp_cut, &tcp_target, tcp_from_inside));
        Ok(Relay { address, target })
    }

    /// Says where the process listens.
    pub fn point_to(&self, process: SocketAddr) {
        *self.target.lock().unwrap() = Some(process);
    }
}

fn open() -> io::Result<(TcpListener, UdpSocket)> {
    let mut last = io::Error::other("no port");
    for _ in 0..TRIES {
        let tcp = TcpListener::bind("127.0.0.1:0")?;
        match UdpSocket::bind(tcp.local_addr()?) {
            Ok(udp) => return Ok((tcp, udp)),
            Err(e) => last = e,
        }
    }
    Err(last)
}

fn relay_packets(socket: &UdpSocket, cut: &Cut, target: &Mutex<Option<SocketAddr>>) {
    let mut buf = [0u8; 2_048];
    loop {
        // A failure tells of an earlier packet that was refused.
        let Ok((len, from)) = socket.recv_from(&mut buf) else { continue };
        let Some(to) = *target.lock().unwrap() else { continue };
        if !cut.blocks(from, to) {
            let _ = socket.send_to(&buf[..len], to);
        }
    }
}

fn relay_streams(
    listener: &TcpListener,
    cut: &Cut,
    target: &Mutex<Option<SocketAddr>>,
    from_inside: bool,
) {
    for client in listener.incoming() {
        let (Ok(client), Some(to)) = (client, *target.lock().unwrap()) else { continue };
        let mut state = cut.lock();
        let crosses = from_inside != state.inside.contains(&to);
        if state.is_on && crosses {
            continue;
        }
        let Ok(server) = TcpStream::connect(to) else { continue };
        if crosses {
            state.crossing.extend([client.try_clone().unwrap(), server.try_clone().unwrap()]);
        }
        drop(state);
        copy(client.try_clone().unwrap(), server.try_clone().unwrap());
        copy(server, client);
    }
}

fn copy(mut from: TcpStream, mut to: TcpStream) {
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
