//! What a change of the reader costs on its link.

use fleet::measure_succession;
use rstest::rstest;

/// A follower gives up a poll after 0.8 s; by then all of them must have been served.
const POLL_SECONDS: f64 = 0.8;

#[rstest]
#[case(80, 90, 10.0)]
#[case(300, 166, 20.0)]
#[case(360, 930, 20.0)]
fn new_reader_serves_all_followers_before_they_give_it_up(
    #[case] daemons: usize,
    #[case] endpoints: usize,
    #[case] megabits: f64,
    #[values(0, 22)] departures: usize,
) {
    let cost = measure_succession(daemons, endpoints, departures, megabits);
    assert!(cost.difference_seconds < POLL_SECONDS, "{cost:?}");
}
