//! Cluster state machine, driven by single events.

use decision::Millis;
use decision::cluster::{
    Cluster, ClusterConfig, Effect, Event, Identity, MemberChange, Scope, Seed, StoreCall,
    StoreLimits, StoreOutcome, StoreWatch, owners,
};
use messages::cluster::{MemberRecord, MemberState, Packet, PacketKind};
use rand::SeedableRng;
use rand_pcg::Pcg64;
use rstest::rstest;
use std::net::SocketAddr;

fn address(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number], 7_000))
}

fn daemon(number: u8) -> Cluster {
    let cfg = ClusterConfig {
        address: address(number),
        check_invariants: true,
        ..ClusterConfig::default()
    };
    let rng = Pcg64::seed_from_u64(u64::from(number));
    Cluster::new(cfg, Identity(u128::from(number)), rng, Millis(0))
}

fn seeds(numbers: &[u8]) -> Event {
    let seed = |number: &u8| Seed { address: address(*number), data_centre: "local".to_string() };
    Event::Instances(numbers.iter().map(seed).collect())
}

/// Delivers packets among `daemons` until none is left, and returns the other effects.
fn deliver(daemons: &mut [Cluster], effects: Vec<(usize, Effect)>, now: Millis) -> Vec<Effect> {
    let mut other = Vec::new();
    let mut queue = effects;
    while !queue.is_empty() {
        let (from, effect) = queue.remove(0);
        let Effect::Send { to, packet } = effect else {
            other.push(effect);
            continue;
        };
        let Some(to) = daemons.iter().position(|d| d.me().address == to) else { continue };
        let event = Event::Packet { from: daemons[from].me().address, packet };
        queue.extend(daemons[to].handle(event, now).into_iter().map(|effect| (to, effect)));
    }
    other
}

/// Ticks every daemon from `from` to `until` and delivers every packet.
fn run(daemons: &mut [Cluster], from: u64, until: u64) -> Vec<Effect> {
    let mut other = Vec::new();
    for now in (from..until).step_by(50).map(Millis) {
        for i in 0..daemons.len() {
            let effects = daemons[i].handle(Event::Tick, now);
            let effects = effects.into_iter().map(|effect| (i, effect)).collect();
            other.extend(deliver(daemons, effects, now));
        }
    }
    other
}

fn joined_pair() -> [Cluster; 2] {
    let mut pair = [daemon(1), daemon(2)];
    pair[0].handle(seeds(&[1, 2]), Millis(0));
    pair[1].handle(seeds(&[1, 2]), Millis(0));
    run(&mut pair, 0, 3_000);
    pair
}

fn lists(revision: u64, text: &str) -> Event {
    Event::Lists { version: revision, revision, text: text.to_string() }
}

fn record(of: &Cluster, state: MemberState) -> MemberRecord {
    MemberRecord {
        id: of.me().identity.into(),
        address: of.me().address.to_string(),
        data_centre: "local".to_string(),
        sequence: of.me().sequence,
        state,
    }
}

/// Push packet from a third daemon that contains `record`.
fn push_packet(record: MemberRecord) -> Packet {
    let mut third = daemon(3);
    third.handle(seeds(&[1]), Millis(0));
    let effects = third.handle(Event::Tick, Millis(0));
    let packet = effects.into_iter().find_map(|effect| match effect {
        Effect::Send { packet, .. } => Some(packet),
        _ => None,
    });
    Packet { kind: PacketKind::Push, members: vec![record], ..packet.unwrap() }
}

#[test]
fn daemon_sends_lists_to_a_peer_that_does_not_read_the_store() {
    let mut pair = joined_pair();
    let text = "accounts ".repeat(2_000);
    let effects = pair[0].handle(lists(7, &text), Millis(3_000));
    let effects = effects.into_iter().map(|effect| (0, effect)).collect();
    let other = deliver(&mut pair, effects, Millis(3_000));
    let activates = |e: &Effect| matches!(e, Effect::ActivateLists { text: t, .. } if *t == text);
    assert_eq!(other.iter().filter(|e| activates(e)).count(), 2);
    assert_eq!(pair[1].active_revision().number, 7);
    assert!(pair[1].is_ready());
}

