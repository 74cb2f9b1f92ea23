use decision::Millis;
use decision::duties::CallRate;
use rstest::rstest;

/// Guards against a 429 for a call, which costs the time of a repetition.
#[rstest]
#[case(10.0, 10, 1_000)]
#[case(2.5, 2, 1_000)]
#[case(1.0, 1, 1_000)]
#[case(0.25, 1, 4_000)]
fn no_period_has_more_calls_than_are_accepted(
    #[case] per_second: f64,
    #[case] max_calls: usize,
    #[case] period: u64,
) {
    let mut rate = CallRate::default();
    let mut sent = Vec::new();
    for now in (0..30_000).map(Millis) {
        if rate.next_at(per_second, now) <= now {
            rate.record(per_second, now);
            sent.push(now.0);
        }
    }
    let most = sent.iter().map(|at| sent.iter().filter(|t| (*at..at + period).contains(t)).count());
    assert_eq!(most.max(), Some(max_calls));
    assert!(sent.len() as u64 >= 30_000 / (period + period / 5) * max_calls as u64);
}
