//! Runs the soak test of the gateway for a short time with fixed seeds.

use std::process::Command;

/// The seeds of the runs. A seed that failed once is added, with the cause of the failure.
///
/// 201: in a second with many log lines about successful requests, the rate limit of the log left
/// out lines about refusals.
///
/// 3001: a stream with neither a length nor chunks that was cut before its first event was completed.
const SEEDS: [u64; 4] = [1, 2, 201, 3001];

/// A run with prompts is longer, since gateways have four seconds to act on what they observe.
const PROMPT_RUN: [&str; 7] =
    ["--prompts", "--first-seed", "1", "--seconds", "12", "--gateways", "3"];

/// The same with a request that crashes endpoints and comes again.
const REPETITION_RUN: [&str; 7] =
    ["--repetitions", "--first-seed", "1", "--seconds", "12", "--gateways", "3"];

/// The same with several software versions, while all gateways are killed at times.
///
/// 408: a request was on its way to an endpoint that returned with the other version.
const VERSION_SEEDS: [&str; 2] = ["1", "408"];

/// A run in which one gateway is cut off from all endpoints at times.
const CUT_RUN: [&str; 8] =
    ["--versions", "--cuts", "--first-seed", "2", "--seconds", "8", "--gateways", "3"];

/// A run with odd bytes from other writers and from endpoints, and thousands of routes.
const ODD_RUN: [&str; 7] = ["--odd", "--first-seed", "1", "--seconds", "8", "--gateways", "3"];

/// A run in which the store turns single gateways away while the configuration and the registry change.
const OUTAGE_RUN: [&str; 7] =
    ["--outages", "--first-seed", "1", "--seconds", "14", "--gateways", "4"];

/// The same with changes in quick succession, and with refusals.
const SERIES_RUN: [&str; 8] =
    ["--outages", "--series", "--first-seed", "1", "--seconds", "10", "--gateways", "6"];

/// A run in which endpoints fail most requests while gateways are killed in turn. A process that starts
/// again used to spend what its predecessor had spent.
const RETRY_RUN: [&str; 10] = [
    "--retries",
    "kills",
    "--first-seed",
    "1",
    "--seconds",
    "20",
    "--gateways",
    "5",
    "--clients",
    "30",
];

#[test]
fn retries_stay_within_their_budget_while_gateways_are_killed_in_a_short_soak_run() {
    run_soak(&RETRY_RUN);
}

#[test]
fn gateways_follow_changes_in_quick_succession_in_a_short_soak_run() {
    run_soak(&SERIES_RUN);
}

#[test]
fn gateways_follow_changes_while_the_store_turns_others_away_in_a_short_soak_run() {
    run_soak(&OUTAGE_RUN);
}

#[test]
fn gateways_keep_their_guarantees_with_odd_bytes_in_a_short_soak_run() {
    run_soak(&ODD_RUN);
}

#[test]
fn gateways_keep_their_guarantees_while_one_reaches_no_endpoint_in_a_short_soak_run() {
    run_soak(&CUT_RUN);
}

#[test]
fn gateways_let_streams_go_on_only_at_their_software_version_in_a_short_soak_run() {
    for seed in VERSION_SEEDS {
        run_soak(&["--versions", "--first-seed", seed, "--seconds", "8", "--gateways", "3"]);
    }
}

#[test]
fn gateways_keep_a_repeated_crashing_request_from_endpoints_in_a_short_soak_run() {
    run_soak(&REPETITION_RUN);
}

#[test]
fn gateways_keep_crashing_prompts_and_limits_in_a_short_soak_run() {
    run_soak(&PROMPT_RUN);
}

#[test]
fn gateway_keeps_its_guarantees_in_a_short_soak_run() {
    for seed in SEEDS {
        run_soak(&["--first-seed", &seed.to_string(), "--seconds", "5"]);
    }
}

fn run_soak(args: &[&str]) {
    fakes::build_programs().unwrap();
    let soak = fakes::binary("chervilspur-soak").unwrap();
    let output = Command::new(soak).args(args).output().unwrap();
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    assert!(output.status.success(), "{text}");
}