#[rstest]
#[case::older(6, "b", 7, true)]
#[case::same(7, "a", 7, false)]
#[case::newer(8, "b", 8, false)]
fn daemon_never_replaces_its_lists_with_an_older_revision(
    #[case] revision: u64,
    #[case] text: &str,
    #[case] expected: u64,
    #[case] reported: bool,
) {
    let mut daemon = daemon(1);
    daemon.handle(lists(7, "a"), Millis(0));
    let effects = daemon.handle(lists(revision, text), Millis(10));
    assert_eq!(daemon.active_revision().number, expected);
    let outdated = effects.iter().any(|e| matches!(e, Effect::StoreOutdated { .. }));
    assert_eq!(outdated, reported);
}

#[rstest]
#[case("a", "b")]
#[case("b", "a")]
fn daemons_agree_on_one_of_two_texts_with_the_same_revision(
    #[case] first: &str,
    #[case] next: &str,
) {
    let mut one = daemon(1);
    one.handle(lists(7, first), Millis(0));
    let effects = one.handle(lists(7, next), Millis(10));
    assert!(effects.contains(&Effect::RevisionConflict { revision: 7 }));
    let mut other = daemon(2);
    other.handle(lists(7, "a"), Millis(0));
    other.handle(lists(7, "b"), Millis(10));
    assert_eq!(one.active_revision(), other.active_revision());
}

#[test]
fn daemon_is_not_ready_when_neither_peer_nor_store_has_lists() {
    let mut pair = joined_pair();
    run(&mut pair, 3_000, 10_000);
    assert!(!pair[0].is_ready());
}

#[test]
fn daemon_refutes_a_suspicion_with_a_higher_sequence() {
    let mut pair = joined_pair();
    let suspicion = record(&pair[1], MemberState::Suspected);
    let packet = push_packet(suspicion);
    let sequence = pair[1].me().sequence;
    pair[1].handle(Event::Packet { from: address(1), packet }, Millis(9_000));
    assert_eq!(pair[1].me().sequence, sequence + 1);
    assert_eq!(pair[1].me().identity, Identity(2));
}

#[test]
fn daemon_continues_under_a_new_identity_when_declared_dead() {
    let mut pair = joined_pair();
    let tombstone = record(&pair[1], MemberState::Dead);
    let packet = push_packet(tombstone);
    let effects = pair[1].handle(Event::Packet { from: address(1), packet }, Millis(9_000));
    assert!(effects.iter().any(|e| matches!(e, Effect::IdentityReplaced { .. })));
    assert_ne!(pair[1].me().identity, Identity(2));
}

#[test]
fn departed_identity_cannot_rejoin() {
    let mut pair = joined_pair();
    let live = record(&pair[1], MemberState::Live);
    let departure = pair[1].handle(Event::Leave, Millis(3_000));
    let departure = departure.into_iter().map(|effect| (1, effect)).collect();
    deliver(&mut pair, departure, Millis(3_000));
    let packet = push_packet(live);
    let effects = pair[0].handle(Event::Packet { from: address(3), packet }, Millis(4_000));
    assert!(pair[0].members().get(Identity(2)).is_none());
    assert!(!effects.iter().any(|e| matches!(e, Effect::Member { .. })));
}

#[test]
fn new_process_at_a_known_address_replaces_the_former_member() {
    let mut pair = joined_pair();
    let rng = Pcg64::seed_from_u64(9);
    let cfg = ClusterConfig { address: address(2), ..ClusterConfig::default() };
    pair[1] = Cluster::new(cfg, Identity(22), rng, Millis(3_000));
    pair[1].handle(seeds(&[1, 2]), Millis(3_000));
    let effects = run(&mut pair, 3_000, 6_000);
    let dead = |e: &Effect| {
        let Effect::Member { member, change } = e else { return false };
        member.identity == Identity(2) && *change == MemberChange::Dead
    };
    assert!(effects.iter().any(dead));
    assert!(pair[0].members().get(Identity(22)).is_some());
}

