//! Which whole requests are kept from endpoints, and from which evidence.

use decision::Millis;
use decision::routing::{Content, Judgement, NoticeId, Quarantine, request_digest};
use messages::feed::CrashNotice;
use rstest::rstest;

const BAD: u64 = 0xbad;
const SOUND: u64 = 0x50;
/// A prompt part that all requests have in common.
const FIRST: u64 = 0xf1;
/// The time that a request runs before its endpoint crashes.
const RAN: u64 = 50;
const DAY: u64 = 86_400_000;

#[derive(Default)]
struct Recorder {
    quarantine: Quarantine,
    crashes: u64,
}

impl Recorder {
    /// Records that an endpoint crashed under a request.
    fn crash(&mut self, endpoint: &str, digest: u64, crashed_at: u64) -> Vec<Content> {
        self.crash_with(endpoint, &[], digest, crashed_at)
    }

    /// Records that an endpoint crashed under a request with prompt parts, before it responded.
    fn crash_with(
        &mut self,
        endpoint: &str,
        parts: &[u64],
        digest: u64,
        crashed_at: u64,
    ) -> Vec<Content> {
        self.record(endpoint, parts, digest, false, crashed_at)
    }

    /// Records that an endpoint crashed after it had begun to respond to a request.
    fn crash_begun(
        &mut self,
        endpoint: &str,
        parts: &[u64],
        digest: u64,
        crashed_at: u64,
    ) -> Vec<Content> {
        self.record(endpoint, parts, digest, true, crashed_at)
    }

    fn record(
        &mut self,
        endpoint: &str,
        parts: &[u64],
        digest: u64,
        has_begun: bool,
        crashed_at: u64,
    ) -> Vec<Content> {
        self.crashes += 1;
        let id = NoticeId { origin: 1, sequence: self.crashes };
        let notice = CrashNotice {
            service: String::from("pool"),
            endpoint: endpoint.to_owned(),
            parts: parts.to_vec(),
            proven: Vec::new(),
            request: Some(digest),
            has_begun,
            ran_ms: RAN,
        };
        self.quarantine.record_crash(id, &notice, Millis(crashed_at))
    }

    fn judge(&self, digest: u64, now: u64) -> Judgement {
        let contents = Content::set(&[FIRST], Some(digest));
        self.quarantine.judge("pool", &contents, Millis(now))
    }

    fn is_condemned(&self, digest: u64, now: u64) -> bool {
        matches!(self.judge(digest, now), Judgement::Condemned(_))
    }

    fn crash_three_endpoints(&mut self) {
        for (endpoint, at) in [("a", 1_000), ("b", 1_100), ("c", 1_200)] {
            self.crash(endpoint, BAD, at);
        }
    }
}

#[test]
fn request_is_condemned_after_three_crashes_in_a_row() {
    let mut recorder = Recorder::default();
    assert!(!recorder.quarantine.watches_requests("pool"));
    recorder.crash("a", BAD, 1_000);
    assert!(recorder.quarantine.watches_requests("pool"));
    assert_eq!(recorder.judge(BAD, 1_000), Judgement::Admitted);
    recorder.crash("b", BAD, 1_100);
    assert_eq!(recorder.judge(BAD, 1_100), Judgement::Suspected);
    assert_eq!(recorder.crash("c", BAD, 1_200), [Content::Request(BAD)]);
    assert!(recorder.is_condemned(BAD, 1_200));
    assert_eq!(recorder.judge(SOUND, 1_200), Judgement::Admitted);
}

/// Requests that run at an endpoint as another one crashes it are answered at the next one.
#[test]
fn request_that_is_completed_after_a_crash_is_not_condemned() {
    let mut recorder = Recorder::default();
    for (endpoint, at) in [("a", 1_000), ("b", 5_000), ("c", 9_000), ("d", 13_000)] {
        recorder.crash(endpoint, BAD, at);
        recorder.crash(endpoint, SOUND, at);
        let contents = Content::set(&[], Some(SOUND));
        recorder.quarantine.record_completion("pool", &contents, Millis(at + 100));
    }
    assert!(recorder.is_condemned(BAD, 13_200));
    assert_eq!(recorder.judge(SOUND, 13_200), Judgement::Admitted);
}

