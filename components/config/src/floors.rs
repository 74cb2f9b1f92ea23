use crate::{Class, Grant, Lists, Plan};
use std::collections::BTreeMap;

/// Floors and shares are given in steps of one thousandth.
const THOUSANDTHS_IN_WHOLE: f64 = 1000.0;

/// A floor that the capacity of its pool does not cover.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Shortfall<'a> {
    /// The class with the floor.
    pub class: &'a str,
    /// The lowest tier in which the class is granted.
    pub tier: u8,
    /// The sum of limits and floors, in tokens or requests per minute.
    pub needed_per_minute: u64,
    /// The capacity of the pool, in tokens or requests per minute.
    pub capacity_per_minute: u64,
}

/// Converts a share to thousandths; `None` if it is outside 0 to 1 or not a multiple of 0.001.
pub fn to_thousandths(share: f64) -> Option<u64> {
    let scaled = (share * THOUSANDTHS_IN_WHOLE).round();
    let exact = scaled / THOUSANDTHS_IN_WHOLE == share;
    (exact && (0.0..=THOUSANDTHS_IN_WHOLE).contains(&scaled)).then_some(scaled as u64)
}

/// Returns the capacity of the pool of a class, in tokens per minute for a model and in requests
/// per minute for a plain service; 0 when the lists do not set it.
pub fn pool_capacity_per_minute(lists: &Lists, class: &Class) -> u64 {
    let Some(pool) = lists.grants.pools.get(class.pool_name()) else { return 0 };
    if class.service.is_empty() { pool.tokens_per_minute } else { pool.requests_per_minute }
}

/// Returns the floors that the capacity of their pool does not cover.
///
/// The demand on the pool is the sum over all its classes of the larger of two figures: the floor
/// of that class, and the limits granted to it in higher tiers than the lowest tier in which the
/// checked class is granted. Of the checked class itself, only the floor counts. A floor is covered
/// when this demand is within the capacity.
pub fn shortfalls(lists: &Lists) -> Vec<Shortfall<'_>> {
    let accounts_per_plan = accounts_per_plan(lists);
    let mut found = Vec::new();
    for (name, class) in &lists.grants.classes {
        let capacity_per_minute = pool_capacity_per_minute(lists, class);
        let Some(tier) = lowest_tier(lists, name) else { continue };
        if class.floor == 0.0 || capacity_per_minute == 0 {
            continue;
        }
        let pool_classes =
            lists.grants.classes.iter().filter(|(_, c)| c.pool_name() == class.pool_name());
        let demands = pool_classes.map(|(other, c)| {
            let floor = to_thousandths(c.floor).unwrap_or_default() * capacity_per_minute / 1000;
            let higher_tier_limits = if other == name {
                0
            } else {
                granted_limits(lists, &accounts_per_plan, other, tier)
            };
            floor.max(higher_tier_limits)
        });
        let needed_per_minute = demands.sum();
        if needed_per_minute > capacity_per_minute {
            found.push(Shortfall { class: name, tier, needed_per_minute, capacity_per_minute });
        }
    }
    found
}

fn accounts_per_plan(lists: &Lists) -> BTreeMap<&str, u64> {
    let mut accounts_per_plan = BTreeMap::new();
    for account in lists.plans.accounts.values() {
        *accounts_per_plan.entry(account.plan.as_str()).or_default() += 1;
    }
    accounts_per_plan
}

fn lowest_tier(lists: &Lists, class: &str) -> Option<u8> {
    lists.grants.plans.values().filter_map(|p| p.classes.get(class)).map(|g| g.tier).max()
}

/// Sums the limits per minute that all client accounts together hold for a class in tiers above
/// `tier`.
fn granted_limits(
    lists: &Lists,
    accounts_per_plan: &BTreeMap<&str, u64>,
    class: &str,
    tier: u8,
) -> u64 {
    let is_plain_service = lists.grants.classes.get(class).is_some_and(|c| !c.service.is_empty());
    let limit = |grant: &Grant| {
        u64::from(if is_plain_service {
            grant.requests_per_minute
        } else {
            grant.tokens_per_minute
        })
    };
    let plan_limits = |(name, plan): (&String, &Plan)| {
        let accounts = accounts_per_plan.get(name.as_str()).copied().unwrap_or_default();
        let grant = plan.classes.get(class).filter(|g| g.tier < tier);
        grant.map_or(0, |g| accounts * limit(g))
    };
    lists.grants.plans.iter().map(plan_limits).sum()
}
