//! Which prompt parts are kept from endpoints, and from which evidence.

use decision::Millis;
use decision::routing::{Content, Judgement, NoticeId, Prompt, PromptPart, Quarantine};
use messages::feed::CrashNotice;
use rstest::rstest;
use std::collections::BTreeSet;

const OWN: u64 = 1;
const OTHER: u64 = 2;
/// The time that a request runs before its endpoint crashes.
const RAN: u64 = 100;
/// A part that all requests have in common, and one that crashes endpoints.
const FIRST: u64 = 0xf1;
const BAD: u64 = 0xbad;

/// The contents of a prompt with these shared parts.
fn contents(parts: &[u64]) -> BTreeSet<Content> {
    // The last part belongs to the request alone.
    let ids = parts.iter().copied().chain([u64::MAX]);
    let parts = ids.map(|id| PromptPart { id, tokens: 100 }).collect();
    Prompt { parts, tokens: 300, answer_tokens: 10 }.contents().collect()
}

fn part_ids(contents: &[Content]) -> Vec<u64> {
    Content::split(contents).0
}

/// A quarantine, with the number of crashes recorded so far.
struct Recorder {
    quarantine: Quarantine,
    crashes: u64,
    /// The parts that the reporters of crashes completed recently.
    proven: Vec<u64>,
}

impl Recorder {
    fn new() -> Recorder {
        Recorder { quarantine: Quarantine::new(OWN), crashes: 0, proven: Vec::new() }
    }

    /// Records the crash of an endpoint of its own.
    fn crash(&mut self, origin: u64, parts: &[u64], crashed_at: u64) -> Vec<u64> {
        let endpoint = format!("i-{}", self.crashes + 1);
        self.record(origin, &endpoint, parts, crashed_at)
    }

    /// Records the crash of an endpoint that had other requests as well.
    fn crash_at(&mut self, endpoint: &str, parts: &[u64], crashed_at: u64) -> Vec<u64> {
        self.record(OTHER, endpoint, parts, crashed_at)
    }

    fn record(&mut self, origin: u64, endpoint: &str, parts: &[u64], crashed_at: u64) -> Vec<u64> {
        self.crashes += 1;
        let id = NoticeId { origin, sequence: self.crashes };
        let notice = CrashNotice {
            service: String::from("pool"),
            endpoint: endpoint.to_owned(),
            parts: parts.to_vec(),
            proven: self.proven.clone(),
            request: None,
            has_begun: true,
            ran_ms: RAN,
        };
        part_ids(&self.quarantine.record_crash(id, &notice, Millis(crashed_at)))
    }

    fn judge(&self, parts: &[u64], now: u64) -> Judgement {
        self.quarantine.judge("pool", &contents(parts), Millis(now))
    }

    fn is_condemned(&self, parts: &[u64], now: u64) -> bool {
        matches!(self.judge(parts, now), Judgement::Condemned(_))
    }

    fn complete(&mut self, parts: &[u64], at: u64) -> Vec<u64> {
        part_ids(&self.quarantine.record_completion("pool", &contents(parts), Millis(at)))
    }
}

#[test]
fn part_is_condemned_after_three_crashes_in_a_row() {
    let mut recorder = Recorder::new();
    assert!(recorder.crash(OWN, &[FIRST, BAD], 1_000).is_empty());
    assert_eq!(recorder.judge(&[FIRST, BAD], 1_000), Judgement::Admitted);
    recorder.crash(OTHER, &[FIRST, BAD], 2_000);
    assert_eq!(recorder.judge(&[FIRST, BAD], 2_000), Judgement::Suspected);
    assert_eq!(recorder.crash(OTHER, &[FIRST, BAD], 3_000), [FIRST, BAD]);
    assert!(recorder.is_condemned(&[FIRST, BAD], 3_000));
}

#[test]
fn requests_that_share_only_sound_parts_with_those_that_crash_endpoints_are_admitted() {
    let mut recorder = Recorder::new();
    for at in [1_000, 2_000, 3_000] {
        recorder.crash(OTHER, &[FIRST, BAD], at);
    }
    assert_eq!(recorder.judge(&[FIRST, 0xc2], 3_000), Judgement::Admitted);
    // Nothing has told the two parts apart yet, so one of them alone is let through.
    assert_eq!(recorder.judge(&[BAD], 3_000), Judgement::Admitted);
    recorder.complete(&[FIRST, 0xc2], 3_500);
    assert!(recorder.is_condemned(&[BAD], 3_500));
    assert!(recorder.is_condemned(&[0xc3, BAD, 0xc4], 3_500));
}

