use decision::Millis;
use decision::duties::{
    DutyRecord, Lease, LeaseChange, LeaseConfig, LeaseEvent, LeaseStep, LossReason, UsageState,
};
use decision::routing::Peer;

const LEASE: u64 = 3_000;
const UNIX_MS: u64 = 1_800_000_000_000;

fn new_lease(incarnation: u64) -> Lease {
    let own = Peer { name: String::from("front-1"), address: String::from("10.0.0.1:7340") };
    Lease::new(LeaseConfig { own, incarnation, lease: Millis(LEASE) }, 1)
}

/// Takes the next step, which must be a write, and returns it.
fn written(lease: &mut Lease, now: u64) -> (DutyRecord, Option<u64>) {
    match lease.next(Millis(now), UNIX_MS + now, true) {
        LeaseStep::Write { record, replaces } => (record, replaces),
        step => panic!("{step:?} at {now}"),
    }
}

fn read(lease: &mut Lease, object: Option<(DutyRecord, u64)>, now: u64) {
    assert_eq!(lease.next(Millis(now), UNIX_MS + now, true), LeaseStep::Read);
    lease.observe(LeaseEvent::Read(object), Millis(now));
}

/// A holder at time 4,000 that may act, its object with revision 7, and its token.
fn holder() -> (Lease, DutyRecord) {
    let mut lease = new_lease(1);
    read(&mut lease, None, 0);
    let (claim, replaces) = written(&mut lease, 500);
    assert_eq!(replaces, None);
    lease.observe(LeaseEvent::Written(None), Millis(510));
    read(&mut lease, Some((claim, 5)), 520);
    for (now, revision) in [(1_500, 6), (2_500, 7), (3_500, 7)] {
        let (_, replaces) = written(&mut lease, now);
        assert!(replaces.is_some());
        lease.observe(LeaseEvent::Written(Some(revision)), Millis(now));
    }
    let (record, _) = written(&mut lease, 4_500);
    lease.observe(LeaseEvent::Written(Some(7)), Millis(4_500));
    lease.take_changes();
    (lease, record)
}

#[test]
fn claim_is_read_back_before_the_first_call() {
    let mut lease = new_lease(1);
    read(&mut lease, None, 0);
    let (claim, _) = written(&mut lease, 500);
    lease.observe(LeaseEvent::Written(Some(5)), Millis(510));
    assert_eq!(lease.next(Millis(520), UNIX_MS, true), LeaseStep::Read);
    lease.observe(LeaseEvent::ReadFailed, Millis(520));
    assert_eq!(lease.may_act(Millis(3_400)), None);
    read(&mut lease, Some((claim, 5)), 3_400);
    written(&mut lease, 3_400);
    lease.observe(LeaseEvent::Written(Some(6)), Millis(3_400));
    assert_eq!(lease.may_act(Millis(3_509)), None);
    assert!(lease.may_act(Millis(3_510)).is_some());
}

/// The time of the response does not count: the write may have been carried out long before.
#[test]
fn lease_expires_after_the_renewal_was_sent() {
    let (mut lease, _) = holder();
    written(&mut lease, 5_500);
    lease.observe(LeaseEvent::Written(Some(8)), Millis(6_400));
    assert!(lease.may_act(Millis(8_499)).is_some());
    assert_eq!(lease.may_act(Millis(8_500)), None);
}

#[test]
fn holder_sends_nothing_between_a_lost_response_and_its_reading() {
    let (mut lease, _) = holder();
    let (record, _) = written(&mut lease, 5_500);
    lease.observe(LeaseEvent::WriteFailed, Millis(6_250));
    assert_eq!(lease.may_act(Millis(6_250)), None);
    read(&mut lease, Some((record, 8)), 6_260);
    assert!(lease.may_act(Millis(8_499)).is_some());
    assert_eq!(lease.may_act(Millis(8_500)), None, "the lost renewal was sent at 5,500");
}

#[test]
fn holder_stops_when_the_object_names_another_one() {
    let (mut lease, own) = holder();
    written(&mut lease, 5_500);
    lease.observe(LeaseEvent::Conflict, Millis(5_510));
    assert_eq!(lease.may_act(Millis(5_510)), None);
    let other = DutyRecord { incarnation: 2, token: own.token + 5, ..own };
    read(&mut lease, Some((other, 9)), 5_520);
    let lost = lease
        .take_changes()
        .into_iter()
        .any(|change| matches!(change, LeaseChange::Lost { reason: LossReason::Replaced, .. }));
    assert!(lost);
    assert_eq!(lease.held_token(Millis(5_520)), None);
}

