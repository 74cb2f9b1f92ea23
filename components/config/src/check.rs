use crate::floors::{pool_capacity_per_minute, shortfalls, to_thousandths};
use crate::settings::label;
use crate::source::{Parsed, Source};
use crate::{Account, Class, Grant, Grants, ListError, Lists, Plans, Problem};
use std::collections::BTreeMap;

const NAME_LIMIT_BYTES: usize = 63;
const LOWEST_TIER: u8 = 4;
const DIGEST_HEX_DIGITS: usize = 64;
const FULL_SHARE_THOUSANDTHS: u64 = 1_000;

/// The problems in one file, each with its key.
type KeyedProblems = Vec<(String, Problem)>;

/// Parses and checks both lists. On failure returns all errors found: the syntax errors if a file
/// cannot be parsed, else the violated rules, sorted by file and line.
pub fn check_lists(plans: Source<'_>, grants: Source<'_>) -> Result<Lists, Vec<ListError>> {
    let (plans, grants) = match (plans.parse::<Plans>(), grants.parse::<Grants>()) {
        (Ok(plans), Ok(grants)) => (plans, grants),
        (plans, grants) => {
            let errors = [plans.err(), grants.err()];
            return Err(errors.into_iter().flatten().flatten().collect());
        }
    };
    let lists = Lists { plans: plans.value.clone(), grants: grants.value.clone() };
    let mut errors = locate(&plans, account_problems(&lists));
    let grants_checks =
        [class_problems, plan_problems, pool_problems, floor_problems, share_problems];
    for check in grants_checks {
        errors.extend(locate(&grants, check(&lists)));
    }
    errors.sort_by(|a, b| (&a.file, a.line).cmp(&(&b.file, b.line)));
    if errors.is_empty() { Ok(lists) } else { Err(errors) }
}

/// Adds the file and line to each problem.
fn locate<T>(file: &Parsed<'_, T>, found: KeyedProblems) -> Vec<ListError> {
    found.into_iter().map(|(key, problem)| file.error(key, problem)).collect()
}

fn check_name(key: &str, name: &str, found: &mut KeyedProblems) {
    if label(name, NAME_LIMIT_BYTES).is_none() {
        found.push((key.to_string(), Problem::InvalidName { name: name.to_string() }));
    }
}

fn account_problems(lists: &Lists) -> KeyedProblems {
    let mut found = KeyedProblems::new();
    let mut account_by_key: BTreeMap<&str, &str> = BTreeMap::new();
    for (name, account) in &lists.plans.accounts {
        let Account { plan, key_sha256 } = account;
        let key = format!("accounts.{name}");
        check_name(&key, name, &mut found);
        if !lists.grants.plans.contains_key(plan) {
            found.push((format!("{key}.plan"), Problem::UnknownPlan { plan: plan.clone() }));
        }
        let digest_key = format!("{key}.key_sha256");
        if !is_sha256_hex(key_sha256) {
            found.push((digest_key, Problem::InvalidDigest { digest: key_sha256.clone() }));
            continue;
        }
        if let Some(other) = account_by_key.insert(key_sha256, name) {
            found.push((digest_key, Problem::SharedKey { account: other.to_string() }));
        }
    }
    found
}

fn is_sha256_hex(text: &str) -> bool {
    let is_hex_digit = |b: u8| b.is_ascii_digit() || (b'a'..=b'f').contains(&b);
    text.len() == DIGEST_HEX_DIGITS && text.bytes().all(is_hex_digit)
}

fn class_problems(lists: &Lists) -> KeyedProblems {
    let mut found = KeyedProblems::new();
    for (name, class) in &lists.grants.classes {
        let key = format!("classes.{name}");
        check_name(&key, name, &mut found);
        if class.model.is_empty() == class.service.is_empty() {
            found.push((key.clone(), Problem::ModelOrService));
        }
        if class.service.is_empty() && !class.repeatable {
            found.push((format!("{key}.repeatable"), Problem::NotRepeatable));
        }
        target_problems(&key, class, &mut found);
        if to_thousandths(class.floor).is_none() {
            let floor = class.floor.to_string();
            found.push((format!("{key}.floor"), Problem::InvalidFloor { floor }));
        }
    }
    found
}

