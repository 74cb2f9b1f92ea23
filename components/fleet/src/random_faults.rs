//! Randomised runs: whatever happens, the invariants hold and the fleet agrees afterwards.

use crate::{Fleet, FleetConfig, lists_text};
use decision::Millis;
use decision::cluster::{Event, Scope};
use messages::cluster::{Bucket, Id, MemberRecord, MemberState, Packet, PacketKind, Revision};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

/// Steps of one run.
const STEPS: usize = 40;
/// The time in which a fleet without faults has to agree.
const SETTLE: Millis = Millis(90_000);

/// Runs a fleet through random faults and checks that it agrees afterwards.
///
/// # Panics
///
/// Panics when an invariant breaks or the fleet does not agree.
pub fn random_run(size: usize, seed: u64) {
    let mut rng = Pcg64::seed_from_u64(seed ^ 0x5eed);
    let loss_permille = rng.random_range(0..=200);
    let mut fleet = Fleet::new(FleetConfig { size, seed, loss_permille, ..FleetConfig::default() });
    let mut revision = 1;
    fleet.change_lists(revision, lists_text(40, revision));
    fleet.run(Millis(5_000));
    for _ in 0..STEPS {
        fault(&mut fleet, size, &mut revision, &mut rng);
        let step = Millis(rng.random_range(50..3_000));
        fleet.run(fleet.now + step);
    }
    heal(&mut fleet, size);
    revision += 1;
    fleet.change_lists(revision, lists_text(40, revision));
    fleet.run(fleet.now + SETTLE);
    check_agreement(&fleet, size, revision, seed);
}

fn fault(fleet: &mut Fleet, size: usize, revision: &mut u64, rng: &mut Pcg64) {
    let node = rng.random_range(0..size);
    let pair = (rng.random_range(0..4), rng.random_range(0..4));
    match rng.random_range(0..12) {
        0 | 1 => {
            *revision += 1;
            fleet.change_lists(*revision, lists_text(40, *revision));
        }
        2 => {
            // A store that was restored from an old copy, changed by somebody who does not know.
            let older = revision.saturating_sub(2).max(1);
            let edition = *revision + rng.random_range(0..3);
            fleet.change_lists(older, lists_text(40, edition));
        }
        3 if fleet.cluster(node).is_some() => fleet.kill(node),
        3 | 4 if fleet.cluster(node).is_none() => fleet.restart(node, Millis(0)),
        5 => fleet.pause(node, Millis(rng.random_range(100..9_000))),
        6 => _ = fleet.cuts.insert(pair),
        7 => fleet.cuts.clear(),
        8 => fleet.set_store_down(!fleet.store.is_down),
        9 => _ = fleet.store_cuts.insert(pair.0),
        10 if fleet.cluster(node).is_some() => {
            fleet.tell(node, Event::Leave);
            fleet.run(fleet.now + Millis(300));
            fleet.kill(node);
        }
        _ => {
            let (key, ttl) = (String::from("admission/campo-8b"), Millis(5_000));
            let event = Event::Publish { key, scope: Scope::Fleet, ttl, values: vec![1] };
            fleet.tell(node, event);
        }
    }
}

fn heal(fleet: &mut Fleet, size: usize) {
    fleet.cuts.clear();
    fleet.store_cuts.clear();
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

fn check_agreement(fleet: &Fleet, size: usize, revision: u64, seed: u64) {
    for node in 0..size {
        let Some(cluster) = fleet.cluster(node) else { panic!("seed {seed}: node {node} is gone") };
        let in_force = cluster.active_revision().number;
        assert_eq!(in_force, revision, "seed {seed}: node {node} has revision {in_force}");
        assert!(cluster.is_ready(), "seed {seed}: node {node} is not ready");
        for other in 0..size {
            let Some(peer) = fleet.cluster(other) else { continue };
            let known = other == node || cluster.members().get(peer.me().identity).is_some();
            assert!(known, "seed {seed}: node {node} does not know node {other}");
        }
        let others = cluster.members().len();
        assert_eq!(others, size - 1, "seed {seed}: node {node} knows {others} members");
    }
}

/// Returns packets that tell of `members` members.
pub fn introductions(members: usize) -> Vec<Packet> {
    let record = |i: usize| MemberRecord {
        id: id(i),
        address: format!("10.0.{}.{}:7000", i / 250, i % 250),
        data_centre: format!("data-centre-{}", i % 4),
        sequence: 0,
        state: MemberState::Live,
    };
    let records: Vec<MemberRecord> = (1..=members).map(record).collect();
    records.chunks(10).map(|members| introduction(members.to_vec())).collect()
}

fn introduction(members: Vec<MemberRecord>) -> Packet {
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
