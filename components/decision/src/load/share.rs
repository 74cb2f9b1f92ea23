use super::{TIERS, peers::PoolSum};

/// The streams of a pool that are this daemon's to use.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct Share {
    /// By tier.
    pub(super) tiers: [f64; TIERS],
    /// In all.
    pub(super) total: f64,
}

/// The load of this daemon on a pool.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Demand {
    /// Waiting, held back and running requests by tier.
    pub(super) tiers: [u32; TIERS],
    /// Running requests that a floor protects.
    pub(super) protected: u32,
}

/// Divides the streams of a pool: higher tiers first, within a tier by demand, the rest evenly.
pub(super) fn divide(slots: u32, own: Demand, others: &PoolSum, daemons: u32) -> Share {
    let protected = own.protected + others.protected;
    let mut left = f64::from(slots.saturating_sub(protected));
    let mut share = Share { total: f64::from(own.protected), ..Share::default() };
    for tier in 0..TIERS {
        let demand = own.tiers[tier] + others.waiting[tier] + others.running[tier];
        let granted = left.min(f64::from(demand));
        let part = f64::from(own.tiers[tier]) / f64::from(demand.max(1));
        share.tiers[tier] = granted * part;
        share.total += share.tiers[tier];
        left -= granted;
    }
    share.total += left / f64::from(daemons.max(1));
    share
}
