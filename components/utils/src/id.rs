use rand::TryRng;
use rand::rngs::SysRng;

/// Draws 128 bits from the operating system.
///
/// # Panics
///
/// Panics when the operating system gives no random bytes.
pub fn random_id() -> u128 {
    let mut buf = [0u8; 16];
    SysRng.try_fill_bytes(&mut buf).expect("the operating system gives random bytes");
    u128::from_be_bytes(buf)
}
