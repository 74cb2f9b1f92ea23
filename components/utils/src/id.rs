use rand::TryRng;
use rand::rngs::SysRng;

/// A 128-bit random id from the operating system's random source.
///
/// # Panics
///
/// Panics if that source fails.
pub fn random_id() -> u128 {
    let mut buf = [0u8; 16];
    SysRng.try_fill_bytes(&mut buf).expect("the operating system's random source works");
    u128::from_be_bytes(buf)
}
