//! The measurements: changes of the lists, steady traffic, deaths, store calls and memory.

use crate::{Fleet, FleetConfig, Times, Traffic, lists_text};
use decision::Millis;
use decision::cluster::{Event, Identity, Scope};
use std::collections::BTreeMap;

/// Time for the fleet to form before a measurement starts.
const WARM_UP: Millis = Millis(20_000);

/// Times until changes of the lists are active.
#[derive(Clone, Debug, Default)]
pub struct ChangeTimes {
    /// Time from the change until each daemon that ran then has activated it.
    pub running: Times,
    /// Time from its start until each daemon that started after the change has activated it.
    pub started_later: Times,
    /// Number of live daemons that had not activated a change after 8 s.
    pub missed: usize,
    /// Traffic from the first change until 8 s after the last.
    pub traffic: Traffic,
}

fn start_fleet(cfg: FleetConfig, accounts: usize) -> Fleet {
    let mut fleet = Fleet::new(FleetConfig { is_preloaded: true, ..cfg });
    fleet.change_lists(1, lists_text(accounts, 1));
    fleet.run(WARM_UP);
    fleet
}

/// Makes `count` changes of the lists; with `with_replacement`, a tenth of the daemons is replaced
/// at each change.
pub fn measure_changes(
    cfg: FleetConfig,
    accounts: usize,
    count: u64,
    with_replacement: bool,
) -> ChangeTimes {
    let size = cfg.size;
    let mut fleet = start_fleet(cfg, accounts);
    fleet.traffic = Traffic::default();
    let mut result = ChangeTimes::default();
    let replaced = if with_replacement { size.div_ceil(10) } else { 0 };
    for (turn, revision) in (2..2 + count).enumerate() {
        let since = fleet.now;
        fleet.change_lists(revision, lists_text(accounts, revision));
        for i in 0..replaced {
            let node = (turn + i * 7) % size;
            fleet.kill(node);
            fleet.restart(node, Millis(200));
        }
        fleet.run(since + Millis(8_000));
        let (running, started_later) = fleet.activation_times(revision, since);
        result.missed += fleet.live().len() - running.len() - started_later.len();
        result.running.extend(&running);
        result.started_later.extend(&started_later);
    }
    result.traffic = fleet.traffic;
    result
}

/// Measures the traffic over `seconds`, in which the daemons of each data centre together publish
/// `values` values per second and the lists change every 19 s.
pub fn measure_steady_traffic(
    cfg: FleetConfig,
    accounts: usize,
    values: u64,
    seconds: u64,
) -> (Traffic, Millis) {
    let mut fleet = start_fleet(cfg, accounts);
    fleet.traffic = Traffic::default();
    let start = fleet.now;
    for second in 0..seconds {
        if second % 19 == 0 {
            let revision = 2 + second / 19;
            fleet.change_lists(revision, lists_text(accounts, revision));
        }
        for node in fleet.live().into_iter().take(4 * values as usize) {
            let (key, ttl) = (String::from("admission/campo-8b"), Millis(5_000));
            let values = vec![2, second % 100];
            fleet.handle_event(node, Event::Publish { key, scope: Scope::DataCentre, ttl, values });
        }
        fleet.run(fleet.now + Millis(1_000));
    }
    (fleet.traffic, fleet.now.since(start))
}

/// Detection of daemons that died, and false detections of daemons that were paused.
#[derive(Clone, Debug, Default)]
pub struct DeathDetection {
    /// Time until each daemon in the data centre of the dead one had declared it dead.
    pub local: Times,
    /// Time until each daemon of the other data centres had declared it dead.
    pub remote: Times,
    /// Number of pairs of a death and a daemon that did not detect it.
    pub missed: usize,
    /// Suspicions of daemons that were neither killed nor paused.
    pub false_suspicions: usize,
    /// Suspicions of daemons that were paused.
    pub pause_suspicions: usize,
    /// Identities of running or paused daemons that were declared dead.
    pub false_deaths: u64,
}

