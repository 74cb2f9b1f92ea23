//! Whether streams go on only at the software version that began them, in fleets of all sizes.

use fleet::{StreamFaults, measure_streams};
use rstest::rstest;

#[rstest]
fn no_stream_is_joined_and_most_go_on(
    #[values(7, 80, 300)] daemons: usize,
    #[values(
        StreamFaults::Interruptions,
        StreamFaults::AllKilled,
        StreamFaults::HalfCutOff,
        StreamFaults::StoreAway
    )]
    faults: StreamFaults,
    #[values(1, 2)] seed: u64,
) {
    let result = measure_streams(daemons, faults, seed);
    assert_eq!(result.joined, 0, "{result:?}");
    assert!(result.continued >= 12, "{result:?}");
    // All new streams begin here, so at least half of those that are continued must go on; while
    // the store or the daemon's way to it is disturbed, that is not asked.
    let is_calm = matches!(faults, StreamFaults::Interruptions | StreamFaults::AllKilled);
    assert!(!is_calm || result.went_on * 2 >= result.continued, "{result:?}");
}
