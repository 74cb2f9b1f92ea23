//! Parsing and checking of the two list files: plans and grants.

use config::{ListError, Lists, Source, check_lists};
use rstest::rstest;

const PLANS: &str = include_str!("data/plans.toml");
const GRANTS: &str = include_str!("data/grants.toml");

fn check(plans: &str, grants: &str) -> Result<Lists, Vec<ListError>> {
    let plans = Source { file: "plans.toml", text: plans };
    check_lists(plans, Source { file: "grants.toml", text: grants })
}

fn joined_texts(errors: Vec<ListError>) -> String {
    let lines: Vec<String> = errors.iter().map(ListError::to_string).collect();
    lines.join("\n")
}

#[test]
fn check_lists_reads_both_files() {
    let lists = check(PLANS, GRANTS).map_err(joined_texts).unwrap();
    assert_eq!(lists.plans.accounts["sur"].plan, "gold");
    assert_eq!(lists.grants.plans["silver"].classes["digest"].tier, 4);
    assert_eq!(lists.grants.classes["digest"].floor, 0.1);
}

#[rstest]
#[case("plan = \"gold\"", "plan = \"golden\"", "2: accounts.sur.plan: unknown plan \"golden\"")]
#[case("[accounts.sur]", "[accounts.Sur]", "1: accounts.Sur: the name \"Sur\" is not made of")]
#[case("2222", "22G2", "7: accounts.keepers.key_sha256: not a SHA-256 of 64 lower-case")]
#[case("22222222", "22", "7: accounts.keepers.key_sha256: not a SHA-256 of 64 lower-case")]
#[case("2222", "1111", "3: accounts.sur.key_sha256: client account \"keepers\" has the same key")]
#[case("\"gold\"", "7", "2: accounts.sur.plan: invalid type")]
#[case(
    "plan = \"gold\"",
    "plan = \"gold\"\nplan = \"gold\"",
    "3: accounts.sur.plan: duplicate key"
)]
#[case("plan = \"gold\"\n", "", "1: accounts.sur: missing field `plan`")]
#[case("plan = \"silver\"", "plam = \"silver\"", "6: accounts.keepers.plam: unknown field")]
#[case("[accounts.sur]", "[accounts.sur", "1: unclosed table, expected")]
#[case("[accounts.sur]", "", "3: key_sha256: unknown field")]
fn check_lists_rejects_faulty_plans(#[case] from: &str, #[case] to: &str, #[case] expected: &str) {
    let plans = if from == "2222" {
        PLANS.replace(&from.repeat(16), &to.repeat(16))
    } else {
        PLANS.replacen(from, to, 1)
    };
    let found = joined_texts(check(&plans, GRANTS).unwrap_err());
    let expected = format!("plans.toml:{expected}");
    assert!(found.lines().any(|line| line.starts_with(&expected)), "{found}");
}

