//! A short seeded run of the soak.

use std::process::Command;

/// Seeds of each run; a seed that ever failed is added with a line on its cause.
///
/// 201: the quota of the log left out refusals in a second with many lines about requests that went
/// well.
const SEEDS: [u64; 3] = [1, 2, 201];

#[test]
fn keeps_its_promises_in_a_short_soak() {
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
