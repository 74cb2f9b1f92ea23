//! Runs the soak test of the gateway for a short time with fixed seeds.

use std::process::Command;

/// The seeds of the runs. A seed that failed once is added, with the cause of the failure.
///
/// 201: in a second with many log lines about successful requests, the rate limit of the log left
/// out lines about refusals.
///
/// 3001: a stream with neither a length nor chunks that was cut before its first event was completed.
const SEEDS: [u64; 4] = [1, 2, 201, 3001];

#[test]
fn gateway_keeps_its_guarantees_in_a_short_soak_run() {
    fakes::build_programs().unwrap();
    for seed in SEEDS {
        let output = Command::new(fakes::binary("chervilspur-soak").unwrap())
            .args(["--first-seed", &seed.to_string(), "--seconds", "5"])
            .output()
            .unwrap();
        let text = String::from_utf8_lossy(&output.stdout).into_owned();
        assert!(output.status.success(), "{text}");
    }
}
