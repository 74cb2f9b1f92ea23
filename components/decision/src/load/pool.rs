use super::floor::Floor;
use super::observation::{Rate, Smoothed};
use super::queue::TierQueue;
use super::share::Demand;
use super::{PoolLoad, TIERS};
use crate::Millis;
use std::collections::{BTreeMap, BTreeSet};

/// The time between tokens assumed before the first observation, in milliseconds.
const DEFAULT_BETWEEN_MS: f64 = 40.0;

/// The time to the first token assumed before the first observation, in milliseconds.
const DEFAULT_FIRST_MS: f64 = 200.0;

/// The time for which a tier counts as not admitted after a refusal.
const REFUSAL_MEMORY: Millis = Millis(2_000);

/// The requests and endpoints of one model or plain service.
#[derive(Clone, Debug, Default)]
pub(super) struct Pool {
    /// Waiting requests by tier.
    pub(super) queues: [TierQueue; TIERS],
    /// Paused requests by tier, the oldest first.
    pub(super) paused: [BTreeSet<(Millis, u64)>; TIERS],
    /// Running requests by tier that a floor does not protect, by their start.
    pub(super) running: [BTreeSet<(Millis, u64)>; TIERS],
    /// Running requests that a floor protects.
    pub(super) protected: BTreeSet<u64>,
    /// Floors by class.
    pub(super) floors: BTreeMap<String, Floor>,
    /// Endpoints in the order in which this daemon prefers them.
    pub(super) members: BTreeSet<(u64, String)>,
    /// Streams of all live endpoints.
    pub(super) slots: u32,
    /// Estimated streams of endpoints that cool down or are in slow start.
    pub(super) unavailable: u32,
    /// The time to the first token.
    pub(super) first_token: Smoothed,
    /// The time between tokens.
    pub(super) between_tokens: Smoothed,
    /// The rate of slot time started by tier, which equals the streams that the tier gets.
    pub(super) started: [Rate; TIERS],
    /// The measured wait before the first start, in milliseconds.
    pub(super) queue_delay: Smoothed,
    /// When a request of each tier was last refused as overloaded.
    pub(super) last_refused: [Option<Millis>; TIERS],
}

impl Pool {
    /// Returns the streams without those of endpoints that cool down or are in slow start.
    pub(super) fn usable_slots(&self) -> u32 {
        self.slots.saturating_sub(self.unavailable)
    }

    /// Returns the requests that this daemon runs on the pool.
    pub(super) fn outstanding(&self) -> u32 {
        let running: usize = self.running.iter().map(BTreeSet::len).sum();
        (running + self.protected.len()) as u32
    }

    /// Returns the lowest tier without a recent refusal; 0 when there is none.
    pub(super) fn admitted_tier(&self, now: Millis) -> u8 {
        let refused_recently =
            |at: &Option<Millis>| at.is_some_and(|at| now.since(at) < REFUSAL_MEMORY);
        self.last_refused
            .iter()
            .rposition(|at| !refused_recently(at))
            .map_or(0, |tier| tier as u8 + 1)
    }

    /// Returns whether no request is waiting or paused.
    pub(super) fn is_idle(&self) -> bool {
        self.waiting() == 0 && self.paused.iter().all(BTreeSet::is_empty)
    }

    pub(super) fn waiting(&self) -> usize {
        self.queues.iter().map(TierQueue::len).sum()
    }

    /// Returns this daemon's demand on the pool.
    pub(super) fn demand(&self) -> Demand {
        let of = |tier: usize| {
            self.queues[tier].len() + self.paused[tier].len() + self.running[tier].len()
        };
        let tiers = std::array::from_fn(|tier| of(tier) as u32);
        Demand { tiers, protected: self.protected.len() as u32 }
    }

    /// Returns the running requests below a tier in the order of preemption.
    pub(super) fn running_below(&self, tier: usize) -> impl Iterator<Item = u64> + '_ {
        let below = (tier + 1..TIERS).rev();
        below.flat_map(|t| self.running[t].iter().rev()).map(|(_, request)| *request)
    }

    /// Returns the slot time of a response of `tokens` tokens, in milliseconds.
    pub(super) fn work(&self, tokens: u32) -> u64 {
        let first = self.first_token.mean_or(DEFAULT_FIRST_MS);
        (first + self.between_tokens.mean_or(DEFAULT_BETWEEN_MS) * f64::from(tokens)) as u64
    }

    /// Returns a time to the first token that few attempts exceed.
    pub(super) fn first_token_ms(&self) -> u64 {
        self.first_token.upper_or(DEFAULT_FIRST_MS) as u64
    }

    /// Returns the number of requests of a tier that are urgent by `until`.
    fn urgent_count(&self, tier: usize, until: Millis) -> u32 {
        self.queues[tier].urgent(until).take(self.slots as usize).count() as u32
    }

    /// Returns the load report of this pool.
    pub(super) fn load(&self, free_slots: u32, until: Millis) -> PoolLoad {
        let waiting = |t: usize| (self.queues[t].len() + self.paused[t].len()) as u32;
        PoolLoad {
            waiting: std::array::from_fn(waiting),
            running: std::array::from_fn(|t| self.running[t].len() as u32),
            protected: self.protected.len() as u32,
            urgent: std::array::from_fn(|t| self.urgent_count(t, until)),
            free_slots,
            delay_ms: self.queue_delay.mean as u32,
        }
    }
}