#[test]
fn part_without_completions_is_told_apart_by_a_crash_without_it() {
    let mut recorder = Recorder::new();
    for at in [1_000, 2_000, 3_000] {
        recorder.crash(OTHER, &[FIRST, BAD], at);
    }
    recorder.crash(OTHER, &[0xc2, BAD], 4_000);
    assert!(recorder.is_condemned(&[BAD], 4_000));
    assert_eq!(recorder.judge(&[FIRST, 0xc2], 4_000), Judgement::Admitted);
}

/// Crashes of neighbours count against a part that is in most requests, though it completes elsewhere.
/// It is condemned only if it has begun to crash endpoints itself, once all reports have arrived.
#[test]
fn part_that_was_completed_shortly_before_is_condemned_after_five_crashes_that_all_have_reported() {
    let mut recorder = Recorder::new();
    recorder.crash(OTHER, &[FIRST], 1_000);
    recorder.crash(OTHER, &[FIRST], 2_000);
    recorder.complete(&[FIRST], 2_500);
    for at in [3_000, 4_000, 5_000, 6_000, 7_000] {
        assert!(recorder.crash(OTHER, &[FIRST], at).is_empty());
        assert_eq!(recorder.judge(&[FIRST], 8_999) == Judgement::Suspected, at > 3_000);
    }
    assert!(recorder.is_condemned(&[FIRST], 9_000));
    recorder.quarantine.expire(Millis(9_000));
    assert_eq!(recorder.complete(&[FIRST], 9_500), [FIRST]);
    assert_eq!(recorder.judge(&[FIRST], 9_500), Judgement::Admitted);
}

#[test]
fn part_that_other_daemons_completed_shortly_before_needs_five_crashes_as_well() {
    let mut recorder = Recorder { proven: vec![FIRST], ..Recorder::new() };
    for at in [1_000, 2_000, 3_000, 4_000] {
        recorder.crash(OTHER, &[FIRST, at], at);
    }
    assert!(!recorder.is_condemned(&[FIRST], 10_000));
    recorder.crash(OTHER, &[FIRST, 5_000], 5_000);
    assert!(recorder.is_condemned(&[FIRST], 10_000));
}

/// Sound requests with a common part run at each endpoint that another request crashes.
#[test]
fn part_of_the_neighbours_of_requests_that_crash_endpoints_is_not_condemned() {
    let mut recorder = Recorder { proven: vec![FIRST], ..Recorder::new() };
    for n in 0..20 {
        let at = 1_000 + 300 * n;
        recorder.crash_at(&format!("i-{n}"), &[BAD, 0x100 + n], at);
        for neighbour in 0..10 {
            recorder.crash_at(&format!("i-{n}"), &[FIRST, 0x1000 + 10 * n + neighbour], at + 10);
        }
    }
    assert!(recorder.is_condemned(&[BAD, 0x99], 20_000));
    assert_eq!(recorder.judge(&[FIRST, 0x99], 20_000), Judgement::Admitted);
}

/// The same for a part without completions: it has fewer crashes than the one that causes them.
#[test]
fn seldom_used_part_of_the_neighbours_is_not_condemned_either() {
    let mut recorder = Recorder::new();
    for n in 0..8 {
        let at = 1_000 + 300 * n;
        recorder.crash_at(&format!("i-{n}"), &[BAD, 0x100 + n], at);
        if n % 2 == 0 {
            recorder.crash_at(&format!("i-{n}"), &[0x5e, 0x200 + n], at + 10);
        }
    }
    assert!(recorder.is_condemned(&[BAD], 5_000));
    assert_eq!(recorder.judge(&[0x5e], 5_000), Judgement::Admitted);
}

