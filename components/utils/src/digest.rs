use sha2::{Digest, Sha256};

/// The SHA-256 digest of `text` as 64 lower-case hexadecimal digits.
pub fn sha256_hex(text: &str) -> String {
    let digest = Sha256::digest(text.as_bytes());
    digest.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// The first 64 bits of the SHA-256 digest of `name`, big-endian; the same on every instance.
pub fn hash_name(name: &str) -> u64 {
    let digest = Sha256::digest(name.as_bytes());
    digest.iter().take(8).fold(0, |hash, byte| hash << 8 | u64::from(*byte))
}
