//! Authenticated encoding of packets: the MessagePack body, followed by its tag.

use crate::cluster::Packet;
use hmac::{Hmac, Mac};
use sha2::Sha256;
use snafu::{OptionExt, ResultExt, Snafu, ensure};

/// Length of the tag: an HMAC-SHA256 truncated to its first half.
const TAG_BYTES: usize = 16;

/// A datagram that is not a packet of this cluster.
#[derive(Debug, Snafu)]
pub enum PacketError {
    /// The datagram is shorter than a tag.
    #[snafu(display(
        "packet too short for its authentication tag: got {len} of at least {TAG_BYTES} bytes"
    ))]
    TooShort {
        /// Length of the datagram in bytes.
        len: usize,
    },
    /// The sender does not have the key, or the packet was altered in transit.
    #[snafu(display("authentication tag does not match: altered packet or another peer key"))]
    TagMismatch,
    /// The tag is valid, but the body does not decode, as with a sender of another schema version.
    #[snafu(display(
        "cannot decode an authenticated packet, which may be of another schema version: {source}"
    ))]
    Decode {
        /// The decoding error.
        source: rmp_serde::decode::Error,
    },
}

/// Encodes a packet and appends the tag that is computed with `key`.
pub fn encode_signed(key: &[u8], packet: &Packet) -> Result<Vec<u8>, rmp_serde::encode::Error> {
    let mut buf = rmp_serde::to_vec(packet)?;
    let tag = mac(key, &buf).finalize().into_bytes();
    buf.extend_from_slice(&tag[..TAG_BYTES]);
    Ok(buf)
}

/// Verifies the tag of a packet, then decodes its body.
pub fn decode_signed(key: &[u8], buf: &[u8]) -> Result<Packet, PacketError> {
    let len = buf.len();
    let end = len.checked_sub(TAG_BYTES).context(TooShortSnafu { len })?;
    let (body, tag) = buf.split_at(end);
    ensure!(mac(key, body).verify_truncated_left(tag).is_ok(), TagMismatchSnafu);
    rmp_serde::from_slice(body).context(DecodeSnafu)
}

fn mac(key: &[u8], body: &[u8]) -> Hmac<Sha256> {
    let mut mac = Hmac::<Sha256>::new_from_slice(key).expect("HMAC takes a key of any length");
    mac.update(body);
    mac
}
