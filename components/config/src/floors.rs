use crate::{Class, Grant, Lists, Plan};
use std::collections::BTreeMap;

const THOUSANDTHS: f64 = 1000.0;

/// A floor that has no room in its pool.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Shortfall<'a> {
    /// The class with the floor.
    pub class: &'a str,
    /// The lowest tier in which the class is granted.
    pub tier: u8,
    /// What limits and floors add up to, a minute.
    pub needed: u64,
    /// What the pool can do, a minute.
    pub capacity: u64,
}

/// Returns a floor in thousandths, or nothing when it is no share in such steps.
pub fn thousandths(floor: f64) -> Option<u64> {
    let scaled = (floor * THOUSANDTHS).round();
    let exact = scaled / THOUSANDTHS == floor;
    (exact && (0.0..=THOUSANDTHS).contains(&scaled)).then_some(scaled as u64)
}

/// Returns what the pool of a class can do in a minute; 0 when the lists do not say.
pub fn capacity(lists: &Lists, class: &Class) -> u64 {
    let Some(pool) = lists.grants.pools.get(class.pool_name()) else { return 0 };
    if class.service.is_empty() { pool.tokens_per_minute } else { pool.requests_per_minute }
}

/// Returns the floors that have no room.
///
/// A floor has room when the larger of two figures, added up over the classes of the same pool,
/// stays within what the pool can do: the class's floor, and the limits granted for it in tiers
/// above the one where the class in question is granted at the lowest.
pub fn shortfalls(lists: &Lists) -> Vec<Shortfall<'_>> {
    let holders = holders(lists);
    let mut found = Vec::new();
    for (name, class) in &lists.grants.classes {
        let capacity = capacity(lists, class);
        let Some(tier) = lowest_tier(lists, name) else { continue };
        if class.floor == 0.0 || capacity == 0 {
            continue;
        }
        let neighbours =
            lists.grants.classes.iter().filter(|(_, c)| c.pool_name() == class.pool_name());
        let needs = neighbours.map(|(other, c)| {
            let floor = thousandths(c.floor).unwrap_or_default() * capacity / 1000;
            let above = if other == name { 0 } else { limits(lists, &holders, other, tier) };
            floor.max(above)
        });
        let needed = needs.sum();
        if needed > capacity {
            found.push(Shortfall { class: name, tier, needed, capacity });
        }
    }
    found
}

fn holders(lists: &Lists) -> BTreeMap<&str, u64> {
    let mut holders = BTreeMap::new();
    for account in lists.plans.accounts.values() {
        *holders.entry(account.plan.as_str()).or_default() += 1;
    }
    holders
}

fn lowest_tier(lists: &Lists, class: &str) -> Option<u8> {
    lists.grants.plans.values().filter_map(|p| p.classes.get(class)).map(|g| g.tier).max()
}

fn limits(lists: &Lists, holders: &BTreeMap<&str, u64>, class: &str, tier: u8) -> u64 {
    let calls = lists.grants.classes.get(class).is_some_and(|c| !c.service.is_empty());
    let limit = |grant: &Grant| {
        u64::from(if calls { grant.requests_per_minute } else { grant.tokens_per_minute })
    };
    let of_plan = |(name, plan): (&String, &Plan)| {
        let accounts = holders.get(name.as_str()).copied().unwrap_or_default();
        let grant = plan.classes.get(class).filter(|g| g.tier < tier);
        grant.map_or(0, |g| accounts * limit(g))
    };
    lists.grants.plans.iter().map(of_plan).sum()
}
