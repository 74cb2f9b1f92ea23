use super::{TIERS, peers::PoolSum};

/// This daemon's share of a pool's slots.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct Share {
    /// The slots of each tier.
    pub(super) tiers: [f64; TIERS],
    /// The slots of all tiers and of protected requests, and an equal part of the unused slots.
    pub(super) total: f64,
}

/// The load of this daemon on a pool.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Demand {
    /// Waiting, paused and running requests by tier.
    pub(super) tiers: [u32; TIERS],
    /// Running requests that a floor protects.
    pub(super) protected: u32,
}

/// Divides a pool's slots: higher tiers first, within a tier by demand, unused ones evenly among
/// `daemons`, which includes this one.
pub(super) fn divide(slots: u32, own: Demand, others: &PoolSum, daemons: u32) -> Share {
    let protected = own.protected + others.protected;
    let mut unassigned = f64::from(slots.saturating_sub(protected));
    let mut share = Share { total: f64::from(own.protected), ..Share::default() };
    for tier in 0..TIERS {
        let demand = own.tiers[tier] + others.waiting[tier] + others.running[tier];
        let granted = unassigned.min(f64::from(demand));
        let part = f64::from(own.tiers[tier]) / f64::from(demand.max(1));
        share.tiers[tier] = granted * part;
        share.total += share.tiers[tier];
        unassigned -= granted;
    }
    share.total += unassigned / f64::from(daemons.max(1));
    share
}