#[rstest]
#[case("tier = 4", "tier = 5", "36: plans.silver.classes.digest.tier: tier 5 is not between 1")]
#[case("tier = 1", "tier = 0", "25: plans.gold.classes.plan.tier: tier 0 is not between 1 and 4")]
#[case("tier = 1", "tier = -1", "25: plans.gold.classes.plan.tier: invalid value")]
#[case(
    "[plans.silver.classes.digest]",
    "[plans.silver.classes.digests]",
    "35: plans.silver.classes.digests: unknown class \"digests\""
)]
#[case(
    "first_token_ms = 580, ",
    "",
    "7: classes.plan.target.first_token_ms: the target is missing"
)]
#[case("finish_ms = 600000", "", "14: classes.digest.target.finish_ms: the target is missing")]
#[case(
    "target = { finish_ms = 5000 }",
    "",
    "19: classes.booking.target.finish_ms: the target is missing"
)]
#[case("20000 }", "500 }", "7: classes.plan.target.finish_ms: finish_ms = 500 is below first")]
#[case(
    "service = \"booking\"",
    "",
    "19: classes.booking: exactly one of model and service must be set"
)]
#[case(
    "service = \"booking\"",
    "service = \"booking\"\nmodel = \"campo-8b\"",
    "19: classes.booking: exactly one of model and service must be set"
)]
#[case("floor = 0.1", "floor = 1.1", "12: classes.digest.floor: floor 1.1 is not between 0 and 1")]
#[case("floor = 0.1", "floor = 0.0001", "12: classes.digest.floor: floor 0.0001 is not between")]
#[case("floor = 0.1", "floor = nan", "12: classes.digest.floor: floor NaN is not between 0 and 1")]
#[case(
    "floor = 0.1",
    "floor = 0.101",
    "12: classes.digest.floor: the floor exceeds the capacity of its pool: the limits of the \
     tiers above 4 and the floors need 100100 per minute, campo-8b has 100000"
)]
#[case(
    "[pools.campo-8b]\ntokens_per_minute = 100000",
    "",
    "11: classes.digest.floor: the floor needs tokens_per_minute in pools.campo-8b"
)]
#[case("[pools.campo-8b]", "[pools.campo-9b]", "1: pools.campo-9b: no class has \"campo-9b\" as")]
#[case("streams = 1", "streams = 0", "39: plans.silver.classes.digest.streams: the limit must")]
#[case(
    "tokens_per_minute = 20000",
    "",
    "35: plans.silver.classes.digest.tokens_per_minute: the limit must be at least 1"
)]
#[case("[classes.booking]", "[classes.plan]", "19: classes.plan: duplicate key")]
#[case("[classes.booking]", "[classes.Booking]", "19: classes.Booking: the name \"Booking\" is")]
#[case("[plans.silver.", "[plans.sil_ver.", "35: plans.sil_ver: the name \"sil_ver\" is not made")]
#[case(
    "minute = 60\n",
    "minute = 0\n",
    "26: plans.gold.classes.plan.requests_per_minute: the limit"
)]
#[case(
    "repeatable = false",
    "repeatable = false\nfloor = 0.5",
    "22: classes.booking.floor: the floor needs requests_per_minute in pools.booking"
)]
#[case(
    "repeatable = true",
    "repeatable = false",
    "6: classes.plan.repeatable: a class with a model"
)]
#[case("repeatable = true\n", "", "4: classes.plan: missing field `repeatable`")]
#[case(
    "[classes.plan]",
    "[shares]\nnorte = 0.7\nsur = 0.4\n\n[classes.plan]",
    "4: shares: the shares add up to 1100 thousandths, more than 1000"
)]
#[case("[classes.plan]", "[shares]\nnorte = 0\n\n[classes.plan]", "5: shares.norte: share 0 is")]
#[case(
    "[classes.plan]",
    "[shares]\nnorte = 1.5\n\n[classes.plan]",
    "5: shares.norte: share 1.5 is"
)]
#[case("streams = 1", "streams = 1\nburst = 5", "40: plans.silver.classes.digest.burst: unknown")]
fn check_lists_rejects_faulty_grants(#[case] from: &str, #[case] to: &str, #[case] expected: &str) {
    let grants = GRANTS.replacen(from, to, 1);
    assert_ne!(grants, GRANTS);
    let found = joined_texts(check(PLANS, &grants).unwrap_err());
    let expected = format!("grants.toml:{expected}");
    assert!(found.lines().any(|line| line.starts_with(&expected)), "{found}");
}

#[rstest]
#[case::without_shares("", 1.0, 1.0)]
#[case::with_shares("[shares]\nnorte = 0.6\nsur = 0.4\n\n", 0.6, 0.0)]
fn shares_divide_limits_among_data_centres(
    #[case] shares: &str,
    #[case] norte: f64,
    #[case] unlisted: f64,
) {
    let lists = check(PLANS, &format!("{shares}{GRANTS}")).unwrap();
    assert_eq!(lists.grants.share_of("norte"), norte);
    assert_eq!(lists.grants.share_of("rionegro"), unlisted);
}

#[test]
fn check_lists_rejects_a_floor_that_more_accounts_push_over_the_pool_capacity() {
    let key = "3".repeat(64);
    let plans = format!("{PLANS}\n[accounts.norte]\nplan = \"gold\"\nkey_sha256 = \"{key}\"\n");
    let found = joined_texts(check(&plans, GRANTS).unwrap_err());
    assert!(found.contains("need 190000 per minute, campo-8b has 100000"), "{found}");
}

#[test]
fn check_lists_reports_the_errors_of_both_files_together() {
    let plans = PLANS.replace("gold", "golden");
    let grants = GRANTS.replace("tier = 4", "tier = 9").replace("streams = 8", "streams = 0");
    let found = check(&plans, &grants).unwrap_err();
    assert_eq!(found.len(), 4, "{}", joined_texts(found));
}
