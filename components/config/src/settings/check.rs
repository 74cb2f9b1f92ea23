use crate::Secret;
use std::net::SocketAddr;
use std::str::FromStr;

/// Parses an IP address with a port.
pub fn socket_address(text: &str) -> Option<SocketAddr> {
    text.parse().ok()
}

/// Parses an integer within inclusive bounds.
pub fn integer<T: FromStr + PartialOrd>(text: &str, minimum: T, maximum: T) -> Option<T> {
    let number = text.parse().ok()?;
    (number >= minimum && number <= maximum).then_some(number)
}

/// Parses `true` or `false`.
pub fn boolean(text: &str) -> Option<bool> {
    text.parse().ok()
}

/// Accepts a secret whose length in bytes is within inclusive bounds.
pub fn secret(text: &str, minimum: usize, maximum: usize) -> Option<Secret> {
    (minimum..=maximum).contains(&text.len()).then(|| Secret::new(text))
}

/// Accepts a name of 1 to `maximum` lower-case letters, digits and inner hyphens.
pub fn label(text: &str, maximum: usize) -> Option<String> {
    let is_edge = |byte: Option<&u8>| byte.is_some_and(|b| *b != b'-');
    let bytes = text.as_bytes();
    let is_inner = |b: &u8| b.is_ascii_lowercase() || b.is_ascii_digit() || *b == b'-';
    let is_valid = bytes.len() <= maximum && bytes.iter().all(is_inner);
    (is_valid && is_edge(bytes.first()) && is_edge(bytes.last())).then(|| text.to_string())
}
