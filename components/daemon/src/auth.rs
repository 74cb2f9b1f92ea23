use hmac::{Hmac, Mac};
use sha2::Sha256;

/// The header that carries the MAC of a request between daemons.
pub const MAC_HEADER: &str = "x-peer-code";

/// Computes the HMAC-SHA256 of the path, a line feed and the body under the peer key, as lower-case
/// hex digits.
pub fn mac_hex(key: &str, path: &str, body: &[u8]) -> String {
    let digest = start_mac(key, path, body).finalize().into_bytes();
    digest.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Verifies the result of `mac_hex` in constant time; text that is not hexadecimal never matches.
pub fn verify_mac(key: &str, path: &str, body: &[u8], hex: &str) -> bool {
    if !hex.len().is_multiple_of(2) {
        return false;
    }
    let bytes: Option<Vec<u8>> = (0..hex.len() / 2)
        .map(|i| u8::from_str_radix(hex.get(2 * i..2 * i + 2)?, 16).ok())
        .collect();
    bytes.is_some_and(|bytes| start_mac(key, path, body).verify_slice(&bytes).is_ok())
}

fn start_mac(key: &str, path: &str, body: &[u8]) -> Hmac<Sha256> {
    let mut mac =
        Hmac::<Sha256>::new_from_slice(key.as_bytes()).expect("HMAC accepts keys of any length");
    mac.update(path.as_bytes());
    mac.update(b"\n");
    mac.update(body);
    mac
}
