use crate::Millis;
use serde::{Deserialize, Serialize};

/// Parts of the scheduler that a measurement can switch off.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct Mechanisms {
    /// Lower tiers give way to a higher one that would miss its target.
    pub preemption: bool,
    /// A stream is held back, where the endpoint allows it, before one is ended.
    pub pause: bool,
    /// Classes with a floor get it from the slack of higher tiers.
    pub floors: bool,
    /// Requests that cannot meet their target are refused on arrival.
    pub early_refusal: bool,
    /// Accounts of one tier share it evenly.
    pub fairness: bool,
    /// Daemons divide a pool by the load that they spread.
    pub exchange: bool,
    /// Requests go to the endpoint that holds their prefix.
    pub affinity: bool,
    /// Slow and silent endpoints are found by own observations.
    pub observation: bool,
    /// An endpoint comes back with little work at first.
    pub slow_start: bool,
    /// Requests go to other data centres.
    pub spill: bool,
    /// Bytes over the link between regions are bounded.
    pub link_budget: bool,
    /// Retries are bounded by a budget.
    pub retry_budget: bool,
    /// Answer lengths are learnt by class and account.
    pub lengths: bool,
    /// Account limits are enforced.
    pub limits: bool,
}

impl Default for Mechanisms {
    fn default() -> Mechanisms {
        Mechanisms {
            preemption: true,
            pause: true,
            floors: true,
            early_refusal: true,
            fairness: true,
            exchange: true,
            affinity: true,
            observation: true,
            slow_start: true,
            spill: true,
            link_budget: true,
            retry_budget: true,
            lengths: true,
            limits: true,
        }
    }
}

/// Settings of the scheduler.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default)]
pub struct SchedulerConfig {
    /// The name of this daemon.
    pub name: String,
    /// The data centre of this daemon.
    pub data_centre: String,
    /// The region of this daemon.
    pub region: String,
    /// The seed of the choices that are drawn.
    pub seed: u64,
    /// Requests that wait in this daemon at most.
    pub queue_limit: usize,
    /// Attempts for one request at most.
    pub attempt_limit: u32,
    /// The time for which an endpoint rests after a failure.
    pub cooldown_after_failure: Millis,
    /// Endpoints of a pool that this daemon uses at most.
    pub subset: usize,
    /// The time without a token after which a running attempt is given up.
    pub silence_limit: Millis,
    /// The time after which the load that another daemon spread no longer counts.
    pub peer_timeout: Millis,
    /// Bytes a second between the regions, each way, for all daemons of a region.
    pub link_bytes_per_second: u64,
    /// The part of the account limits that this daemon's data centre grants, 0 to 1.
    pub limit_share: f64,
    /// Whether invariants are checked at each tick in release builds too.
    pub check_invariants: bool,
    /// Parts that are switched on.
    pub mechanisms: Mechanisms,
}

impl Default for SchedulerConfig {
    fn default() -> SchedulerConfig {
        SchedulerConfig {
            name: String::new(),
            data_centre: String::new(),
            region: String::new(),
            seed: 0,
            queue_limit: 1024,
            attempt_limit: 4,
            cooldown_after_failure: Millis(1_000),
            subset: 16,
            silence_limit: Millis(2_000),
            peer_timeout: Millis(2_000),
            link_bytes_per_second: 3_750_000,
            limit_share: 1.0,
            check_invariants: false,
            mechanisms: Mechanisms::default(),
        }
    }
}