#[test]
fn three_parts_that_crash_endpoints_at_the_same_time_are_all_condemned() {
    let mut recorder = Recorder { proven: vec![FIRST], ..Recorder::new() };
    for n in 0..15 {
        let at = 1_000 + 150 * n;
        recorder.crash_at(&format!("i-{n}"), &[BAD + n % 3, 0x1000 + n], at);
        recorder.crash_at(&format!("i-{n}"), &[FIRST, 0x2000 + n], at + 10);
    }
    for part in [BAD, BAD + 1, BAD + 2] {
        assert!(recorder.is_condemned(&[part], 5_000), "{part:x}");
    }
    assert_eq!(recorder.judge(&[FIRST, 0x99], 5_000), Judgement::Admitted);
}

#[test]
fn last_part_that_several_requests_have_is_condemned() {
    let mut recorder = Recorder { proven: vec![FIRST], ..Recorder::new() };
    for n in 0..4 {
        recorder.crash_at(&format!("i-{n}"), &[FIRST, BAD], 1_000 + 500 * n);
    }
    assert!(recorder.is_condemned(&[FIRST, BAD], 3_000));
    assert_eq!(recorder.judge(&[FIRST, 0x99], 6_000), Judgement::Admitted);
}

/// A cause that comes seldom is not pushed out by the many requests that each crash breaks off.
#[test]
fn evidence_against_a_rare_part_outlasts_that_of_many_neighbours() {
    let mut recorder = Recorder { proven: vec![FIRST], ..Recorder::new() };
    for n in 0..4 {
        let at = 1_000 + 5_000 * n;
        recorder.crash_at(&format!("i-{n}"), &[BAD, 0x100 + n], at);
        for neighbour in 0..60 {
            recorder.crash_at(&format!("i-{n}"), &[FIRST, 0x1000 + 100 * n + neighbour], at);
        }
        recorder.quarantine.expire(Millis(at + 1_000));
    }
    assert!(recorder.is_condemned(&[BAD], 20_000));
}

#[test]
fn crash_that_is_reported_after_a_later_completion_is_no_evidence() {
    let mut recorder = Recorder::new();
    recorder.complete(&[FIRST], 5_500);
    for at in [1_000, 2_000, 3_000, 4_000, 5_000] {
        assert!(recorder.crash(OTHER, &[FIRST], at).is_empty());
    }
    assert_eq!(recorder.judge(&[FIRST], 5_500), Judgement::Admitted);
}

#[test]
fn own_completions_count_at_once_and_are_reported_only_for_suspected_parts() {
    let mut recorder = Recorder::new();
    let first = contents(&[FIRST]);
    recorder.crash(OTHER, &[FIRST], 1_000);
    assert!(recorder.quarantine.record_own_completion("pool", &first, Millis(1_200)).is_empty());
    recorder.crash(OTHER, &[FIRST], 2_000);
    recorder.crash(OTHER, &[FIRST], 3_000);
    assert_eq!(recorder.judge(&[FIRST], 3_000), Judgement::Suspected);
    let reported = recorder.quarantine.record_own_completion("pool", &first, Millis(3_200));
    assert_eq!(part_ids(&reported), [FIRST]);
    assert_eq!(recorder.judge(&[FIRST], 3_200), Judgement::Admitted);
    assert!(recorder.crash(OTHER, &[FIRST], 4_000).is_empty());
}

/// A rack or a network that fails ends the endpoints of many requests with the same parts at once.
#[test]
fn endpoints_that_crash_together_condemn_nothing() {
    let mut recorder = Recorder::new();
    for at in 0..50 {
        assert!(recorder.crash(OTHER, &[FIRST, BAD], 1_000 + at).is_empty());
    }
    assert_eq!(recorder.judge(&[FIRST, BAD], 1_050), Judgement::Admitted);
}

/// The requests of a seldom used session are broken off each time that half of the endpoints crash.
#[test]
fn part_that_few_of_the_endpoints_had_that_crashed_together_is_not_condemned() {
    let mut recorder = Recorder::new();
    for at in [1_000, 4_000, 7_000, 10_000] {
        for endpoint in 0..6 {
            let session = if endpoint == 0 { 0x5e } else { 0x100 + at + endpoint };
            recorder.crash(OTHER, &[session], at + endpoint);
        }
    }
    assert_eq!(recorder.judge(&[0x5e], 10_010), Judgement::Admitted);
}

