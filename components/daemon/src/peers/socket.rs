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
const MAX_PACKET_BYTES: usize = 2_048;

/// Binds the UDP socket for packets of other daemons.
pub fn open_socket(address: SocketAddr) -> io::Result<UdpSocket> {
    let socket = Socket::new(Domain::for_address(address), Type::DGRAM, Some(Protocol::UDP))?;
    socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES)?;
    socket.bind(&address.into())?;
    Ok(UdpSocket::from(socket))
}

/// Sends a packet; failures are only logged, since the protocol tolerates lost packets.
pub(super) fn send(peers: &Peers, to: SocketAddr, packet: &Packet) {
    let buf = match encode_signed(peer_key(&peers.tables), packet) {
        Ok(buf) => buf,
        Err(e) => {
            log::error!("cannot encode a packet to {to}: {e}");
            return;
        }
    };
    if let Err(e) = peers.socket.send_to(&buf, to) {
        log::debug!("cannot send a packet to {to}: {e}");
    }
}

/// Receives packets and drives the ticks of the cluster until the daemon has left.
pub(super) fn receive(peers: &Peers) {
    let mut next_tick = Instant::now();
    let mut buf = [0u8; MAX_PACKET_BYTES];
    while !peers.closed.load(Ordering::Relaxed) {
        let now = Instant::now();
        if now >= next_tick {
            next_tick = now + TICK_INTERVAL;
            peers.handle(Event::Tick);
            peers.update_store_reachable();
            continue;
        }
        if let Err(e) = peers.socket.set_read_timeout(Some(next_tick - now)) {
            log::error!(
                "cannot set the read timeout of the socket for other daemons; no more packets are \
                 received: {e}"
            );
            return;
        }
        // An error is a timeout, or an ICMP rejection of an earlier packet.
        if let Ok((len, from)) = peers.socket.recv_from(&mut buf) {
            handle_packet(peers, from, &buf[..len]);
        }
    }
}

fn handle_packet(peers: &Peers, from: SocketAddr, buf: &[u8]) {
    match decode_signed(peer_key(&peers.tables), buf) {
        Ok(packet) => peers.handle(Event::Packet { from, packet }),
        Err(PacketError::Decode { source }) => {
            log::warn!("cannot decode a packet from {from}: {source}")
        }
        Err(e) => {
            log::debug!("packet from {from} rejected: {e}");
            peers.tables.metrics.increment("unknown_senders");
        }
    }
}

fn peer_key(tables: &Tables) -> &[u8] {
    tables.cfg.peer_key.reveal().as_bytes()
}