/// Kills `count` daemons one after the other, and with each pauses another one for `pause`.
pub fn measure_deaths(cfg: FleetConfig, count: usize, pause: Millis) -> DeathDetection {
    let size = cfg.size;
    let mut fleet = start_fleet(cfg, 10);
    let mut result = DeathDetection::default();
    let mut killed: BTreeMap<Identity, (usize, Millis)> = BTreeMap::new();
    let mut paused: Vec<Identity> = Vec::new();
    for i in 0..count {
        let (node, other) = (i * 11 % size, (i * 11 + 5) % size);
        let Some(identity) = fleet.cluster(node).map(|c| c.me().identity) else { continue };
        let paused_identity = fleet.cluster(other).map(|c| c.me().identity);
        killed.insert(identity, (node, fleet.now));
        fleet.kill(node);
        if pause.0 > 0 {
            paused.extend(paused_identity);
            fleet.pause(other, pause);
        }
        fleet.run(fleet.now + Millis(30_000));
        fleet.restart(node, Millis(0));
        fleet.run(fleet.now + Millis(10_000));
    }
    let mut detected = 0;
    for (identity, observer, at) in &fleet.deaths {
        let Some((node, since)) = killed.get(identity) else { continue };
        let is_local = Fleet::data_centre(*node) == Fleet::data_centre(*observer);
        let times = if is_local { &mut result.local } else { &mut result.remote };
        times.push(at.since(*since));
        detected += 1;
    }
    result.missed = (killed.len() * (size - 1)).saturating_sub(detected);
    for (identity, _, _) in &fleet.suspicions {
        if paused.contains(identity) {
            result.pause_suspicions += 1;
        } else if !killed.contains_key(identity) {
            result.false_suspicions += 1;
        }
    }
    result.false_deaths = fleet.identities_replaced;
    result
}

/// Number of store calls of the whole fleet.
#[derive(Clone, Copy, Debug, Default)]
pub struct StoreLoad {
    /// Calls in the first 10 s, in which all daemons start.
    pub at_start: u64,
    /// Most calls in 1 s of the first 10 s.
    pub start_peak: u64,
    /// Calls in a minute without a change of the lists.
    pub steady: u64,
    /// Calls in a minute of a store outage.
    pub in_outage: u64,
    /// Calls in the first 10 s after the outage.
    pub after_outage: u64,
    /// Most calls in 1 s of the 10 s after the outage.
    pub after_peak: u64,
}

/// Counts the store calls at the start, in steady operation, during an outage and after it.
pub fn measure_store_load(cfg: FleetConfig) -> StoreLoad {
    let mut fleet = Fleet::new(cfg);
    fleet.change_lists(1, lists_text(10, 1));
    let mut load = StoreLoad::default();
    (load.at_start, load.start_peak) = count_calls(&mut fleet, 10);
    count_calls(&mut fleet, 10);
    load.steady = count_calls(&mut fleet, 60).0;
    fleet.set_store_down(true);
    load.in_outage = count_calls(&mut fleet, 60).0;
    fleet.set_store_down(false);
    (load.after_outage, load.after_peak) = count_calls(&mut fleet, 10);
    load
}

/// Runs for `seconds`; gives the number of store calls and the most in 1 s.
fn count_calls(fleet: &mut Fleet, seconds: u64) -> (u64, u64) {
    let mut sum = 0;
    let mut peak = 0;
    for _ in 0..seconds {
        let before = fleet.store.calls;
        fleet.run(fleet.now + Millis(1_000));
        let calls = fleet.store.calls - before;
        sum += calls;
        peak = peak.max(calls);
    }
    (sum, peak)
}

/// Resident bytes per state machine with the given numbers of members, client accounts and shared
/// values, averaged over `copies` of it.
pub fn bytes_per_cluster(copies: usize, members: usize, accounts: usize, entries: usize) -> f64 {
    use decision::cluster::{Cluster, ClusterConfig};
    use rand::SeedableRng;
    let before = resident_bytes();
    let text = lists_text(accounts, 1);
    let now = Millis(0);
    let mut clusters = Vec::new();
    for copy in 0..copies {
        let mut rng = rand_pcg::Pcg64::seed_from_u64(copy as u64);
        let identity = Identity::random(&mut rng);
        let mut cluster = Cluster::new(ClusterConfig::default(), identity, rng, now);
        if accounts > 0 {
            let lists = Event::Lists { version: 1, revision: 1, text: text.clone() };
            cluster.handle(lists, now);
        }
        for packet in crate::random_faults::member_packets(members) {
            let from = std::net::SocketAddr::from(([10, 0, 0, 1], 7_000));
            cluster.handle(Event::Packet { from, packet }, now);
        }
        for entry in 0..entries {
            let key = format!("endpoint/{entry:05}");
            let (scope, ttl, values) = (Scope::DataCentre, Millis(60_000), vec![1, 2, 3]);
            cluster.handle(Event::Publish { key, scope, ttl, values }, now);
        }
        clusters.push(cluster);
    }
    (resident_bytes() - before) / clusters.len() as f64
}

/// Resident bytes of this process; 0 if the system doesn't tell them.
fn resident_bytes() -> f64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kilobytes = line.and_then(|l| l.split_whitespace().next()).and_then(|n| n.parse().ok());
    kilobytes.map_or(0.0, |kilobytes: f64| kilobytes * 1_024.0)
}
