use super::{Endpoint, Scheduler};
use crate::Millis;
use rand::RngExt;
use sha2::{Digest, Sha256};

/// Bound on an endpoint's load as a multiple of the mean (hashing with bounded loads).
const LOAD_BOUND_FACTOR: f64 = 1.25;

/// The age above which a load report is ignored, in milliseconds.
const MAX_REPORT_AGE_MS: u64 = 3_000;

/// Returns the first 64 bits of the SHA-256 of two names.
pub(super) fn hash_names(a: &str, b: &str) -> u64 {
    let mut hasher = Sha256::new();
    hasher.update(a.as_bytes());
    hasher.update([0]);
    hasher.update(b.as_bytes());
    let digest = hasher.finalize();
    digest[..8].iter().fold(0, |hash, byte| hash << 8 | u64::from(*byte))
}

/// Mixes two hashes with the SplitMix64 finaliser.
fn mix(a: u64, b: u64) -> u64 {
    let mut z = a ^ b.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}

/// Estimates the load of an endpoint from this daemon's requests there, its time between tokens
/// relative to the pool's, and the queue in its last report if that is recent.
fn load(endpoint: &Endpoint, pool_mean_ms: f64, now: Millis) -> f64 {
    let slowness = endpoint.between_tokens.mean_or(pool_mean_ms) / pool_mean_ms.max(1.0);
    let recent = endpoint.report.filter(|(r, at)| r.age_ms + now.since(*at).0 < MAX_REPORT_AGE_MS);
    let waiting = recent.map_or(0, |(report, _)| report.waiting);
    f64::from(endpoint.outstanding + 1) * slowness.max(0.5) + f64::from(waiting)
}

impl Scheduler {
    /// Returns the maximum number of requests that this daemon runs at an endpoint, from its share.
    pub(super) fn load_bound(&self, pool_name: &str) -> u32 {
        let members = self.pools.get(pool_name).map_or(0, |pool| pool.members.len());
        let used = members.clamp(1, self.cfg.subset.max(1));
        let mean = self.share(pool_name).total / used as f64;
        (mean * LOAD_BOUND_FACTOR).ceil() as u32
    }

    /// Chooses an endpoint with a free slot from this daemon's subset of the pool: by the hash of
    /// the prompt's prefix among the less loaded ones, or, without prefix affinity, the less loaded
    /// of two random ones.
    ///
    /// An endpoint that is being probed is not chosen while this daemon runs requests of a lower
    /// tier in the pool: probes are left to the lower tier.
    pub(super) fn choose_endpoint(
        &mut self,
        pool_name: &str,
        request: u64,
        beyond_share: bool,
        now: Millis,
    ) -> Option<String> {
        let pool = self.pools.get(pool_name)?;
        let entry = self.entries.get(&request)?;
        let prefix = entry.arrival.prefix;
        let has_lower_tier = pool.running_below(entry.tier()).next().is_some();
        let bound = self.load_bound(pool_name);
        let names = pool.members.iter().map(|(_, name)| name);
        let usable = names.filter_map(|name| self.endpoints.get(name));
        let usable = usable.filter(|e| e.is_usable(now)).take(self.cfg.subset);
        let usable: Vec<&Endpoint> = usable.collect();
        let fits = |e: &&&Endpoint| {
            let left_to_lower_tier = has_lower_tier && e.is_probed();
            !left_to_lower_tier
                && e.outstanding < e.limit()
                && (beyond_share || e.outstanding < bound)
        };
        let pool_mean_ms = pool.between_tokens.mean_or(1.0);
        let free = usable.iter().filter(fits).map(|e| (*e, load(e, pool_mean_ms, now)));
        let free: Vec<(&Endpoint, f64)> = free.collect();
        if free.is_empty() {
            return None;
        }
        if self.cfg.mechanisms.affinity && prefix != 0 {
            let lowest = free.iter().map(|(_, load)| *load).fold(f64::MAX, f64::min);
            let within_bound =
                free.iter().filter(|(_, load)| *load <= lowest * LOAD_BOUND_FACTOR + 1.0);
            let best = within_bound.max_by_key(|(e, _)| mix(prefix, e.hash));
            return best.map(|(e, _)| e.info.name.clone());
        }
        let one = free[self.rng.random_range(0..free.len())];
        let two = free[self.rng.random_range(0..free.len())];
        let (better, _) = if one.1 <= two.1 { one } else { two };
        Some(better.info.name.clone())
    }
}
