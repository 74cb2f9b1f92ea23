//! Randomised runs of a small fleet under loss, pauses, cuts, outages and older stores.

use fleet::random_run;
use rstest::rstest;

#[rstest]
fn can_agree_after_any_faults(#[values(1, 2, 3, 4, 5, 6, 7, 8, 9, 10)] seed: u64) {
    random_run(6, seed);
}
