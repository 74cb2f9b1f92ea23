use super::{DaemonLoad, PoolLoad, TIERS};
use crate::Millis;
use std::collections::{BTreeMap, BTreeSet};

/// The load of several daemons on one pool.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub(super) struct PoolSum {
    pub(super) waiting: [u32; TIERS],
    pub(super) running: [u32; TIERS],
    pub(super) urgent: [u32; TIERS],
    pub(super) protected: u32,
    pub(super) free_slots: u32,
    /// Daemons with urgent requests.
    pub(super) urgent_daemons: u32,
}

impl PoolSum {
    fn add(&mut self, load: &PoolLoad) {
        for tier in 0..TIERS {
            self.waiting[tier] += load.waiting[tier];
            self.running[tier] += load.running[tier];
            self.urgent[tier] += load.urgent[tier];
        }
        self.protected += load.protected;
        self.free_slots += load.free_slots;
        self.urgent_daemons += u32::from(load.urgent.iter().any(|n| *n > 0));
    }

    /// Subtracts a load; saturates, as slots reserved by forwards are already subtracted.
    fn subtract(&mut self, load: &PoolLoad) {
        let deduct = |sum: &mut u32, part: u32| *sum = sum.saturating_sub(part);
        for tier in 0..TIERS {
            deduct(&mut self.waiting[tier], load.waiting[tier]);
            deduct(&mut self.running[tier], load.running[tier]);
            deduct(&mut self.urgent[tier], load.urgent[tier]);
        }
        deduct(&mut self.protected, load.protected);
        deduct(&mut self.free_slots, load.free_slots);
        deduct(&mut self.urgent_daemons, u32::from(load.urgent.iter().any(|n| *n > 0)));
    }

    /// Returns the running requests below a tier.
    pub(super) fn running_below(&self, tier: usize) -> u32 {
        self.running[tier + 1..].iter().sum()
    }
}

/// The summed load reports of one data centre's daemons.
#[derive(Clone, Debug, Default)]
pub(super) struct DataCentreLoad {
    pub(super) region: String,
    pub(super) daemons: u32,
    pub(super) pools: BTreeMap<String, PoolSum>,
}

/// The load reports of the other daemons, summed by data centre.
#[derive(Clone, Debug, Default)]
pub(super) struct Peers {
    loads: BTreeMap<String, (DaemonLoad, Millis)>,
    by_report_time: BTreeSet<(Millis, String)>,
    centres: BTreeMap<String, DataCentreLoad>,
}

impl Peers {
    /// Records the load report of a daemon, replacing its previous one.
    pub(super) fn record(&mut self, load: &DaemonLoad, now: Millis) {
        self.remove(&load.daemon);
        if !self.centres.contains_key(&load.data_centre) {
            self.centres.insert(load.data_centre.clone(), DataCentreLoad::default());
        }
        let centre = self.centres.get_mut(&load.data_centre).expect("inserted above");
        centre.region.clone_from(&load.region);
        centre.daemons += 1;
        for (name, pool) in &load.pools {
            centre.pools.entry(name.clone()).or_default().add(pool);
        }
        self.by_report_time.insert((now, load.daemon.clone()));
        self.loads.insert(load.daemon.clone(), (load.clone(), now));
    }

    /// Removes a daemon that left or timed out.
    pub(super) fn remove(&mut self, daemon: &str) {
        let Some((load, at)) = self.loads.remove(daemon) else { return };
        self.by_report_time.remove(&(at, load.daemon));
        let Some(centre) = self.centres.get_mut(&load.data_centre) else { return };
        centre.daemons -= 1;
        for (name, pool) in &load.pools {
            if let Some(sum) = centre.pools.get_mut(name) {
                sum.subtract(pool);
            }
        }
        if centre.daemons == 0 {
            self.centres.remove(&load.data_centre);
        }
    }

    /// Removes daemons that have not reported their load for `timeout`.
    pub(super) fn expire(&mut self, timeout: Millis, now: Millis) {
        while let Some((at, daemon)) = self.by_report_time.first().cloned() {
            if now.since(at) <= timeout {
                return;
            }
            self.remove(&daemon);
        }
    }

    /// Returns the number of other daemons in a data centre and their summed load on a pool.
    pub(super) fn totals(&self, data_centre: &str, pool: &str) -> (u32, PoolSum) {
        let centre = self.centres.get(data_centre);
        let sum = centre.and_then(|c| c.pools.get(pool)).cloned().unwrap_or_default();
        (centre.map_or(0, |c| c.daemons), sum)
    }

    pub(super) fn data_centres(&self) -> &BTreeMap<String, DataCentreLoad> {
        &self.centres
    }

    /// Returns the number of other daemons with a current load report.
    pub(super) fn daemon_count(&self) -> usize {
        self.loads.len()
    }

    /// Subtracts the slot that a forwarded request will use from the reported load: a free slot, or
    /// without one the slot of a running request of the lowest tier below `tier`.
    pub(super) fn reserve_slot(&mut self, data_centre: &str, pool: &str, tier: usize) {
        let centre = self.centres.get_mut(data_centre);
        let Some(sum) = centre.and_then(|c| c.pools.get_mut(pool)) else { return };
        if sum.free_slots > 0 {
            sum.free_slots -= 1;
            return;
        }
        let lowest = (tier + 1..TIERS).rev().find(|t| sum.running[*t] > 0);
        if let Some(lowest) = lowest {
            sum.running[lowest] -= 1;
        }
    }
}
