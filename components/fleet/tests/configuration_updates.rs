//! The cost of changes of the configuration, over the links of small instances.

use fleet::measure_update;
use rstest::rstest;

/// The time within which a confirmed configuration must be in force, in seconds, at the two sizes.
#[rstest]
#[case(80, 10.0, 4.0)]
#[case(300, 20.0, 5.0)]
fn thousands_of_added_routes_reach_all_followers_within_the_bound(
    #[case] daemons: usize,
    #[case] megabits: f64,
    #[case] bound: f64,
    #[values(1_400, 2_800, 4_200)] added: usize,
) {
    let cost = measure_update(added, daemons, megabits);
    assert!(cost.change_seconds < bound, "{cost:?}");
}
