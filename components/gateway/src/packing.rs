use miniz_oxide::deflate::compress_to_vec;
use miniz_oxide::inflate::decompress_to_vec_with_limit;
use serde::Serialize;
use serde::de::DeserializeOwned;
use sha2::{Digest, Sha256};

/// Deflate level: most of the reduction for little processor time.
const DEFLATE_LEVEL: u8 = 3;
/// Maximum size of a decompressed value.
const MAX_UNPACKED_BYTES: usize = 8 << 20;

/// Encodes a large value for other daemons: MessagePack with the names of fields, deflated.
pub(crate) fn pack<T: Serialize + ?Sized>(value: &T) -> Result<Vec<u8>, String> {
    let encoded = rmp_serde::to_vec_named(value).map_err(|e| e.to_string())?;
    Ok(compress_to_vec(&encoded, DEFLATE_LEVEL))
}

/// Decodes a value that another daemon packed, with or without the names of fields.
pub(crate) fn unpack<T: DeserializeOwned>(packed: &[u8]) -> Result<T, String> {
    let encoded = decompress_to_vec_with_limit(packed, MAX_UNPACKED_BYTES)
        .map_err(|e| format!("value of a peer cannot be decompressed: {e}"))?;
    rmp_serde::from_slice(&encoded).map_err(|e| format!("value of a peer cannot be decoded: {e}"))
}

/// The first 64 bits of the SHA-256 digest, big-endian.
pub(crate) fn digest_of_bytes(bytes: &[u8]) -> u64 {
    let digest = Sha256::digest(bytes);
    digest.iter().take(8).fold(0, |digest, byte| digest << 8 | u64::from(*byte))
}
