use crate::admin::identity_text;
use crate::executor::{Executor, execute_effects};
use crate::peers::Peers;
use crate::tables::{Tables, lock, lock_read};
use decision::Millis;
use decision::load::{DaemonLoad, PoolLoad, TIERS};
use std::collections::BTreeMap;
use std::thread;
use std::time::Duration;
use utils::hash_name;

const GOSSIP_INTERVAL: Duration = Duration::from_millis(250);

/// An unchanged load is published again after this time.
const REPUBLISH_INTERVAL: Millis = Millis(1_000);

/// A published load is dropped after this time, or earlier if its daemon is gone.
const LOAD_TTL: Millis = Millis(10_000);

/// The gossip key of loads.
const LOAD_KEY: &str = "load";

/// Number of values that describe the load on one pool, without the leading hash of its name.
const VALUES_PER_POOL: usize = 3 * TIERS + 3;

/// Publishes the load of this daemon and applies that of the others, until the process ends.
pub fn gossip_loads(executor: &Executor, peers: &Peers) {
    let mut last_published = (Millis(0), Vec::new());
    loop {
        thread::sleep(GOSSIP_INTERVAL);
        if !executor.tables.is_stopping() {
            publish_own_load(executor, peers, &mut last_published);
        }
        apply_peer_loads(executor, peers);
    }
}

/// Publishes the load if it has changed or was last published `REPUBLISH_INTERVAL` ago.
fn publish_own_load(executor: &Executor, peers: &Peers, last_published: &mut (Millis, Vec<u64>)) {
    let tables = &executor.tables;
    let now = tables.now();
    let own = lock(&tables.scheduler).own_load(now);
    let values: Vec<u64> = own.pools.iter().flat_map(|(name, p)| encode_pool(name, p)).collect();
    if values == last_published.1 && now.since(last_published.0) < REPUBLISH_INTERVAL {
        return;
    }
    peers.publish(LOAD_KEY.to_string(), LOAD_TTL, values.clone());
    *last_published = (now, values);
}

fn apply_peer_loads(executor: &Executor, peers: &Peers) {
    let tables = &executor.tables;
    let known = lock_read(&tables.peers).clone();
    let names = pool_names(tables);
    for (origin, values) in peers.values(LOAD_KEY) {
        let Some(peer) = known.get(&origin) else { continue };
        let load = DaemonLoad {
            daemon: identity_text(origin),
            data_centre: peer.data_centre.clone(),
            region: peer.region.clone(),
            pools: decode_pools(&values, &names),
        };
        let effects = lock(&tables.scheduler).peer_load(&load, tables.now());
        execute_effects(executor, effects);
    }
}

/// The models and plain services of the active lists, by the hash of their name.
fn pool_names(tables: &Tables) -> BTreeMap<u64, String> {
    let active = tables.active_lists();
    let classes = active.lists.grants.classes.values();
    classes.map(|class| (hash_name(class.pool_name()), class.pool_name().to_string())).collect()
}

fn encode_pool(name: &str, pool: &PoolLoad) -> Vec<u64> {
    let tiers = [pool.waiting, pool.running, pool.urgent].concat();
    let values = tiers.into_iter().chain([pool.protected, pool.free_slots, pool.delay_ms]);
    [hash_name(name)].into_iter().chain(values.map(u64::from)).collect()
}

/// Decodes the loads on pools; skips pools that the active lists do not name.
fn decode_pools(values: &[u64], names: &BTreeMap<u64, String>) -> BTreeMap<String, PoolLoad> {
    // A daemon of another version may publish a different number of values per pool.
    if !values.len().is_multiple_of(VALUES_PER_POOL + 1) {
        return BTreeMap::new();
    }
    let pools = values.chunks_exact(VALUES_PER_POOL + 1);
    let named = pools.filter_map(|pool| {
        let name = names.get(&pool[0])?;
        Some((name.clone(), decode_pool(&pool[1..])))
    });
    named.collect()
}

fn decode_pool(values: &[u64]) -> PoolLoad {
    let value = |i: usize| u32::try_from(values[i]).unwrap_or(u32::MAX);
    let tiers = |start: usize| std::array::from_fn(|tier| value(start + tier));
    PoolLoad {
        waiting: tiers(0),
        running: tiers(TIERS),
        urgent: tiers(2 * TIERS),
        protected: value(3 * TIERS),
        free_slots: value(3 * TIERS + 1),
        delay_ms: value(3 * TIERS + 2),
    }
}
