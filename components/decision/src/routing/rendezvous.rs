use super::demand::{Candidate, Demand};
use super::prompt::Prompt;
use std::cmp::Reverse;
use std::collections::BTreeSet;

/// Share of a session's prompt that its first and second preferred endpoint are expected to have
/// cached.
const EXPECTED_CACHED_SHARES: [f64; 2] = [0.9, 0.4];

/// Returns the two endpoints of a lane that rank first for a session by rendezvous hashing; none
/// for a request without a session. An empty lane stands for all candidates. All daemons get the
/// same ranking, so requests of a session are sent to the same endpoints.
pub(super) fn preferred_endpoints<'a>(
    candidates: &[Candidate<'a>],
    lane: &BTreeSet<&str>,
    demand: &Demand<'_>,
) -> Vec<&'a str> {
    let Some(session) = demand.prompt.and_then(Prompt::session) else {
        return Vec::new();
    };
    let is_in_lane = |c: &&Candidate<'a>| lane.is_empty() || lane.contains(c.id);
    let mut ranked: Vec<&str> = candidates.iter().filter(is_in_lane).map(|c| c.id).collect();
    ranked.sort_by_key(|id| Reverse(rendezvous_hash(id, session)));
    ranked.truncate(EXPECTED_CACHED_SHARES.len());
    ranked
}

/// Returns the share of a session's prompt that an endpoint is expected to have cached.
pub(super) fn expected_cached_share(preferred_endpoints: &[&str], id: &str) -> f64 {
    let rank = preferred_endpoints.iter().position(|preferred| *preferred == id);
    rank.and_then(|rank| EXPECTED_CACHED_SHARES.get(rank)).copied().unwrap_or(0.0)
}

/// Hashes an id with a seed: FNV-1a followed by a finalizer. The result is the same on all daemons.
pub(super) fn rendezvous_hash(id: &str, seed: u64) -> u64 {
    let mut hash = 0xcbf2_9ce4_8422_2325 ^ seed;
    for byte in id.bytes() {
        hash = (hash ^ u64::from(byte)).wrapping_mul(0x100_0000_01b3);
    }
    hash ^= hash >> 32;
    hash = hash.wrapping_mul(0xd6e8_feb8_6659_fd93);
    hash ^ (hash >> 32)
}
