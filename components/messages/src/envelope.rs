//! Packets as authenticated bytes: the encoded packet, then its tag.

use crate::cluster::Packet;
use hmac::{Hmac, Mac};
use sha2::Sha256;
use snafu::{OptionExt, ResultExt, Snafu, ensure};

/// Bytes of the tag, the first half of an HMAC-SHA256.
const TAG_BYTES: usize = 16;

/// Bytes that are no packet of this cluster.
#[derive(Debug, Snafu)]
pub enum PacketError {
    /// There is no room for a tag.
    #[snafu(display("a packet of {len} bytes has no tag"))]
    TooShort {
        /// The length.
        len: usize,
    },
    /// The sender does not have the key, or the packet was changed.
    #[snafu(display("the tag does not match"))]
    TagMismatch,
    /// The sender has the key and another version of the schema.
    #[snafu(display("the packet does not decode: {source}"))]
    Decode {
        /// The failure.
        source: rmp_serde::decode::Error,
    },
}

/// Encodes a packet and signs it with the key.
pub fn encode_signed(key: &[u8], packet: &Packet) -> Result<Vec<u8>, rmp_serde::encode::Error> {
    let mut buf = rmp_serde::to_vec(packet)?;
    let tag = mac(key, &buf).finalize().into_bytes();
    buf.extend_from_slice(&tag[..TAG_BYTES]);
    Ok(buf)
}

/// Checks the tag of a packet and decodes it.
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
