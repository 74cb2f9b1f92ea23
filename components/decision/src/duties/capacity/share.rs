use super::scaling::ServiceScaling;
use super::site::Goal;
use std::collections::BTreeMap;

/// Share of the steady need of a data centre that ordinary endpoints serve, so that its callers keep
/// some warm caches and, if the data centre is cut off, some capacity when its spot endpoints are
/// reclaimed; replacements serve only after the boot time.
const BASE_SHARE: f64 = 0.25;

/// What the callers of a data centre need.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Need {
    /// Endpoints including those for a burst.
    pub(super) total: f64,
    /// Endpoints without a burst.
    pub(super) steady: f64,
    /// Endpoints without a burst, in the long run.
    pub(super) average: f64,
    /// Whether spot endpoints can be ordered there.
    pub(super) has_spot: bool,
}

/// Returns the goal of each data centre: what its own callers need, what exceeds the maximum of
/// others, and what is missing when the data centre with the most spot endpoints loses them.
pub(super) fn share_needs(
    needs: &BTreeMap<&str, Need>,
    scaling: &ServiceScaling,
) -> BTreeMap<String, Goal> {
    let mut overflow = 0;
    let mut goals = BTreeMap::new();
    for (name, need) in needs {
        let wanted = need.total.ceil() as u32;
        overflow += wanted.saturating_sub(scaling.maximum());
        let total = scaling.clamp(wanted);
        let base = if scaling.has_spot() {
            ((need.average * BASE_SHARE).ceil() as u32).min(total)
        } else {
            total
        };
        goals.insert((*name).to_owned(), Goal { total, base });
    }
    distribute(&mut goals, None, overflow, scaling);
    cover_loss(&mut goals, needs, scaling);
    goals
}

/// Raises the goals so that without the spot endpoints of any one data centre, the others serve the
/// steady need of all.
fn cover_loss(
    goals: &mut BTreeMap<String, Goal>,
    needs: &BTreeMap<&str, Need>,
    scaling: &ServiceScaling,
) {
    let steady: f64 = needs.values().map(|need| need.steady).sum();
    let spot = |name: &str, goal: &Goal| match needs.get(name) {
        Some(need) if need.has_spot => goal.total - goal.base,
        _ => 0,
    };
    let largest = goals.iter().max_by_key(|(name, goal)| spot(name, goal));
    let Some((name, lost)) = largest.map(|(name, goal)| (name.clone(), spot(name, goal))) else {
        return;
    };
    let total: u32 = goals.values().map(|goal| goal.total).sum();
    let missing = (steady.ceil() as u32).saturating_sub(total - lost);
    let left = distribute(goals, Some(&name), missing, scaling);
    // The others are full, so ordinary endpoints take the place of the ones that may be lost.
    if let Some(goal) = goals.get_mut(&name) {
        goal.base = (goal.base + left).min(goal.total);
    }
}

/// Adds endpoints to the data centres except one, first where there are few and they cost little.
/// Returns how many found no room.
fn distribute(
    goals: &mut BTreeMap<String, Goal>,
    except: Option<&str>,
    count: u32,
    scaling: &ServiceScaling,
) -> u32 {
    for placed in 0..count {
        let open = goals
            .iter_mut()
            .filter(|(name, goal)| Some(name.as_str()) != except && goal.total < scaling.maximum());
        let cost = |name: &str, goal: &Goal| f64::from(goal.total + 1) * scaling.price(name);
        let cheapest = open.min_by(|(a, x), (b, y)| cost(a, x).total_cmp(&cost(b, y)));
        let Some((_, goal)) = cheapest else { return count - placed };
        goal.total += 1;
        if !scaling.has_spot() {
            goal.base += 1;
        }
    }
    0
}
