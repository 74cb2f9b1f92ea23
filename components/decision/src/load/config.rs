use crate::Millis;
use serde::{Deserialize, Serialize};

/// Parts of the scheduler that a benchmark can switch off.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct Mechanisms {
    /// Lower-tier requests are preempted for higher-tier ones that would miss their target.
    pub preemption: bool,
    /// Preemption pauses a stream where the endpoint supports it, instead of cancelling it.
    pub pause: bool,
    /// Classes with a floor get their share while higher tiers have slack.
    pub floors: bool,
    /// Requests that cannot meet their target are refused on arrival.
    pub early_refusal: bool,
    /// The client accounts of one tier share its slots evenly.
    pub fairness: bool,
    /// Daemons divide a pool by the load that they report to each other.
    pub exchange: bool,
    /// Requests prefer the endpoint that caches their prefix.
    pub affinity: bool,
    /// Slow endpoints and silent attempts are detected from this daemon's measurements.
    pub observation: bool,
    /// An endpoint that recovers from a failure starts with few requests.
    pub slow_start: bool,
    /// Requests are forwarded to other data centres.
    pub spill: bool,
    /// Bytes over the link between regions are bounded.
    pub link_budget: bool,
    /// Retries are bounded by a budget.
    pub retry_budget: bool,
    /// Expected slot times use the response lengths observed by class and account.
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
    /// The seed of the random choices of endpoints.
    pub seed: u64,
    /// The maximum number of waiting requests in this daemon.
    pub queue_limit: usize,
    /// The number of failed attempts at local endpoints after which a request is refused.
    pub attempt_limit: u32,
    /// The cooldown of an endpoint after its first failure; doubles with each consecutive failure,
    /// up to 16 times this value.
    pub cooldown_after_failure: Millis,
    /// The maximum number of endpoints of a pool that this daemon uses.
    pub subset: usize,
    /// The time without a token after which a running attempt is cancelled; longer before the first
    /// token if the pool's usual time to the first token requires it.
    pub silence_limit: Millis,
    /// The age after which the load reported by another daemon is dropped.
    pub peer_timeout: Millis,
    /// The capacity of the link between the regions in each direction, in bytes per second; the
    /// daemons of a region share half of it.
    pub link_bytes_per_second: u64,
    /// The part of the account limits that this daemon's data centre grants, 0 to 1.
    pub limit_share: f64,
    /// Whether invariants are checked in release builds too; a violation panics.
    pub check_invariants: bool,
    /// The enabled parts of the scheduler.
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