/// Guards against a second instance with the same name that takes itself for the holder.
#[test]
fn another_instance_with_the_same_name_is_another_holder() {
    let (_, own) = holder();
    let mut other = new_lease(2);
    read(&mut other, Some((own, 7)), 10_000);
    assert!(matches!(other.next(Millis(10_000), UNIX_MS, true), LeaseStep::Wait(_)));
    assert_eq!(other.held_token(Millis(10_000)), None);
}

#[test]
fn holder_stops_at_a_higher_token_from_anywhere() {
    let (mut lease, own) = holder();
    lease.observe_token(own.token);
    assert!(lease.may_act(Millis(4_600)).is_some());
    lease.observe_token(own.token + 1);
    assert_eq!(lease.may_act(Millis(4_600)), None);
    assert_eq!(lease.held_token(Millis(4_600)), None);
}

/// Without the low bits, two claimants that know the same token would choose the same next one.
#[test]
fn claimants_with_the_same_knowledge_choose_different_tokens() {
    let far_ahead = DutyRecord { token: 1 << 52, is_released: true, ..DutyRecord::default() };
    let tokens: Vec<u64> = (1..=2)
        .map(|incarnation| {
            let mut lease = new_lease(incarnation);
            read(&mut lease, Some((far_ahead.clone(), 3)), 0);
            written(&mut lease, 500).0.token
        })
        .collect();
    assert!(tokens.iter().all(|token| *token > 1 << 52), "{tokens:?}");
    assert_ne!(tokens[0], tokens[1]);
}

#[test]
fn token_contains_the_time_of_day() {
    let mut lease = new_lease(1);
    read(&mut lease, None, 0);
    assert_eq!(written(&mut lease, 500).0.token >> 10, UNIX_MS + 500);
}

#[test]
fn daemon_that_does_not_contend_makes_no_calls_to_the_store() {
    let mut lease = new_lease(1);
    for now in (0..60_000).step_by(500) {
        assert!(matches!(lease.next(Millis(now), UNIX_MS, false), LeaseStep::Wait(_)));
    }
}

/// Two reads of the same revision that are far apart do not show that nothing happened between them.
#[test]
fn candidate_that_was_frozen_watches_anew() {
    let (_, own) = holder();
    let mut candidate = new_lease(2);
    read(&mut candidate, Some((own.clone(), 7)), 0);
    read(&mut candidate, Some((own.clone(), 7)), 60_000);
    for now in [61_500, 63_000] {
        read(&mut candidate, Some((own.clone(), 7)), now);
    }
    read(&mut candidate, Some((own, 7)), 64_500);
    written(&mut candidate, 65_000);
}

fn usage(window: u64) -> UsageState {
    UsageState { window, ..UsageState::default() }
}

#[test]
fn state_of_usage_reports_is_written_at_once_and_again_after_a_lost_response() {
    let (mut lease, own) = holder();
    lease.set_usage(usage(5));
    let (lost, _) = written(&mut lease, 4_600);
    assert_eq!(lost.usage, Some(usage(5)));
    lease.observe(LeaseEvent::WriteFailed, Millis(5_350));
    assert_eq!(lease.stored_usage(), None);
    read(&mut lease, Some((own, 7)), 5_360);
    let (again, _) = written(&mut lease, 5_370);
    assert_eq!(again.usage, Some(usage(5)));
    lease.observe(LeaseEvent::Written(Some(8)), Millis(5_380));
    assert_eq!(lease.stored_usage(), Some(&usage(5)));
    assert_eq!(lease.announced(Millis(5_380)).unwrap().window, Some(5));
    assert!(matches!(lease.next(Millis(5_390), UNIX_MS, true), LeaseStep::Wait(_)));
}

#[test]
fn successor_takes_over_the_state_of_usage_reports() {
    let (_, own) = holder();
    let released = DutyRecord { is_released: true, usage: Some(usage(8)), ..own };
    let mut successor = new_lease(2);
    read(&mut successor, Some((released, 9)), 0);
    let (claim, replaces) = written(&mut successor, 500);
    assert_eq!((claim.usage, replaces), (Some(usage(8)), Some(9)));
}

#[test]
fn closed_lease_is_released_and_never_claimed_again() {
    let (mut lease, own) = holder();
    lease.close();
    assert_eq!(lease.may_act(Millis(4_600)), None);
    let (release, _) = written(&mut lease, 4_600);
    assert!(release.is_released);
    assert_eq!(release.token, own.token);
    lease.observe(LeaseEvent::Written(Some(9)), Millis(4_610));
    assert_eq!(lease.next(Millis(4_620), UNIX_MS, true), LeaseStep::Stop);
    assert!(matches!(lease.take_changes()[..], [LeaseChange::Released { .. }]));
}
