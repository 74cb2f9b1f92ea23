//! Cluster state machine under packet loss, pauses and network partitions.

use decision::Millis;
use decision::cluster::{
    Cluster, ClusterConfig, Effect, Event, Identity, MemberState, Scope, Seed, packet_bytes,
};
use messages::cluster::{Packet, PacketKind};
use rand::SeedableRng;
use rand_pcg::Pcg64;
use std::net::SocketAddr;

fn address(number: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number as u8], 7_000))
}

fn daemon(number: usize) -> Cluster {
    let cfg = ClusterConfig {
        address: address(number),
        check_invariants: true,
        ..ClusterConfig::default()
    };
    let rng = Pcg64::seed_from_u64(number as u64);
    Cluster::new(cfg, Identity(number as u128), rng, Millis(0))
}

fn set_instances(daemon: &mut Cluster, count: usize, now: u64) {
    let seed = |i| Seed { address: address(i), data_centre: "local".to_string() };
    daemon.handle(Event::Instances((0..count).map(seed).collect()), Millis(now));
}

/// Ticks the daemons and delivers the packets for which `is_delivered` returns true, given sender,
/// receiver and packet.
fn run(
    daemons: &mut [Cluster],
    (from, until): (u64, u64),
    is_delivered: impl Fn(usize, usize, &Packet) -> bool,
) {
    for now in (from..until).step_by(50).map(Millis) {
        for i in 0..daemons.len() {
            let effects = daemons[i].handle(Event::Tick, now);
            let mut queue: Vec<_> = effects.into_iter().map(|effect| (i, effect)).collect();
            while let Some((from, effect)) = queue.pop() {
                let Effect::Send { to, packet } = effect else { continue };
                let Some(to) = (0..daemons.len()).find(|i| address(*i) == to) else { continue };
                if is_delivered(from, to, &packet) {
                    let event = Event::Packet { from: address(from), packet };
                    let effects = daemons[to].handle(event, now);
                    queue.extend(effects.into_iter().map(|effect| (to, effect)));
                }
            }
        }
    }
}

fn joined(count: usize) -> Vec<Cluster> {
    let mut daemons: Vec<Cluster> = (0..count).map(daemon).collect();
    daemons.iter_mut().for_each(|daemon| set_instances(daemon, count, 0));
    run(&mut daemons, (0, 4_000), |_, _, _| true);
    daemons
}

fn lists(revision: u64) -> Event {
    Event::Lists { version: revision, revision, text: format!("lists {revision}") }
}

#[test]
fn daemon_suspects_nobody_after_a_pause_with_a_probe_outstanding() {
    let mut daemons = joined(2);
    run(&mut daemons, (4_000, 5_500), |_, _, _| false);
    let suspected = daemons[0].counters().suspected;
    daemons[0].handle(Event::Tick, Millis(60_000));
    assert_eq!(daemons[0].counters().suspected, suspected);
    assert!(daemons[0].members().get(Identity(1)).is_some());
}

#[test]
fn indirect_probes_reach_a_member_when_one_direction_is_cut() {
    let mut daemons = joined(4);
    run(&mut daemons, (4_000, 20_000), |from, to, _| (from, to) != (0, 1));
    assert_eq!(daemons[0].counters().suspected, 0);
    let state = daemons[0].members().get(Identity(1)).map(|member| member.state);
    assert_eq!(state, Some(MemberState::Live));
}

#[test]
fn suspected_member_that_acknowledges_a_probe_stays_a_member() {
    let mut daemons = joined(2);
    let silent = |from, _, _: &Packet| from != 1;
    run(&mut daemons, (4_000, 7_000), silent);
    assert!(daemons[0].counters().suspected > 0);
    // From here on, of its packets only acknowledgements are delivered, no gossip packets.
    run(&mut daemons, (7_000, 12_000), |from, _, p| from != 1 || p.kind == PacketKind::Ack);
    assert!(daemons[0].members().get(Identity(1)).is_some());
}

#[test]
fn daemon_requests_a_lost_chunk_again() {
    let mut daemons = joined(2);
    daemons[0].handle(lists(5), Millis(4_000));
    run(&mut daemons, (4_000, 4_100), |_, _, packet| packet.kind != PacketKind::Want);
    assert_eq!(daemons[1].active_revision().number, 0);
    // From here on, announcements are not delivered.
    run(&mut daemons, (4_100, 4_600), |_, _, p| p.kind == PacketKind::Want || !p.chunks.is_empty());
    assert_eq!(daemons[1].active_revision().number, 5);
}

#[test]
fn daemon_abandons_a_revision_that_no_peer_serves() {
    let mut daemons = joined(3);
    daemons[2].handle(lists(9), Millis(4_000));
    run(&mut daemons, (4_000, 4_500), |_, _, packet| packet.chunks.is_empty());
    daemons.pop();
    daemons[0].handle(lists(8), Millis(4_500));
    run(&mut daemons, (4_500, 15_000), |_, _, _| true);
    assert_eq!(daemons[1].active_revision().number, 8);
}

#[test]
fn listed_daemons_find_each_other_after_joining_alone() {
    let mut daemons = vec![daemon(0), daemon(1)];
    daemons.iter_mut().for_each(|daemon| set_instances(daemon, 2, 0));
    run(&mut daemons, (0, 5_000), |_, _, _| false);
    assert!(daemons[0].members().is_empty());
    run(&mut daemons, (5_000, 10_000), |_, _, _| true);
    assert!(daemons[0].members().get(Identity(1)).is_some());
    assert!(daemons[1].members().get(Identity(0)).is_some());
}

#[test]
fn every_packet_stays_within_the_size_limit() {
    let mut daemons = joined(2);
    for i in 0..200 {
        let (key, ttl) = (format!("endpoint/{i}"), Millis(60_000));
        let values = vec![u64::MAX; 4];
        let event = Event::Publish { key, scope: Scope::DataCentre, ttl, values };
        daemons[0].handle(event, Millis(4_000));
    }
    let limit = ClusterConfig::default().packet_limit_bytes;
    run(&mut daemons, (4_000, 8_000), |_, _, packet| {
        assert!(packet_bytes(packet) <= limit);
        true
    });
}