/// Each endpoint of a rack ends under requests of its own, again and again.
#[test]
fn request_at_one_of_many_endpoints_that_crash_together_is_not_condemned() {
    let mut recorder = Recorder::default();
    for at in [1_000, 5_000, 9_000, 13_000] {
        for endpoint in 0..6 {
            let digest = if endpoint == 0 { SOUND } else { at + endpoint };
            recorder.crash(&format!("i-{at}-{endpoint}"), digest, at + endpoint);
        }
    }
    assert_eq!(recorder.judge(SOUND, 13_010), Judgement::Admitted);
}

#[test]
fn two_requests_that_crash_endpoints_at_the_same_time_are_both_condemned() {
    let mut recorder = Recorder::default();
    for at in [1_000, 5_000, 9_000] {
        recorder.crash(&format!("a-{at}"), BAD, at);
        recorder.crash(&format!("b-{at}"), BAD + 1, at + 10);
    }
    assert!(recorder.is_condemned(BAD, 9_100) && recorder.is_condemned(BAD + 1, 9_100));
}

/// Requests of an account may have the same body, and differ in the headers that state the prompt.
#[test]
fn digest_that_sound_requests_share_is_refused_only_together_with_the_parts_of_all_crashes() {
    let mut recorder = Recorder::default();
    for (endpoint, at) in [("a", 1_000), ("b", 1_100), ("c", 1_200)] {
        recorder.crash_with(endpoint, &[FIRST, 0x5e], BAD, at);
    }
    let judge = |parts: &[u64]| {
        let contents = Content::set(parts, Some(BAD));
        recorder.quarantine.judge("pool", &contents, Millis(1_200))
    };
    assert!(matches!(judge(&[FIRST, 0x5e]), Judgement::Condemned(_)));
    assert_eq!(judge(&[FIRST, 0x5f]), Judgement::Admitted);
}

/// Requests that are each new have only their prompt parts in common, and many engines crash before
/// they respond.
#[test]
fn part_of_requests_that_crash_endpoints_before_the_response_is_condemned() {
    let mut recorder = Recorder::default();
    for (endpoint, at) in [("a", 1_000), ("b", 1_100), ("c", 1_200)] {
        recorder.crash_with(endpoint, &[FIRST], at, at);
    }
    assert!(recorder.is_condemned(SOUND, 1_200));
    recorder.quarantine.record_completion("pool", &Content::set(&[FIRST], None), Millis(1_300));
    assert_eq!(recorder.judge(SOUND, 1_300), Judgement::Admitted);
}

/// Over a day, a request that crashes each endpoint reaches four: three before it is condemned, and
/// one in a trial.
#[test]
fn condemned_request_is_tried_once_a_day() {
    let mut recorder = Recorder { quarantine: Quarantine::new(1), crashes: 0 };
    recorder.crash_three_endpoints();
    let mut trials = 0;
    for now in (2_000..DAY).step_by(60_000) {
        recorder.quarantine.expire(Millis(now));
        match recorder.judge(BAD, now) {
            Judgement::Trial(content) => {
                recorder.quarantine.start_trial("pool", content, Millis(now));
                recorder.crash("d", BAD, now + 100);
                trials += 1;
            }
            Judgement::Condemned(_) => {}
            judgement => panic!("{judgement:?} after {now} ms"),
        }
    }
    assert_eq!(trials, 1);
}

#[test]
fn condemned_request_that_completes_its_trial_is_admitted() {
    let mut recorder = Recorder { quarantine: Quarantine::new(1), crashes: 0 };
    recorder.crash_three_endpoints();
    assert!(recorder.is_condemned(BAD, 601_199));
    assert_eq!(recorder.judge(BAD, 601_200), Judgement::Trial(Content::Request(BAD)));
    recorder.quarantine.start_trial("pool", Content::Request(BAD), Millis(601_200));
    assert!(recorder.is_condemned(BAD, 601_200));
    let contents = Content::set(&[], Some(BAD));
    recorder.quarantine.record_completion("pool", &contents, Millis(601_300));
    assert_eq!(recorder.judge(BAD, 601_300), Judgement::Admitted);
}

