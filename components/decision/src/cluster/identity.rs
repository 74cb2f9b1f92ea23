use messages::cluster::Id;
use rand::RngExt;
use rand_pcg::Pcg64;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::fmt;

/// Random identity of one incarnation of a daemon; a restarted daemon gets a new one.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct Identity(pub u128);

impl Identity {
    /// Generates an identity from 128 random bits.
    pub fn random(rng: &mut Pcg64) -> Identity {
        Identity(rng.random())
    }
}

impl fmt::Display for Identity {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl From<&Id> for Identity {
    fn from(id: &Id) -> Identity {
        Identity(u128_from_id(id))
    }
}

impl From<Identity> for Id {
    fn from(identity: Identity) -> Id {
        id_from_u128(identity.0)
    }
}

pub(super) fn u128_from_id(id: &Id) -> u128 {
    (u128::from(id.high) << 64) | u128::from(id.low)
}

pub(super) fn id_from_u128(number: u128) -> Id {
    Id { high: (number >> 64) as u64, low: number as u64 }
}

/// First 128 bits of the SHA-256 of `bytes`.
pub(super) fn digest(bytes: &[u8]) -> u128 {
    let digest = Sha256::digest(bytes);
    let first: [u8; 16] = std::array::from_fn(|i| digest[i]);
    u128::from_be_bytes(first)
}

/// Hashes two numbers into one; the result is the same in every process.
pub(super) fn mix(a: u64, b: u64) -> u64 {
    let mut x = a ^ b.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// Hashes an identity together with `subject`.
pub(super) fn mix_identity(identity: Identity, subject: u64) -> u64 {
    mix(mix(identity.0 as u64, subject), (identity.0 >> 64) as u64)
}
