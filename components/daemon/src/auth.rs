use hmac::{Hmac, Mac};
use sha2::Sha256;

/// The header that carries the code of a message between daemons.
pub const CODE_HEADER: &str = "x-peer-code";

/// Returns the code of a message between daemons, as hexadecimal digits.
pub fn code(key: &str, path: &str, body: &[u8]) -> String {
    let digest = mac(key, path, body).finalize().into_bytes();
    digest.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Returns whether the code belongs to the message.
pub fn is_code(key: &str, path: &str, body: &[u8], code: &str) -> bool {
    if !code.len().is_multiple_of(2) {
        return false;
    }
    let bytes: Option<Vec<u8>> = (0..code.len() / 2)
        .map(|i| u8::from_str_radix(code.get(2 * i..2 * i + 2)?, 16).ok())
        .collect();
    bytes.is_some_and(|bytes| mac(key, path, body).verify_slice(&bytes).is_ok())
}

fn mac(key: &str, path: &str, body: &[u8]) -> Hmac<Sha256> {
    // A key of any length is taken.
    let mut mac = Hmac::<Sha256>::new_from_slice(key.as_bytes()).expect("any length");
    mac.update(path.as_bytes());
    mac.update(b"\n");
    mac.update(body);
    mac
}
