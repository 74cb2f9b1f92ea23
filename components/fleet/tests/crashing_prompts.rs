//! Requests that crash endpoints, at daemons that exchange what they observe.

use decision::Millis;
use fleet::{CrashConfig, measure_crashes};
use rstest::rstest;

/// Requests that may reach endpoints later than the contact time after the fifth crash under a part,
/// or the third under one request.
const MAX_SENT_LATE: usize = 3;
/// Percentage of sound requests that may be refused while endpoints crash all the time before they
/// respond: nine of ten are to be served.
const MAX_REFUSED_IN_STORM_PERCENT: usize = 10;

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

/// Requests that are broken off beside those that crash endpoints have their first part in common.
fn one_first_part() -> CrashConfig {
    CrashConfig { first_parts: 1, sound_per_s: 150.0, crashes_before_response: true, ..small() }
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

#[rstest]
#[case::often(CrashConfig { crashing_per_s: 7.5, ..one_first_part() })]
#[case::very_often(CrashConfig { crashing_per_s: 20.0, ..one_first_part() })]
#[case::seldom(CrashConfig { crashing_per_s: 0.7, ..one_first_part() })]
#[case::very_seldom(CrashConfig { crashing_per_s: 0.2, ..one_first_part() })]
#[case::three_parts(CrashConfig { crashing_parts: 3, crashing_per_s: 7.5, ..one_first_part() })]
#[case::four_daemons(CrashConfig { daemons: 4, crashing_per_s: 2.0, ..one_first_part() })]
#[case::after_the_head(CrashConfig {
    crashes_before_response: false,
    crashing_per_s: 7.5,
    ..one_first_part()
})]
fn sound_requests_are_admitted_beside_those_that_crash_endpoints_before_the_response(
    #[case] cfg: CrashConfig,
    #[values(1, 2, 3)] seed: u64,
) {
    let result = measure_crashes(CrashConfig { seed, ..cfg });
    assert!(result.sent_late <= MAX_SENT_LATE, "{result:?}");
    let max_refused = result.sound_sent * MAX_REFUSED_IN_STORM_PERCENT / 100;
    assert!(result.sound_refused <= max_refused, "{result:?}");
}

#[rstest]
#[case::one_part(1)]
#[case::three_parts(3)]
fn sound_requests_of_three_hundred_daemons_are_admitted_beside_those_that_crash_endpoints(
    #[case] crashing_parts: u64,
) {
    check(CrashConfig { crashing_parts, first_parts: 1, crashes_before_response: true, ..large() });
}
