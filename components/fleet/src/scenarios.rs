//! The measured situations.

use crate::{Fleet, FleetConfig, Times, Traffic, lists_text};
use decision::Millis;
use decision::cluster::{Event, Identity, Scope};
use std::collections::BTreeMap;

/// The time that a fleet gets to join before a measurement starts.
const WARM_UP: Millis = Millis(20_000);

/// What changes of the lists took.
#[derive(Clone, Debug, Default)]
pub struct Change {
    /// The time until each daemon that ran at the change had it in force.
    pub times: Times,
    /// The time from its start until a daemon that started later had it in force.
    pub fresh: Times,
    /// Live daemons that never got a change.
    pub missed: usize,
    /// What was sent from the first change to the last.
    pub traffic: Traffic,
}

fn started(cfg: FleetConfig, accounts: usize) -> Fleet {
    let mut fleet = Fleet::new(FleetConfig { is_preloaded: true, ..cfg });
    fleet.change_lists(1, lists_text(accounts, 1));
    fleet.run(WARM_UP);
    fleet
}

/// Makes `count` changes; in `with_replacement` a tenth of the daemons is replaced meanwhile.
pub fn changes(cfg: FleetConfig, accounts: usize, count: u64, with_replacement: bool) -> Change {
    let size = cfg.size;
    let mut fleet = started(cfg, accounts);
    fleet.traffic = Traffic::default();
    let mut result = Change::default();
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
        let (times, fresh) = fleet.times_in_force(revision, since);
        result.missed += fleet.live().len() - times.len() - fresh.len();
        result.times.extend(&times);
        result.fresh.extend(&fresh);
    }
    result.traffic = fleet.traffic;
    result
}

/// Runs `seconds` in which each data centre's daemons publish `values` values a second together
/// and the lists change every 19 s.
pub fn steady(cfg: FleetConfig, accounts: usize, values: u64, seconds: u64) -> (Traffic, Millis) {
    let mut fleet = started(cfg, accounts);
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
            fleet.tell(node, Event::Publish { key, scope: Scope::DataCentre, ttl, values });
        }
        fleet.run(fleet.now + Millis(1_000));
    }
    (fleet.traffic, fleet.now.since(start))
}

/// What the death of daemons and pauses led to.
#[derive(Clone, Debug, Default)]
pub struct Death {
    /// The time until each daemon of the dead one's data centre knew of its death.
    pub local: Times,
    /// The same for the daemons of other data centres.
    pub remote: Times,
    /// Daemons that did not learn of a death.
    pub missed: usize,
    /// Suspicions of daemons that ran all the time.
    pub false_suspicions: usize,
    /// Suspicions of daemons that were paused.
    pub pause_suspicions: usize,
    /// Daemons that ran or paused and were taken for dead.
    pub false_deaths: u64,
}

/// Kills daemons one after the other and pauses others for `pause`.
pub fn deaths(cfg: FleetConfig, count: usize, pause: Millis) -> Death {
    let size = cfg.size;
    let mut fleet = started(cfg, 10);
    let mut result = Death::default();
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
    let mut known = 0;
    for (identity, observer, at) in &fleet.deaths {
        let Some((node, since)) = killed.get(identity) else { continue };
        let is_local = Fleet::data_centre(*node) == Fleet::data_centre(*observer);
        let spread = if is_local { &mut result.local } else { &mut result.remote };
        spread.push(at.since(*since));
        known += 1;
    }
    result.missed = (killed.len() * (size - 1)).saturating_sub(known);
    for (identity, _, _) in &fleet.suspicions {
        if paused.contains(identity) {
            result.pause_suspicions += 1;
        } else if !killed.contains_key(identity) {
            result.false_suspicions += 1;
        }
    }
    result.false_deaths = fleet.replaced;
    result
}

/// Calls to the store of the whole fleet.
#[derive(Clone, Copy, Debug, Default)]
pub struct StoreLoad {
    /// Calls in the first ten seconds, with all daemons started within one.
    pub at_start: u64,
    /// The most calls in one second of them.
    pub start_peak: u64,
    /// Calls in a minute without a change.
    pub steady: u64,
    /// Calls in a minute of outage.
    pub in_outage: u64,
    /// Calls in the ten seconds after the outage.
    pub after_outage: u64,
    /// The most calls in one second of them.
    pub after_peak: u64,
}

/// Counts the calls to the store at the start, steadily, and around an outage.
pub fn store_load(cfg: FleetConfig) -> StoreLoad {
    let mut fleet = Fleet::new(cfg);
    fleet.change_lists(1, lists_text(10, 1));
    let mut load = StoreLoad::default();
    (load.at_start, load.start_peak) = calls(&mut fleet, 10);
    calls(&mut fleet, 10);
    load.steady = calls(&mut fleet, 60).0;
    fleet.set_store_down(true);
    load.in_outage = calls(&mut fleet, 60).0;
    fleet.set_store_down(false);
    (load.after_outage, load.after_peak) = calls(&mut fleet, 10);
    load
}

fn calls(fleet: &mut Fleet, seconds: u64) -> (u64, u64) {
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

/// Returns the resident bytes that one state machine takes with so many members, accounts and
/// shared values, as an average over `copies`.
pub fn memory(copies: usize, members: usize, accounts: usize, entries: usize) -> f64 {
    use decision::cluster::{Cluster, ClusterConfig};
    use rand::SeedableRng;
    let before = resident();
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
        for packet in crate::random::introductions(members) {
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
    (resident() - before) / clusters.len() as f64
}

fn resident() -> f64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kilobytes = line.and_then(|l| l.split_whitespace().next()).and_then(|n| n.parse().ok());
    kilobytes.map_or(0.0, |kilobytes: f64| kilobytes * 1_024.0)
}