#[test]
fn part_of_the_requests_under_which_endpoints_crash_together_is_condemned() {
    let mut recorder = Recorder::new();
    for at in [1_000, 4_000, 7_000] {
        recorder.crash(OTHER, &[0x5e, BAD], at);
        recorder.crash(OTHER, &[0x5f, BAD], at + 20);
    }
    assert!(recorder.is_condemned(&[0x60, BAD], 7_100));
}

#[test]
fn two_crashes_in_a_row_suffice_after_five_endpoints() {
    let mut recorder = Recorder::new();
    for at in 0..4 {
        recorder.crash(OTHER, &[BAD], 1_000 + at);
    }
    assert_eq!(recorder.crash(OTHER, &[BAD], 2_000), [BAD]);
}

#[rstest]
#[case(OWN, true)]
#[case(OTHER, false)]
fn condemned_part_is_tried_again_only_by_the_daemon_that_observed_the_last_crash(
    #[case] origin: u64,
    #[case] is_tried: bool,
) {
    let mut recorder = Recorder::new();
    for at in [1_000, 2_000, 3_000] {
        recorder.crash(origin, &[BAD], at);
    }
    assert!(recorder.is_condemned(&[BAD], 62_999));
    assert_eq!(recorder.judge(&[BAD], 63_000) == Judgement::Trial(Content::Part(BAD)), is_tried);
    recorder.quarantine.start_trial("pool", Content::Part(BAD), Millis(63_000));
    assert!(recorder.is_condemned(&[BAD], 63_000));
    // The trial crashed its endpoint, so the next one follows after twice the time.
    recorder.crash(origin, &[BAD], 63_500);
    assert!(recorder.is_condemned(&[BAD], 183_499));
    assert_eq!(recorder.judge(&[BAD], 183_500) == Judgement::Trial(Content::Part(BAD)), is_tried);
}

#[test]
fn condemnation_ends_ten_minutes_after_the_last_crash() {
    let mut recorder = Recorder::new();
    for at in [1_000, 2_000, 3_000] {
        recorder.crash(OTHER, &[BAD], at);
    }
    recorder.quarantine.expire(Millis(600_999));
    assert_eq!(recorder.quarantine.condemned_contents(), 1);
    recorder.quarantine.expire(Millis(603_000));
    assert_eq!(recorder.quarantine.condemned_contents(), 0);
    assert_eq!(recorder.judge(&[BAD], 603_000), Judgement::Admitted);
}

#[test]
fn evidence_is_limited_and_that_against_condemned_parts_is_kept() {
    let mut recorder = Recorder::new();
    for at in [1_000, 2_000, 3_000] {
        recorder.crash(OTHER, &[BAD], at);
    }
    for n in 0..2_000 {
        recorder.crash(OTHER, &[0x1_0000 + n], 4_000 + n);
    }
    recorder.quarantine.expire(Millis(7_000));
    assert!(recorder.is_condemned(&[BAD], 7_000));
    let evidence = recorder.quarantine.evidence();
    assert!(evidence.contains(&NoticeId { origin: OTHER, sequence: 1 }));
    let kept = (0..2_000)
        .filter(|n| recorder.quarantine.has_evidence("pool", &contents(&[0x1_0000 + n])))
        .count();
    assert_eq!(kept, 125);
}

#[test]
fn parts_are_judged_by_service() {
    let mut recorder = Recorder::new();
    for at in [1_000, 2_000, 3_000] {
        recorder.crash(OTHER, &[BAD], at);
    }
    let elsewhere = recorder.quarantine.judge("other", &contents(&[BAD]), Millis(3_000));
    assert_eq!(elsewhere, Judgement::Admitted);
}

#[test]
fn completion_is_news_only_while_there_is_evidence_from_before() {
    let mut recorder = Recorder::new();
    assert!(!recorder.quarantine.is_news("pool", &contents(&[FIRST]), Millis(1_500)));
    recorder.crash(OTHER, &[FIRST], 1_000);
    assert!(!recorder.quarantine.is_news("pool", &contents(&[FIRST]), Millis(500)));
    assert!(recorder.quarantine.is_news("pool", &contents(&[FIRST]), Millis(1_500)));
    recorder.complete(&[FIRST], 1_500);
    assert!(!recorder.quarantine.is_news("pool", &contents(&[FIRST]), Millis(1_600)));
}
