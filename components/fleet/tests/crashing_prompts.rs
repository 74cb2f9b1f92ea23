//! Requests that crash endpoints, at daemons that exchange what they observe.

use decision::Millis;
use fleet::{CrashConfig, measure_crashes};
use rstest::rstest;

/// Requests that may reach endpoints later than the contact time after the fifth crash under a part,
/// or the third under one request.
const MAX_SENT_LATE: usize = 3;

fn small() -> CrashConfig {
    CrashConfig::default()
}

fn large() -> CrashConfig {
    CrashConfig {
        daemons: 300,
        endpoints: 930,
        sound_per_s: 600.0,
        crashing_per_s: 10.0,
        contact_time: Millis(5_000),
        ..CrashConfig::default()
    }
}

fn check(cfg: CrashConfig) {
    let result = measure_crashes(cfg);
    assert!(result.sent_late <= MAX_SENT_LATE, "{result:?}");
    assert!(result.sound_refused * 100 <= result.sound_sent, "{result:?}");
}

#[rstest]
#[case::undisturbed(small())]
#[case::readers_lost(CrashConfig { loses_readers: true, ..small() })]
#[case::rare_requests(CrashConfig { crashing_per_s: 0.3, ..small() })]
#[case::separated_regions(CrashConfig { separated_for: Millis(3_000), ..small() })]
fn prompt_part_that_crashed_five_endpoints_of_seven_daemons_reaches_at_most_three_more(
    #[case] cfg: CrashConfig,
    #[values(1, 2, 3)] seed: u64,
) {
    check(CrashConfig { seed, ..cfg });
}

#[rstest]
#[case::undisturbed(large())]
#[case::readers_lost(CrashConfig { loses_readers: true, ..large() })]
fn prompt_part_that_crashed_five_endpoints_of_three_hundred_daemons_reaches_at_most_three_more(
    #[case] cfg: CrashConfig,
) {
    check(cfg);
}

#[rstest]
#[case::undisturbed(small())]
#[case::three_daemons(CrashConfig { daemons: 4, endpoints: 3, ..small() })]
#[case::readers_lost(CrashConfig { loses_readers: true, ..small() })]
#[case::rare_requests(CrashConfig { crashing_per_s: 0.3, ..small() })]
#[case::separated_regions(CrashConfig { separated_for: Millis(3_000), ..small() })]
#[case::large(large())]
#[case::large_with_readers_lost(CrashConfig { loses_readers: true, ..large() })]
fn request_that_crashed_three_endpoints_reaches_at_most_three_more_in_the_fleet(
    #[case] cfg: CrashConfig,
    #[values(1, 2, 3)] seed: u64,
) {
    check(CrashConfig { repeats: true, seed, ..cfg });
}
