//! How long notices are kept and passed on.

use decision::Millis;
use decision::routing::{NoticeBoard, NoticeId, NoticeSource};
use messages::feed::{CompletionNotice, CrashNotice, Notice};
use std::collections::BTreeSet;

fn content(part: u64) -> Notice {
    let completion =
        CompletionNotice { service: String::from("pool"), parts: vec![part], request: None };
    Notice {
        origin: 0,
        sequence: 0,
        age_ms: 0,
        crash: None,
        completion: Some(completion),
        limit: None,
        departure: None,
        holder: None,
    }
}

#[test]
fn notice_has_its_present_age_at_each_daemon() {
    let mut observer = NoticeBoard::new(1);
    observer.publish(content(1), Millis(1_000));
    let sent = observer.forwarded(Millis(1_300));
    assert_eq!(sent[0].age_ms, 300);
    // The clocks of daemons have nothing in common.
    let mut receiver = NoticeBoard::new(2);
    assert!(receiver.receive(&sent[0], NoticeSource::Follower, Millis(70_000)));
    let id = NoticeId::of(&sent[0]);
    assert_eq!(receiver.get(id, Millis(70_500)).map(|notice| notice.age_ms), Some(800));
}

#[test]
fn notice_is_received_once() {
    let mut observer = NoticeBoard::new(1);
    let notice = observer.publish(content(1), Millis(1_000)).unwrap();
    let mut receiver = NoticeBoard::new(2);
    assert!(receiver.receive(&notice, NoticeSource::Follower, Millis(0)));
    assert!(!receiver.receive(&notice, NoticeSource::Peer, Millis(10)));
    assert!(!observer.receive(&notice, NoticeSource::Peer, Millis(1_010)));
}

#[test]
fn notices_of_followers_are_forwarded_for_several_polls_and_those_of_peers_are_not() {
    let mut board = NoticeBoard::new(1);
    let from_follower = Notice { origin: 2, sequence: 1, ..content(1) };
    let from_peer = Notice { origin: 3, sequence: 1, ..content(1) };
    board.receive(&from_follower, NoticeSource::Follower, Millis(0));
    board.receive(&from_peer, NoticeSource::Peer, Millis(0));
    assert_eq!(board.forwarded(Millis(4_999)).len(), 1);
    assert_eq!(board.forwarded(Millis(5_000)).len(), 0);
    assert_eq!(board.all(Millis(5_000)).len(), 2);
}

#[test]
fn all_notices_are_forwarded_to_a_new_reader_that_has_none() {
    let mut board = NoticeBoard::new(1);
    board.receive(&Notice { origin: 3, sequence: 1, ..content(1) }, NoticeSource::Peer, Millis(0));
    board.forward_missing(&[], None, Millis(20_000));
    assert_eq!(board.forwarded(Millis(20_100)).len(), 1);
}

/// What a daemon does when it begins to follow another one. Returns the numbers of notices that go to
/// the follower and back.
fn exchange(follower: &mut NoticeBoard, reader: &mut NoticeBoard, now: Millis) -> [usize; 2] {
    let groups = reader.digest().differing(follower.digest().groups());
    let sent = reader.in_groups(&groups, now);
    for notice in &sent {
        follower.receive(notice, NoticeSource::Peer, now);
    }
    follower.forward_missing(&sent, Some(&groups), now);
    let returned = follower.forwarded(now);
    for notice in &returned {
        reader.receive(notice, NoticeSource::Follower, now);
    }
    [sent.len(), returned.len()]
}

#[test]
fn boards_exchange_what_the_other_lacks_and_little_else() {
    let notice = |sequence| Notice { origin: 3, sequence, age_ms: 6_000, ..content(sequence) };
    let [mut follower, mut reader] = [1, 2].map(NoticeBoard::new);
    for board in [&mut follower, &mut reader] {
        for sequence in 0..400 {
            assert!(board.receive(&notice(sequence), NoticeSource::Peer, Millis(10_000)));
        }
    }
    assert_eq!(exchange(&mut follower, &mut reader, Millis(20_000)), [0, 0]);
    assert!(follower.receive(&notice(400), NoticeSource::Peer, Millis(20_000)));
    assert!(reader.receive(&notice(401), NoticeSource::Peer, Millis(20_000)));
    let [sent, returned] = exchange(&mut follower, &mut reader, Millis(30_000));
    assert!(sent < 40, "{sent} of 401 notices");
    assert_eq!(returned, 1);
    for board in [&follower, &reader] {
        assert_eq!(board.all(Millis(30_000)).len(), 402);
    }
    assert_eq!(follower.digest(), reader.digest());
}

