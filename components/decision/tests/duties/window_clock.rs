//! Which usage window a point in time belongs to.

use decision::Millis;
use decision::duties::WindowClock;

const WINDOW: Millis = Millis(5_000);

#[test]
fn window_begins_at_its_number_times_its_length_of_unix_time() {
    let clock = WindowClock::new(Millis(1_767_225_601_250), Millis(40_000), WINDOW);
    assert_eq!(clock.window(Millis(40_000)), 353_445_120);
    assert_eq!(clock.start(353_445_120), Millis(38_750));
    assert_eq!(clock.window(Millis(43_749)), 353_445_120);
    assert_eq!(clock.end(353_445_120), Millis(43_750));
    assert_eq!(clock.window(Millis(43_750)), 353_445_121);
}

/// The daemon's clock counts suspension, so windows go on meanwhile; a time before the reading belongs to
/// an earlier window.
#[test]
fn windows_follow_the_clock_of_the_daemon_in_both_directions() {
    let clock = WindowClock::new(Millis(1_000_000), Millis(500_000), WINDOW);
    assert_eq!(clock.window(Millis(500_000) + Millis(3_600_000)), 200 + 720);
    assert_eq!(clock.window(Millis(499_999)), 199);
    assert_eq!(clock.start(0), Millis(0));
}
