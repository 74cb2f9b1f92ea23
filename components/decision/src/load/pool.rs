use super::floor::Floor;
use super::observation::{Rate, Smoothed};
use super::queue::TierQueue;
use super::share::Demand;
use super::{PoolLoad, TIERS};
use crate::Millis;
use std::collections::{BTreeMap, BTreeSet};

/// The time between tokens that is assumed before the first observation, in milliseconds.
const DEFAULT_BETWEEN_TOKENS_MS: f64 = 40.0;

/// The time to the first token assumed before the first observation, in milliseconds.
const DEFAULT_FIRST_TOKEN_MS: f64 = 200.0;

/// The time for which a tier counts as not admitted after a refusal.
const RECENT_REFUSAL_WINDOW: Millis = Millis(2_000);

/// The requests and endpoints of one model or plain service.
#[derive(Clone, Debug, Default)]
pub(super) struct Pool {
    /// Waiting requests by tier.
    pub(super) queues: [TierQueue; TIERS],
    /// Paused requests by tier, the oldest first.
    pub(super) paused: [BTreeSet<(Millis, u64)>; TIERS],
    /// Running requests by tier that a floor does not protect, in the order of their starts.
    pub(super) running: [BTreeSet<(Millis, u64)>; TIERS],
    /// Running requests that a floor protects.
    pub(super) protected: BTreeSet<u64>,
    /// Floors by class.
    pub(super) floors: BTreeMap<String, Floor>,
    /// Live endpoints by rendezvous score, the order in which this daemon prefers them.
    pub(super) members: BTreeSet<(u64, String)>,
    /// The slots of all live endpoints.
    pub(super) slots: u32,
    /// Estimated slots lost at endpoints that are slow, cool down or are in slow start.
    pub(super) unavailable_slots: u32,
    /// The time to the first token, in milliseconds.
    pub(super) first_token: Smoothed,
    /// The time between tokens, in milliseconds.
    pub(super) between_tokens: Smoothed,
    /// The slot time started per unit of time by tier: the slots that the tier uses on average.
    pub(super) started_work: [Rate; TIERS],
    /// The measured wait before the first start, in milliseconds.
    pub(super) queue_delay: Smoothed,
    /// When a request of each tier was last refused as overloaded.
    pub(super) last_refused: [Option<Millis>; TIERS],
}

impl Pool {
    /// Returns the slots without those lost at slow or recovering endpoints.
    pub(super) fn usable_slots(&self) -> u32 {
        self.slots.saturating_sub(self.unavailable_slots)
    }

    /// Returns the requests that this daemon runs on the pool.
    pub(super) fn outstanding(&self) -> u32 {
        let running: usize = self.running.iter().map(BTreeSet::len).sum();
        (running + self.protected.len()) as u32
    }

    /// Returns the lowest tier without a recent refusal; 0 when there is none.
    pub(super) fn admitted_tier(&self, now: Millis) -> u8 {
        let refused_recently =
            |at: &Option<Millis>| at.is_some_and(|at| now.since(at) < RECENT_REFUSAL_WINDOW);
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
        let count = |tier: usize| {
            self.queues[tier].len() + self.paused[tier].len() + self.running[tier].len()
        };
        let tiers = std::array::from_fn(|tier| count(tier) as u32);
        Demand { tiers, protected: self.protected.len() as u32 }
    }

    /// Returns the running requests below a tier in the order of preemption: the lowest tier first,
    /// within it the most recently started request first.
    pub(super) fn running_below(&self, tier: usize) -> impl Iterator<Item = u64> + '_ {
        let below = (tier + 1..TIERS).rev();
        below.flat_map(|t| self.running[t].iter().rev()).map(|(_, request)| *request)
    }

    /// Returns the expected slot time of a response of `tokens` tokens, in milliseconds.
    pub(super) fn work_ms(&self, tokens: u32) -> u64 {
        let first = self.first_token.mean_or(DEFAULT_FIRST_TOKEN_MS);
        (first + self.between_tokens.mean_or(DEFAULT_BETWEEN_TOKENS_MS) * f64::from(tokens)) as u64
    }

    /// Returns an upper estimate of the time to the first token, in milliseconds.
    pub(super) fn first_token_upper_ms(&self) -> u64 {
        self.first_token.upper_or(DEFAULT_FIRST_TOKEN_MS) as u64
    }

    /// Returns the number of requests of a tier that are urgent by `until`, at most one per slot.
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
