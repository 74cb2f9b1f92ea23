use super::Peers;
use crate::tables::Tables;
use decision::cluster::Event;
use messages::cluster::Packet;
use messages::{PacketError, decode_signed, encode_signed};
use socket2::{Domain, Protocol, Socket, Type};
use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

const TICK_INTERVAL: Duration = Duration::from_millis(50);
const RECEIVE_BUFFER_BYTES: usize = 1 << 20;
const PACKET_BYTES: usize = 2_048;

/// Opens the socket for the other daemons.
pub fn open_socket(address: SocketAddr) -> io::Result<UdpSocket> {
    let socket = Socket::new(Domain::for_address(address), Type::DGRAM, Some(Protocol::UDP))?;
    socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES)?;
    socket.bind(&address.into())?;
    Ok(UdpSocket::from(socket))
}

/// Sends a packet; one that is lost is not missed.
pub(super) fn send(peers: &Peers, to: SocketAddr, packet: &Packet) {
    let buf = match encode_signed(key(&peers.tables), packet) {
        Ok(buf) => buf,
        Err(e) => {
            log::error!("packet to {to}: {e}");
            return;
        }
    };
    if let Err(e) = peers.socket.send_to(&buf, to) {
        log::debug!("packet to {to}: {e}");
    }
}

/// Takes in packets and ticks until the daemon has left.
pub(super) fn receive(peers: &Peers) {
    let mut next_tick = Instant::now();
    let mut buf = [0u8; PACKET_BYTES];
    while !peers.closed.load(Ordering::Relaxed) {
        let now = Instant::now();
        if now >= next_tick {
            next_tick = now + TICK_INTERVAL;
            peers.tell(Event::Tick);
            peers.update_store();
            continue;
        }
        if let Err(e) = peers.socket.set_read_timeout(Some(next_tick - now)) {
            log::error!("socket for other daemons: {e}");
            return;
        }
        // A failure here is the end of the wait, or a refusal of an earlier packet.
        if let Ok((len, from)) = peers.socket.recv_from(&mut buf) {
            take(peers, from, &buf[..len]);
        }
    }
}

fn take(peers: &Peers, from: SocketAddr, buf: &[u8]) {
    match decode_signed(key(&peers.tables), buf) {
        Ok(packet) => peers.tell(Event::Packet { from, packet }),
        Err(PacketError::Decode { source }) => log::warn!("packet from {from}: {source}"),
        Err(e) => {
            log::debug!("packet from {from}: {e}");
            peers.tables.metrics.increment("unknown_senders");
        }
    }
}

fn key(tables: &Tables) -> &[u8] {
    tables.cfg.peer_key.reveal().as_bytes()
}