#[test]
fn digest_of_a_board_follows_what_it_discards() {
    let mut board = NoticeBoard::new(1);
    for part in 0..1_000 {
        board.publish(content(part), Millis(part * 100)).unwrap();
    }
    board.expire(&BTreeSet::new(), Millis(100_000));
    let mut copy = NoticeBoard::new(2);
    for notice in board.all(Millis(100_000)) {
        let notice = Notice { age_ms: 60_000, ..notice };
        copy.receive(&notice, NoticeSource::Peer, Millis(100_000));
    }
    assert_eq!(board.digest(), copy.digest());
    board.expire(&BTreeSet::new(), Millis(10_000_000));
    assert_eq!(*board.digest(), *NoticeBoard::new(3).digest());
}

#[test]
fn old_notices_are_discarded_and_not_received_again() {
    let mut board = NoticeBoard::new(1);
    let notice = Notice { origin: 2, sequence: 1, age_ms: 599_000, ..content(1) };
    assert!(board.receive(&notice, NoticeSource::Peer, Millis(600_000)));
    board.expire(&BTreeSet::new(), Millis(601_000));
    assert!(board.all(Millis(601_000)).is_empty());
    let notice = Notice { age_ms: 600_000, ..notice };
    assert!(!board.receive(&notice, NoticeSource::Peer, Millis(601_000)));
}

#[test]
fn notices_above_the_limit_are_discarded_except_those_that_are_needed() {
    let mut board = NoticeBoard::new(1);
    for part in 0..1_000 {
        board.publish(content(part), Millis(part * 100)).unwrap();
    }
    board.expire(&BTreeSet::from([NoticeId { origin: 1, sequence: 1 }]), Millis(100_000));
    let kept = board.all(Millis(100_000));
    assert_eq!(kept.len(), 512);
    assert!(kept.iter().any(|notice| notice.sequence == 1));
    assert!(kept.iter().any(|notice| notice.sequence == 1_000));
}

/// Each of many endpoints that crash together interrupts many requests.
#[test]
fn burst_of_notices_is_limited_at_each_daemon() {
    let mut observer = NoticeBoard::new(1);
    let published = (0..1_000).filter(|n| observer.publish(content(*n), Millis(*n / 2)).is_some());
    assert_eq!(published.count(), 32);
    assert!(observer.publish(content(1), Millis(1_000)).is_some());
    let mut receiver = NoticeBoard::new(2);
    let burst = (0..1_000).map(|sequence| Notice { origin: 3, sequence, ..content(sequence) });
    let received =
        burst.filter(|notice| receiver.receive(notice, NoticeSource::Follower, Millis(0)));
    assert_eq!(received.count(), 32);
}

/// A crash breaks off dozens of sound requests at an endpoint. Their reports must not push out that of the
/// request that caused it.
#[test]
fn report_of_a_part_that_never_completed_is_accepted_in_a_burst_of_others() {
    let crash = |sequence: u64, shared: u64, proven: &[u64]| {
        let crash = CrashNotice {
            service: String::from("pool"),
            endpoint: String::from("i-1"),
            parts: vec![shared, 0x1_0000 + sequence],
            proven: proven.to_vec(),
            request: None,
            has_begun: true,
            ran_ms: 10,
        };
        Notice { origin: 3, sequence, crash: Some(crash), completion: None, ..content(0) }
    };
    let mut board = NoticeBoard::new(2);
    for sequence in 0..200 {
        board.receive(&crash(sequence, 0xf1, &[0xf1]), NoticeSource::Follower, Millis(0));
    }
    let unproven = crash(200, 0xbad, &[]);
    assert!(board.receive(&unproven, NoticeSource::Follower, Millis(0)));
}
