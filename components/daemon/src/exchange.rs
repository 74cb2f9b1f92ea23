use crate::admin::instance_text;
use crate::attempt::{Shell, carry_out};
use crate::peers::Peers;
use crate::tables::{lock, lock_read};
use decision::Millis;
use decision::load::{DaemonLoad, PoolLoad, TIERS};
use std::collections::BTreeMap;
use std::thread;
use std::time::Duration;

/// The time between two exchanges.
const INTERVAL: Duration = Duration::from_millis(250);

/// The time for which a load that was spread counts.
const LOAD_TTL: Millis = Millis(2_000);

/// The start of the keys under which loads are spread; the name of the pool follows.
const LOAD_PREFIX: &str = "load/";

/// The numbers that describe the load on one pool.
const LOAD_NUMBERS: usize = 3 * TIERS + 3;

/// Spreads the load of this daemon and takes in that of the others, until the process ends.
pub fn exchange_loads(shell: &Shell, peers: &Peers) {
    loop {
        thread::sleep(INTERVAL);
        if !shell.tables.is_stopping() {
            spread_own(shell, peers);
        }
        take_others(shell, peers);
    }
}

fn spread_own(shell: &Shell, peers: &Peers) {
    let tables = &shell.tables;
    let own = lock(&tables.scheduler).own_load(tables.now());
    for (name, pool) in &own.pools {
        peers.publish(format!("{LOAD_PREFIX}{name}"), LOAD_TTL, numbers_of(pool));
    }
}

fn take_others(shell: &Shell, peers: &Peers) {
    let tables = &shell.tables;
    let mut loads: BTreeMap<u128, DaemonLoad> = BTreeMap::new();
    let known = lock_read(&tables.peers).clone();
    for ((origin, key), numbers) in peers.values(LOAD_PREFIX) {
        let (Some(peer), Some(pool)) = (known.get(&origin), pool_of(&numbers)) else { continue };
        let load = loads.entry(origin).or_insert_with(|| DaemonLoad {
            daemon: instance_text(origin),
            data_centre: peer.data_centre.clone(),
            region: peer.region.clone(),
            pools: BTreeMap::new(),
        });
        let name = key.strip_prefix(LOAD_PREFIX).unwrap_or_default();
        load.pools.insert(name.to_string(), pool);
    }
    for load in loads.values() {
        let effects = lock(&tables.scheduler).peer_load(load, tables.now());
        carry_out(shell, effects);
    }
}

fn numbers_of(pool: &PoolLoad) -> Vec<u64> {
    let tiers = [pool.waiting, pool.running, pool.pressed].concat();
    let numbers = tiers.into_iter().chain([pool.protected, pool.room, pool.delay_ms]);
    numbers.map(u64::from).collect()
}

/// Reads the load on a pool; numbers of another length come from another version.
fn pool_of(numbers: &[u64]) -> Option<PoolLoad> {
    if numbers.len() != LOAD_NUMBERS {
        return None;
    }
    let number = |i: usize| u32::try_from(numbers[i]).unwrap_or(u32::MAX);
    let tiers = |start: usize| std::array::from_fn(|tier| number(start + tier));
    Some(PoolLoad {
        waiting: tiers(0),
        running: tiers(TIERS),
        pressed: tiers(2 * TIERS),
        protected: number(3 * TIERS),
        room: number(3 * TIERS + 1),
        delay_ms: number(3 * TIERS + 2),
    })
}
