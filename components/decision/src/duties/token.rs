use super::lease_step::LeaseConfig;
use sha2::{Digest, Sha256};

/// The number of low bits of a token that identify the claimant. With the time in milliseconds above
/// them, a token stays below 2^53, up to which JSON numbers are exact everywhere.
const CLAIMANT_BITS: u32 = 10;

/// Returns the token of a claim, which is higher than all known ones. It contains the time of day, so
/// that it is also higher than one of which nothing is known because the store has come back as an
/// older copy. Its low bits keep the tokens of two claimants in two histories of the store apart.
pub(super) fn next_token(highest_known: u64, unix_ms: u64, cfg: &LeaseConfig) -> u64 {
    let number = unix_ms.max((highest_known >> CLAIMANT_BITS) + 1);
    number << CLAIMANT_BITS | claimant_bits(cfg)
}

/// Hashes the name of the instance and the incarnation: two instances may report the same name.
fn claimant_bits(cfg: &LeaseConfig) -> u64 {
    let digest = Sha256::new()
        .chain_update(cfg.incarnation.to_be_bytes())
        .chain_update(cfg.own.name.as_bytes())
        .finalize();
    let hash = digest.iter().take(8).fold(0_u64, |hash, byte| hash << 8 | u64::from(*byte));
    hash & ((1 << CLAIMANT_BITS) - 1)
}
