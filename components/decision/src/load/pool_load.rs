use super::TIERS;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The load that one daemon puts on one pool.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct PoolLoad {
    /// Waiting and paused requests by tier, the highest first.
    pub waiting: [u32; TIERS],
    /// Running requests by tier that a floor does not protect.
    pub running: [u32; TIERS],
    /// Running requests that the floor of their class protects.
    pub protected: u32,
    /// Waiting requests by tier that are urgent or soon will be: lower-tier requests are preempted
    /// for them.
    pub urgent: [u32; TIERS],
    /// Slots of the daemon's share that neither its running nor its waiting requests need.
    pub free_slots: u32,
    /// The mean wait of a request before its first start, in milliseconds.
    pub delay_ms: u32,
}

/// The load report that a daemon sends to the others a few times a second.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct DaemonLoad {
    /// The name of the daemon.
    pub daemon: String,
    /// Its data centre.
    pub data_centre: String,
    /// Its region.
    pub region: String,
    /// Its pools by model or plain service.
    pub pools: BTreeMap<String, PoolLoad>,
}
