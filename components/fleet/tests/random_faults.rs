//! Randomised runs of a small fleet under packet loss, pauses, network partitions, store outages
//! and restores of older lists.

use fleet::run_random_faults;
use rstest::rstest;

#[rstest]
fn fleet_converges_after_random_faults(#[values(1, 2, 3, 4, 5, 6, 7, 8, 9, 10)] seed: u64) {
    run_random_faults(6, seed);
}
