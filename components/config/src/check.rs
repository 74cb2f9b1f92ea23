use crate::floors::{capacity, shortfalls, thousandths};
use crate::settings::label;
use crate::source::{Parsed, Source};
use crate::{Account, Class, Grant, Grants, ListError, Lists, Plans, Problem};
use std::collections::BTreeMap;

const NAME_LIMIT: usize = 63;
const LOWEST_TIER: u8 = 4;
const DIGEST_DIGITS: usize = 64;
const WHOLE_THOUSANDTHS: u64 = 1_000;

/// The problems of one file, by key.
type Found = Vec<(String, Problem)>;

/// Reads both lists, or says everything that is wrong with them.
pub fn check_lists(plans: Source<'_>, grants: Source<'_>) -> Result<Lists, Vec<ListError>> {
    let (plans, grants) = match (plans.parse::<Plans>(), grants.parse::<Grants>()) {
        (Ok(plans), Ok(grants)) => (plans, grants),
        (plans, grants) => {
            let errors = [plans.err(), grants.err()];
            return Err(errors.into_iter().flatten().flatten().collect());
        }
    };
    let lists = Lists { plans: plans.value.clone(), grants: grants.value.clone() };
    let mut errors = place(&plans, account_problems(&lists));
    let found = [class_problems, plan_problems, pool_problems, floor_problems, share_problems];
    for problems in found {
        errors.extend(place(&grants, problems(&lists)));
    }
    errors.sort_by(|a, b| (&a.file, a.line).cmp(&(&b.file, b.line)));
    if errors.is_empty() { Ok(lists) } else { Err(errors) }
}

fn place<T>(file: &Parsed<'_, T>, found: Found) -> Vec<ListError> {
    found.into_iter().map(|(key, problem)| file.error(key, problem)).collect()
}

fn check_name(key: &str, name: &str, found: &mut Found) {
    if label(name, NAME_LIMIT).is_none() {
        found.push((key.to_string(), Problem::Name { name: name.to_string() }));
    }
}

fn account_problems(lists: &Lists) -> Found {
    let mut found = Found::new();
    let mut keys: BTreeMap<&str, &str> = BTreeMap::new();
    for (name, account) in &lists.plans.accounts {
        let Account { plan, key_sha256 } = account;
        let key = format!("accounts.{name}");
        check_name(&key, name, &mut found);
        if !lists.grants.plans.contains_key(plan) {
            found.push((format!("{key}.plan"), Problem::UnknownPlan { plan: plan.clone() }));
        }
        let digest_key = format!("{key}.key_sha256");
        if !is_digest(key_sha256) {
            found.push((digest_key, Problem::Digest { digest: key_sha256.clone() }));
            continue;
        }
        if let Some(other) = keys.insert(key_sha256, name) {
            found.push((digest_key, Problem::SharedKey { account: other.to_string() }));
        }
    }
    found
}

fn is_digest(text: &str) -> bool {
    let digit = |b: u8| b.is_ascii_digit() || (b'a'..=b'f').contains(&b);
    text.len() == DIGEST_DIGITS && text.bytes().all(digit)
}

fn class_problems(lists: &Lists) -> Found {
    let mut found = Found::new();
    for (name, class) in &lists.grants.classes {
        let key = format!("classes.{name}");
        check_name(&key, name, &mut found);
        if class.model.is_empty() == class.service.is_empty() {
            found.push((key.clone(), Problem::Serves));
        }
        if class.service.is_empty() && !class.repeatable {
            found.push((format!("{key}.repeatable"), Problem::NotRepeatable));
        }
        target_problems(&key, class, &mut found);
        if thousandths(class.floor).is_none() {
            let floor = class.floor.to_string();
            found.push((format!("{key}.floor"), Problem::Floor { floor }));
        }
    }
    found
}

fn target_problems(key: &str, class: &Class, found: &mut Found) {
    let target = class.target;
    let mut times = vec![("finish_ms", target.finish_ms)];
    if class.service.is_empty() {
        times.push(("first_token_ms", target.first_token_ms));
        times.push(("between_tokens_ms", target.between_tokens_ms));
    }
    let missing = times.iter().filter(|(_, ms)| *ms == 0);
    found.extend(missing.map(|(name, _)| (format!("{key}.target.{name}"), Problem::NoTarget)));
    let (finish_ms, first_token_ms) = (target.finish_ms, target.first_token_ms);
    if finish_ms > 0 && finish_ms < first_token_ms {
        let problem = Problem::TargetOrder { finish_ms, first_token_ms };
        found.push((format!("{key}.target.finish_ms"), problem));
    }
}

fn plan_problems(lists: &Lists) -> Found {
    let mut found = Found::new();
    for (name, plan) in &lists.grants.plans {
        check_name(&format!("plans.{name}"), name, &mut found);
        for (class, grant) in &plan.classes {
            let key = format!("plans.{name}.classes.{class}");
            grant_problems(&key, lists.grants.classes.get(class), grant, &mut found);
            if !lists.grants.classes.contains_key(class) {
                found.push((key, Problem::UnknownClass { class: class.clone() }));
            }
        }
    }
    found
}

fn grant_problems(key: &str, class: Option<&Class>, grant: &Grant, found: &mut Found) {
    let tier = grant.tier;
    if !(1..=LOWEST_TIER).contains(&tier) {
        found.push((format!("{key}.tier"), Problem::Tier { tier }));
    }
    let mut limits =
        vec![("requests_per_minute", grant.requests_per_minute), ("streams", grant.streams)];
    if class.is_some_and(|c| c.service.is_empty()) {
        limits.push(("tokens_per_minute", grant.tokens_per_minute));
    }
    let missing = limits.iter().filter(|(_, limit)| *limit == 0);
    found.extend(missing.map(|(name, _)| (format!("{key}.{name}"), Problem::NoLimit)));
}

fn pool_problems(lists: &Lists) -> Found {
    let mut found = Found::new();
    for pool in lists.grants.pools.keys() {
        if !lists.grants.classes.values().any(|c| c.pool_name() == pool) {
            found.push((format!("pools.{pool}"), Problem::UnknownPool { pool: pool.clone() }));
        }
    }
    found
}

fn floor_problems(lists: &Lists) -> Found {
    let mut found = Found::new();
    for (name, class) in &lists.grants.classes {
        if class.floor > 0.0 && capacity(lists, class) == 0 {
            let tokens = class.service.is_empty();
            let limit = if tokens { "tokens_per_minute" } else { "requests_per_minute" };
            let problem = Problem::NoCapacity { pool: class.pool_name().to_string(), limit };
            found.push((format!("classes.{name}.floor"), problem));
        }
    }
    for short in shortfalls(lists) {
        let pool = lists.grants.classes[short.class].pool_name().to_string();
        let (tier, needed, capacity) = (short.tier, short.needed, short.capacity);
        let problem = Problem::NoRoom { tier, pool, needed, capacity };
        found.push((format!("classes.{}.floor", short.class), problem));
    }
    found
}

fn share_problems(lists: &Lists) -> Found {
    let mut found = Found::new();
    let mut sum = 0;
    for (data_centre, share) in &lists.grants.shares {
        let key = format!("shares.{data_centre}");
        check_name(&key, data_centre, &mut found);
        match thousandths(*share) {
            Some(part) if part > 0 => sum += part,
            _ => found.push((key, Problem::Share { share: share.to_string() })),
        }
    }
    if sum > WHOLE_THOUSANDTHS {
        found.push(("shares".to_string(), Problem::Shares { thousandths: sum }));
    }
    found
}
