use super::demand::{Candidate, Demand};
use super::prompt::Prompt;
use std::cmp::Reverse;
use std::collections::BTreeSet;

/// Part of a session's prompt that its first and second home are expected to hold.
const LIKELY_CACHED: [f64; 2] = [0.9, 0.4];

/// Returns the endpoints at which all daemons prefer to run a session, best first.
pub(super) fn homes<'a>(
    candidates: &[Candidate<'a>],
    lane: &BTreeSet<&str>,
    demand: &Demand<'_>,
) -> Vec<&'a str> {
    let Some(session) = demand.prompt.and_then(Prompt::session) else {
        return Vec::new();
    };
    let is_fit = |c: &&Candidate<'a>| lane.is_empty() || lane.contains(c.id);
    let mut ranked: Vec<&str> = candidates.iter().filter(is_fit).map(|c| c.id).collect();
    ranked.sort_by_key(|id| Reverse(draw(id, session)));
    ranked.truncate(LIKELY_CACHED.len());
    ranked
}

/// Returns the part of a session's prompt that an endpoint is expected to hold.
pub(super) fn likely(homes: &[&str], id: &str) -> f64 {
    let rank = homes.iter().position(|home| *home == id);
    rank.and_then(|rank| LIKELY_CACHED.get(rank)).copied().unwrap_or(0.0)
}

/// Returns a number that depends on both arguments alone (FNV-1a with a final mix).
pub(super) fn draw(id: &str, seed: u64) -> u64 {
    let mut hash = 0xcbf2_9ce4_8422_2325 ^ seed;
    for byte in id.bytes() {
        hash = (hash ^ u64::from(byte)).wrapping_mul(0x100_0000_01b3);
    }
    hash ^= hash >> 32;
    hash = hash.wrapping_mul(0xd6e8_feb8_6659_fd93);
    hash ^ (hash >> 32)
}
