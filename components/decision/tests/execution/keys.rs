use decision::Millis;
use decision::execution::{IdempotencyKey, KeyError, KeyPolicy, RestoreDetector, Sweep};
use rstest::rstest;

const HOUR_MS: u64 = 3_600_000;

#[rstest]
#[case("1000-a_b-C9", true)]
#[case("1000-", false)]
#[case("-abc", false)]
#[case("abc", false)]
#[case("x1-abc", false)]
#[case("1000-a b", false)]
fn parses_only_well_formed_idempotency_keys(#[case] text: &str, #[case] valid: bool) {
    assert_eq!(text.parse::<IdempotencyKey>().is_ok(), valid);
}

#[rstest]
#[case(0, "ok")]
#[case(HOUR_MS, "ok")]
#[case(HOUR_MS + 1, "expired")]
fn rejects_expired_and_future_idempotency_keys(#[case] age: u64, #[case] expected: &str) {
    let key = IdempotencyKey { issued: Millis(20_000), random: "k".to_string() };
    let policy =
        KeyPolicy { retention: Millis(HOUR_MS), skew: Millis(10_000), ..KeyPolicy::default() };
    let result = policy.check(&key, Millis(20_000 + age));
    assert_eq!(matches!(result, Err(KeyError::Expired { .. })), expected == "expired");
    assert!(!policy.is_deletable(key.issued, Millis(20_000 + age)));
    let ahead = policy.check(&key, Millis(9_999));
    assert!(matches!(ahead, Err(KeyError::IssuedInFuture { .. })));
    assert!(policy.check(&key, Millis(10_000)).is_ok());
}

#[test]
fn rejects_keys_issued_before_a_store_restore() {
    let mut detector = RestoreDetector::default();
    let skew = KeyPolicy::default().skew;
    let seen = detector.max_version();
    assert!(detector.observe_write(7, seen, Millis(50_000), skew));
    let (first, second) = (detector.max_version(), detector.max_version());
    assert!(detector.observe_write(9, first, Millis(50_001), skew));
    assert!(
        detector.observe_write(8, second, Millis(50_002), skew),
        "responses may arrive out of order"
    );
    assert_eq!(detector.issued_from(), Millis(0));
    let seen = detector.max_version();
    assert!(!detector.observe_write(3, seen, Millis(60_000), skew));
    assert_eq!((detector.max_version(), detector.issued_from()), (3, Millis(60_000) + skew));
    let policy = KeyPolicy { issued_from: detector.issued_from(), ..KeyPolicy::default() };
    let key = IdempotencyKey { issued: Millis(60_000), random: "k".to_string() };
    let result = policy.check(&key, Millis(60_001));
    assert_eq!(result, Err(KeyError::RecordLost { random: "k".to_string() }));
}

#[test]
fn sweep_deletes_a_span_of_records_only_after_its_last_key_expires() {
    let policy = KeyPolicy { retention: Millis(HOUR_MS), ..KeyPolicy::default() };
    let mut sweep = Sweep::default();
    let now = Millis(100 * HOUR_MS);
    let mut last = None;
    while let Some(span) = sweep.due(&policy, now) {
        let last_issued = Millis((span + 1) * 60_000 - 1);
        assert!(policy.is_deletable(last_issued, now));
        sweep.finish(span);
        last = Some(span);
    }
    assert_eq!(last, Some(Sweep::span_of(Millis(99 * HOUR_MS)) - 2));
    assert!(sweep.due(&policy, now + Millis(50_000)).is_some());
}