#[test]
fn request_condemned_by_other_daemons_is_admitted_after_a_day() {
    let mut recorder = Recorder::default();
    recorder.crash_three_endpoints();
    recorder.quarantine.expire(Millis(DAY));
    let Judgement::Condemned(condemnation) = recorder.judge(BAD, DAY) else { panic!() };
    assert_eq!(condemnation.retry_after, Millis(0));
    recorder.quarantine.expire(Millis(DAY + 1_200));
    assert_eq!(recorder.judge(BAD, DAY + 1_200), Judgement::Admitted);
}

#[test]
fn evidence_against_requests_is_bounded_and_condemned_ones_are_kept() {
    let mut recorder = Recorder::default();
    recorder.crash_three_endpoints();
    for number in 0..5_000 {
        recorder.crash(&format!("i-{number}"), 0x1_0000 + number, 2_000 + 300 * number);
    }
    recorder.quarantine.expire(Millis(1_600_000));
    assert!(recorder.is_condemned(BAD, 1_600_000));
    let contents = |number: u64| Content::set(&[], Some(0x1_0000 + number));
    let has_evidence = |number: &u64| recorder.quarantine.has_evidence("pool", &contents(*number));
    assert_eq!((0..5_000).filter(has_evidence).count(), 125);
}

#[test]
fn many_condemned_requests_leave_room_for_new_evidence() {
    let mut recorder = Recorder::default();
    for number in 0..1_000 {
        for crash in 0..3 {
            let at = 1_000 + number * 1_000 + crash * 300;
            recorder.crash(&format!("i-{number}-{crash}"), 0x1_0000 + number, at);
        }
    }
    recorder.quarantine.expire(Millis(1_001_000));
    assert!(recorder.quarantine.condemned_contents() <= 342);
    for (endpoint, at) in [("a", 1_002_000), ("b", 1_003_000), ("c", 1_004_000)] {
        recorder.crash(endpoint, BAD, at);
        recorder.quarantine.expire(Millis(at));
    }
    assert!(recorder.is_condemned(BAD, 1_004_000));
}

#[rstest]
#[case::method("PUT", "/a/?x=1", Some("north"), &[FIRST], "body")]
#[case::path("POST", "/b/?x=1", Some("north"), &[FIRST], "body")]
#[case::query("POST", "/a/?x=2", Some("north"), &[FIRST], "body")]
#[case::account("POST", "/a/?x=1", Some("south"), &[FIRST], "body")]
#[case::anonymous("POST", "/a/?x=1", None, &[FIRST], "body")]
#[case::prompt("POST", "/a/?x=1", Some("north"), &[BAD], "body")]
#[case::without_prompt("POST", "/a/?x=1", Some("north"), &[], "body")]
#[case::body("POST", "/a/?x=1", Some("north"), &[FIRST], "bod")]
#[case::shifted("POST", "/a/?x=1n", Some("orth"), &[FIRST], "body")]
fn requests_that_differ_have_different_digests(
    #[case] method: &str,
    #[case] target: &str,
    #[case] account: Option<&str>,
    #[case] parts: &[u64],
    #[case] body: &str,
) {
    let digest = request_digest("POST", "/a/?x=1", Some("north"), &[FIRST], b"body");
    assert_eq!(digest, request_digest("POST", "/a/?x=1", Some("north"), &[FIRST], b"body"));
    assert_ne!(digest, request_digest(method, target, account, parts, body.as_bytes()));
}

/// While all endpoints are gone, no request is completed that would clear those beside it.
#[test]
fn prompt_parts_beside_a_request_that_crashes_endpoints_are_not_condemned() {
    let mut recorder = Recorder::default();
    for (endpoint, at) in [("a", 1_000), ("b", 2_000), ("c", 3_000), ("d", 4_000)] {
        recorder.crash(endpoint, BAD, at);
        recorder.crash_begun(endpoint, &[FIRST], at, at + 10);
    }
    assert!(recorder.is_condemned(BAD, 4_100));
    assert_eq!(recorder.judge(SOUND, 4_100), Judgement::Admitted);
}
