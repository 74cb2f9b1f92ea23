//! Randomised fault runs: the invariants hold throughout and the fleet converges after the faults.

use crate::{Fleet, FleetConfig, lists_text};
use decision::Millis;
use decision::cluster::{Event, Scope};
use messages::cluster::{Bucket, Id, MemberRecord, MemberState, Packet, PacketKind, Revision};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

/// Number of steps of one run; each injects a fault or makes a change.
const STEPS: usize = 40;
/// Time after the last fault within which all nodes have to agree.
const CONVERGENCE_TIMEOUT: Millis = Millis(90_000);

/// Runs a fleet through random faults and changes, then checks that all nodes are ready, have the
/// same revision and know each other.
///
/// # Panics
///
/// Panics if an invariant is broken or the fleet does not converge.
pub fn run_random_faults(size: usize, seed: u64) {
    let mut rng = Pcg64::seed_from_u64(seed ^ 0x5eed);
    let loss_permille = rng.random_range(0..=200);
    let mut fleet = Fleet::new(FleetConfig { size, seed, loss_permille, ..FleetConfig::default() });
    let mut revision = 1;
    fleet.change_lists(revision, lists_text(40, revision));
    fleet.run(Millis(5_000));
    for _ in 0..STEPS {
        inject_fault(&mut fleet, size, &mut revision, &mut rng);
        let step = Millis(rng.random_range(50..3_000));
        fleet.run(fleet.now + step);
    }
    clear_faults(&mut fleet, size);
    revision += 1;
    fleet.change_lists(revision, lists_text(40, revision));
    fleet.run(fleet.now + CONVERGENCE_TIMEOUT);
    assert_converged(&fleet, size, revision, seed);
}

fn inject_fault(fleet: &mut Fleet, size: usize, revision: &mut u64, rng: &mut Pcg64) {
    let node = rng.random_range(0..size);
    let pair = (rng.random_range(0..4), rng.random_range(0..4));
    match rng.random_range(0..12) {
        0 | 1 => {
            *revision += 1;
            fleet.change_lists(*revision, lists_text(40, *revision));
        }
        2 => {
            // The store is restored from an old copy, and a new edition is published on top of it.
            let older = revision.saturating_sub(2).max(1);
            let edition = *revision + rng.random_range(0..3);
            fleet.change_lists(older, lists_text(40, edition));
        }
        3 if fleet.cluster(node).is_some() => fleet.kill(node),
        3 | 4 if fleet.cluster(node).is_none() => fleet.restart(node, Millis(0)),
        5 => fleet.pause(node, Millis(rng.random_range(100..9_000))),
        6 => _ = fleet.cut_links.insert(pair),
        7 => fleet.cut_links.clear(),
        8 => fleet.set_store_down(!fleet.store.is_down),
        9 => _ = fleet.cut_from_store.insert(pair.0),
        10 if fleet.cluster(node).is_some() => {
            fleet.handle_event(node, Event::Leave);
            fleet.run(fleet.now + Millis(300));
            fleet.kill(node);
        }
        _ => {
            let (key, ttl) = (String::from("admission/campo-8b"), Millis(5_000));
            let event = Event::Publish { key, scope: Scope::Fleet, ttl, values: vec![1] };
            fleet.handle_event(node, event);
        }
    }
}

fn clear_faults(fleet: &mut Fleet, size: usize) {
    fleet.cut_links.clear();
    fleet.cut_from_store.clear();
    fleet.set_store_down(false);
    fleet.set_loss(0);
    fleet.run(fleet.now + Millis(10_000));
    for node in 0..size {
        if fleet.cluster(node).is_none() {
            fleet.restart(node, Millis(0));
        }
    }
    fleet.run(fleet.now + Millis(10_000));
}

fn assert_converged(fleet: &Fleet, size: usize, revision: u64, seed: u64) {
    for node in 0..size {
        let Some(cluster) = fleet.cluster(node) else {
            panic!("seed {seed}: node {node} does not run")
        };
        let active = cluster.active_revision().number;
        assert_eq!(active, revision, "seed {seed}: node {node} has active revision {active}");
        assert!(cluster.is_ready(), "seed {seed}: node {node} is not ready");
        for other in 0..size {
            let Some(peer) = fleet.cluster(other) else { continue };
            let known = other == node || cluster.members().get(peer.me().identity).is_some();
            assert!(known, "seed {seed}: node {node} does not know node {other}");
        }
        let members = cluster.members().len();
        assert_eq!(members, size - 1, "seed {seed}: node {node} knows {members} members");
    }
}

/// Packets that announce `members` members, ten in each.
pub fn member_packets(members: usize) -> Vec<Packet> {
    let record = |i: usize| MemberRecord {
        id: id(i),
        address: format!("10.0.{}.{}:7000", i / 250, i % 250),
        data_centre: format!("data-centre-{}", i % 4),
        sequence: 0,
        state: MemberState::Live,
    };
    let records: Vec<MemberRecord> = (1..=members).map(record).collect();
    records.chunks(10).map(|members| push_packet(members.to_vec())).collect()
}

fn push_packet(members: Vec<MemberRecord>) -> Packet {
    Packet {
        kind: PacketKind::Push,
        from: id(1),
        number: 0,
        subject: Id { high: 0, low: 0 },
        subject_address: String::new(),
        revision: Revision { number: 0, digest: Id { high: 0, low: 0 }, root: 0 },
        bucket: Bucket { bits: 0, index: 0, digest: 0 },
        members,
        entries: Vec::new(),
        wants: Vec::new(),
        chunks: Vec::new(),
    }
}

fn id(i: usize) -> Id {
    Id { high: (i as u64).wrapping_mul(0x9e37_79b9_7f4a_7c15), low: i as u64 }
}
