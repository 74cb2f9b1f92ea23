use crate::Secret;
use std::net::SocketAddr;
use std::str::FromStr;

/// Reads an IP number with a port.
pub fn socket_address(text: &str) -> Option<SocketAddr> {
    text.parse().ok()
}

/// Reads a whole number between two bounds.
pub fn integer<T: FromStr + PartialOrd>(text: &str, minimum: T, maximum: T) -> Option<T> {
    let number = text.parse().ok()?;
    (number >= minimum && number <= maximum).then_some(number)
}

/// Reads `true` or `false`.
pub fn boolean(text: &str) -> Option<bool> {
    text.parse().ok()
}

/// Reads a secret of a length between two bounds.
pub fn secret(text: &str, minimum: usize, maximum: usize) -> Option<Secret> {
    (minimum..=maximum).contains(&text.len()).then(|| Secret::new(text))
}

/// Reads a name of lower-case letters, digits and inner hyphens.
pub fn label(text: &str, maximum: usize) -> Option<String> {
    let edge = |byte: Option<&u8>| byte.is_some_and(|b| *b != b'-');
    let bytes = text.as_bytes();
    let inner = |b: &u8| b.is_ascii_lowercase() || b.is_ascii_digit() || *b == b'-';
    let fits = bytes.len() <= maximum && bytes.iter().all(inner);
    (fits && edge(bytes.first()) && edge(bytes.last())).then(|| text.to_string())
}