#[test]
fn daemon_suspects_nobody_after_its_own_pause() {
    let mut pair = joined_pair();
    pair[0].handle(Event::Tick, Millis(60_000));
    assert_eq!(pair[0].counters().suspected, 0);
}

#[test]
fn shared_value_reaches_a_peer_and_expires() {
    let mut pair = joined_pair();
    let (key, ttl) = ("admission/campo-8b".to_string(), Millis(2_000));
    let event = Event::Publish { key, scope: Scope::DataCentre, ttl, values: vec![2, 40] };
    pair[0].handle(event, Millis(3_000));
    run(&mut pair, 3_000, 4_500);
    let values: Vec<_> = pair[1].entries(Millis(4_500)).map(|e| e.values.clone()).collect();
    assert_eq!(values, [[2, 40]]);
    assert_eq!(pair[1].entries(Millis(5_500)).count(), 0);
}

#[test]
fn duty_moves_to_the_next_owner_when_its_owner_leaves() {
    let members: Vec<Identity> = (1..40).map(Identity).collect();
    let before = owners(members.iter().copied(), "store-watch", 2);
    let remaining = members.iter().copied().filter(|m| *m != before[0]);
    let after = owners(remaining, "store-watch", 2);
    assert_eq!(after[0], before[1]);
}

#[test]
fn store_watch_reads_in_full_after_a_gap_and_backs_off_after_failures() {
    let limits =
        StoreLimits { calls_per_second: 4, backoff_base: Millis(250), backoff_max: Millis(10_000) };
    let mut rng = Pcg64::seed_from_u64(1);
    let mut watch = StoreWatch::default();
    assert_eq!(watch.next_call(&limits, Millis(0)), Some(StoreCall::Read));
    assert_eq!(watch.next_call(&limits, Millis(1_000)), None);
    watch.record_outcome(StoreOutcome::Read { version: 9 }, &limits, &mut rng, Millis(1_000));
    assert_eq!(watch.next_call(&limits, Millis(1_000)), Some(StoreCall::Watch { after: 9 }));
    watch.record_outcome(StoreOutcome::Gap, &limits, &mut rng, Millis(2_000));
    assert_eq!(watch.next_call(&limits, Millis(2_000)), Some(StoreCall::Read));
    for failures in 0..8u32 {
        let now = Millis(10_000 + 100_000 * u64::from(failures));
        watch.record_outcome(StoreOutcome::Failed, &limits, &mut rng, now);
        let longest = (250 << failures).min(10_000);
        assert_eq!(watch.next_call(&limits, now + Millis(longest / 2 - 1)), None);
        assert!(watch.next_call(&limits, now + Millis(longest)).is_some());
    }
}

#[rstest]
#[case::empty(0)]
#[case::one_leaf(100)]
#[case::many_leaves(200_000)]
fn edit_of_a_text_changes_few_chunks(#[case] len: usize) {
    use decision::cluster::ChunkTree;
    let mut text: String = (0..len).map(|i| char::from(b'a' + (i * i % 23) as u8)).collect();
    text.extend((0..len / 40).map(|i| format!("{{\"account-{i}\":{}}}", i * 7_919)));
    let before = ChunkTree::split(&text);
    assert_eq!(before.text().as_deref(), Some(text.as_str()));
    text.insert(text.len() / 2, 'ñ');
    let after = ChunkTree::split(&text);
    let new = after.chunks.keys().filter(|name| !before.chunks.contains_key(name)).count();
    assert!(new <= 8, "{new} of {} chunks are new", after.chunks.len());
    assert_eq!(after.text(), Some(text));
}

#[test]
fn daemon_ignores_an_out_of_range_bucket_and_an_invalid_address() {
    let mut pair = joined_pair();
    let live = record(&pair[1], MemberState::Live);
    let mut packet = push_packet(live);
    packet.kind = PacketKind::Probe;
    packet.bucket.bits = u32::MAX;
    packet.members[0].address = "nowhere".to_string();
    packet.revision.number = 0;
    pair[1].handle(Event::Packet { from: address(1), packet }, Millis(9_000));
    assert_eq!(pair[1].counters().bad_records, 1);
}
