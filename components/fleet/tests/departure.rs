//! How soon all daemons know that an endpoint leaves, which it says to one of them.

use decision::Millis;
use fleet::measure_departure;
use rstest::rstest;

/// The time after which no request may be sent to the endpoint (`drain_ms`).
const DRAIN_TIME: Millis = Millis(3_000);
/// The same on the deployments with hundreds of daemons.
const LARGE_DRAIN_TIME: Millis = Millis(5_000);

#[rstest]
#[case::small(7, false, DRAIN_TIME)]
#[case::medium(80, false, DRAIN_TIME)]
#[case::large(300, false, DRAIN_TIME)]
#[case::large_with_readers_lost(300, true, LARGE_DRAIN_TIME)]
fn all_daemons_know_of_a_departure_within_the_drain_time(
    #[case] daemons: usize,
    #[case] loses_readers: bool,
    #[case] limit: Millis,
    #[values(1, 2, 3)] seed: u64,
) {
    let time = measure_departure(daemons, loses_readers, seed);
    assert!(time.is_some_and(|time| time <= limit), "{time:?}");
}
