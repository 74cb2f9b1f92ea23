use sha2::{Digest, Sha256};

/// Returns the SHA-256 of `text` as 64 hexadecimal digits.
pub fn sha256_hex(text: &str) -> String {
    let digest = Sha256::digest(text.as_bytes());
    digest.iter().map(|byte| format!("{byte:02x}")).collect()
}
