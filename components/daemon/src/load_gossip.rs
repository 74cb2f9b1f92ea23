use crate::admin::instance_text;
use crate::executor::{Executor, execute_effects};
use crate::peers::Peers;
use crate::tables::{Tables, lock, lock_read};
use decision::Millis;
use decision::load::{DaemonLoad, PoolLoad, TIERS};
use std::collections::BTreeMap;
use std::thread;
use std::time::Duration;
use utils::hash_name;

/// The time between two exchanges.
const INTERVAL: Duration = Duration::from_millis(250);

/// The time after which an unchanged load is spread again.
const REFRESH: Millis = Millis(1_000);

/// The time for which a load that was spread counts, unless its daemon is gone.
const LOAD_TTL: Millis = Millis(10_000);

/// The key under which loads are spread.
const LOAD_KEY: &str = "load";

/// The numbers that describe the load on one pool, after the hash of its name.
const LOAD_NUMBERS: usize = 3 * TIERS + 3;

/// Spreads the load of this daemon and takes in that of the others, until the process ends.
pub fn gossip_loads(executor: &Executor, peers: &Peers) {
    let mut spread = (Millis(0), Vec::new());
    loop {
        thread::sleep(INTERVAL);
        if !executor.tables.is_stopping() {
            spread_own(executor, peers, &mut spread);
        }
        take_others(executor, peers);
    }
}

/// Spreads the load when it has changed or was last spread a while ago.
fn spread_own(executor: &Executor, peers: &Peers, last: &mut (Millis, Vec<u64>)) {
    let tables = &executor.tables;
    let now = tables.now();
    let own = lock(&tables.scheduler).own_load(now);
    let numbers: Vec<u64> = own.pools.iter().flat_map(|(name, p)| numbers_of(name, p)).collect();
    if numbers == last.1 && now.since(last.0) < REFRESH {
        return;
    }
    peers.publish(LOAD_KEY.to_string(), LOAD_TTL, numbers.clone());
    *last = (now, numbers);
}

fn take_others(executor: &Executor, peers: &Peers) {
    let tables = &executor.tables;
    let known = lock_read(&tables.peers).clone();
    let names = pool_names(tables);
    for (origin, numbers) in peers.values(LOAD_KEY) {
        let Some(peer) = known.get(&origin) else { continue };
        let load = DaemonLoad {
            daemon: instance_text(origin),
            data_centre: peer.data_centre.clone(),
            region: peer.region.clone(),
            pools: pools_of(&numbers, &names),
        };
        let effects = lock(&tables.scheduler).peer_load(&load, tables.now());
        execute_effects(executor, effects);
    }
}

/// Returns the models and plain services of the lists by the hash of their name.
fn pool_names(tables: &Tables) -> BTreeMap<u64, String> {
    let active = tables.active_lists();
    let classes = active.lists.grants.classes.values();
    classes.map(|class| (hash_name(class.pool_name()), class.pool_name().to_string())).collect()
}

fn numbers_of(name: &str, pool: &PoolLoad) -> Vec<u64> {
    let tiers = [pool.waiting, pool.running, pool.urgent].concat();
    let numbers = tiers.into_iter().chain([pool.protected, pool.free_slots, pool.delay_ms]);
    [hash_name(name)].into_iter().chain(numbers.map(u64::from)).collect()
}

/// Reads the loads on pools; one whose name the lists do not have is passed over.
fn pools_of(numbers: &[u64], names: &BTreeMap<u64, String>) -> BTreeMap<String, PoolLoad> {
    // A daemon of another version may spread other numbers.
    if !numbers.len().is_multiple_of(LOAD_NUMBERS + 1) {
        return BTreeMap::new();
    }
    let pools = numbers.chunks_exact(LOAD_NUMBERS + 1);
    let named = pools.filter_map(|pool| {
        let name = names.get(&pool[0])?;
        Some((name.clone(), pool_of(&pool[1..])))
    });
    named.collect()
}

fn pool_of(numbers: &[u64]) -> PoolLoad {
    let number = |i: usize| u32::try_from(numbers[i]).unwrap_or(u32::MAX);
    let tiers = |start: usize| std::array::from_fn(|tier| number(start + tier));
    PoolLoad {
        waiting: tiers(0),
        running: tiers(TIERS),
        urgent: tiers(2 * TIERS),
        protected: number(3 * TIERS),
        free_slots: number(3 * TIERS + 1),
        delay_ms: number(3 * TIERS + 2),
    }
}