fn target_problems(key: &str, class: &Class, found: &mut KeyedProblems) {
    let target = class.target;
    let mut times = vec![("finish_ms", target.finish_ms)];
    if class.service.is_empty() {
        times.push(("first_token_ms", target.first_token_ms));
        times.push(("between_tokens_ms", target.between_tokens_ms));
    }
    let missing = times.iter().filter(|(_, ms)| *ms == 0);
    found.extend(missing.map(|(name, _)| (format!("{key}.target.{name}"), Problem::MissingTarget)));
    let (finish_ms, first_token_ms) = (target.finish_ms, target.first_token_ms);
    if finish_ms > 0 && finish_ms < first_token_ms {
        let problem = Problem::TargetOrder { finish_ms, first_token_ms };
        found.push((format!("{key}.target.finish_ms"), problem));
    }
}

fn plan_problems(lists: &Lists) -> KeyedProblems {
    let mut found = KeyedProblems::new();
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

fn grant_problems(key: &str, class: Option<&Class>, grant: &Grant, found: &mut KeyedProblems) {
    let tier = grant.tier;
    if !(1..=LOWEST_TIER).contains(&tier) {
        found.push((format!("{key}.tier"), Problem::InvalidTier { tier }));
    }
    let mut limits =
        vec![("requests_per_minute", grant.requests_per_minute), ("streams", grant.streams)];
    if class.is_some_and(|c| c.service.is_empty()) {
        limits.push(("tokens_per_minute", grant.tokens_per_minute));
    }
    let missing = limits.iter().filter(|(_, limit)| *limit == 0);
    found.extend(missing.map(|(name, _)| (format!("{key}.{name}"), Problem::MissingLimit)));
}

fn pool_problems(lists: &Lists) -> KeyedProblems {
    let mut found = KeyedProblems::new();
    for pool in lists.grants.pools.keys() {
        if !lists.grants.classes.values().any(|c| c.pool_name() == pool) {
            found.push((format!("pools.{pool}"), Problem::UnusedPool { pool: pool.clone() }));
        }
    }
    found
}

fn floor_problems(lists: &Lists) -> KeyedProblems {
    let mut found = KeyedProblems::new();
    for (name, class) in &lists.grants.classes {
        if class.floor > 0.0 && pool_capacity_per_minute(lists, class) == 0 {
            let has_model = class.service.is_empty();
            let limit = if has_model { "tokens_per_minute" } else { "requests_per_minute" };
            let problem = Problem::MissingCapacity { pool: class.pool_name().to_string(), limit };
            found.push((format!("classes.{name}.floor"), problem));
        }
    }
    for shortfall in shortfalls(lists) {
        let pool = lists.grants.classes[shortfall.class].pool_name().to_string();
        let (tier, needed_per_minute, capacity_per_minute) =
            (shortfall.tier, shortfall.needed_per_minute, shortfall.capacity_per_minute);
        let problem =
            Problem::InsufficientCapacity { tier, pool, needed_per_minute, capacity_per_minute };
        found.push((format!("classes.{}.floor", shortfall.class), problem));
    }
    found
}

fn share_problems(lists: &Lists) -> KeyedProblems {
    let mut found = KeyedProblems::new();
    let mut sum = 0;
    for (data_centre, share) in &lists.grants.shares {
        let key = format!("shares.{data_centre}");
        check_name(&key, data_centre, &mut found);
        match to_thousandths(*share) {
            Some(thousandths) if thousandths > 0 => sum += thousandths,
            _ => found.push((key, Problem::InvalidShare { share: share.to_string() })),
        }
    }
    if sum > FULL_SHARE_THOUSANDTHS {
        found.push(("shares".to_string(), Problem::SharesExceedWhole { thousandths: sum }));
    }
    found
}
