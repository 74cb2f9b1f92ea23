use super::entry::{Entry, Place};
use super::{Effect, Scheduler, TIERS};
use crate::Millis;
use errors::{Reason, Refusal};

/// The upper bound of the retry-after time of a refusal, in milliseconds.
const MAX_RETRY_AFTER_MS: u64 = 60_000;

/// The lower bound of the retry-after time of a refusal, in milliseconds.
const MIN_RETRY_AFTER_MS: u64 = 500;

/// Multiple of the finish target after which a waiting request that has generated tokens is
/// refused.
const ABANDON_FACTOR: u64 = 3;

/// The maximum number of times that one request is forwarded to other data centres.
const FORWARD_LIMIT: u32 = 2;

/// Ratio of predicted wait to slack above which a request is refused on arrival.
const EARLY_REFUSAL_FACTOR: f64 = 2.0;

/// The round-trip time of the link between regions, in milliseconds.
const LINK_ROUND_TRIP_MS: u64 = 80;

impl Scheduler {
    /// Predicts how long a request would wait if it were queued now.
    pub(super) fn predict_wait(&self, entry: &Entry, now: Millis) -> Millis {
        let Some(pool) = self.pools.get(&entry.arrival.serves) else { return Millis(0) };
        let share = self.share(&entry.arrival.serves);
        let tier = entry.tier();
        let ahead: usize = pool.queues[..=tier].iter().map(|q| q.len()).sum();
        let paused: usize = pool.paused[..=tier].iter().map(|p| p.len()).sum();
        if f64::from(pool.outstanding()) + 1.0 <= share.total && ahead + paused == 0 {
            return Millis(0);
        }
        let own_ms = entry.work_ms;
        let fair = self.cfg.mechanisms.fairness;
        let queued_ms = pool.queues[tier].work_before_ms(&entry.arrival.account, fair);
        let work_ms = queued_ms + own_ms * pool.paused[tier].len() as u64 / 2 + own_ms / 2;
        let slots = share.tiers[tier].max(pool.started_work[tier].per_ms(now)).max(0.5);
        Millis((work_ms as f64 / slots) as u64)
    }

    /// Queues a new request, forwards it, or refuses it if it cannot meet its target.
    pub(super) fn admit(&mut self, mut entry: Entry, now: Millis) -> Vec<Effect> {
        let request = entry.arrival.request;
        let (pool_name, tier) = (entry.arrival.serves.clone(), entry.tier());
        entry.work_ms = self.expected_work_ms(&entry);
        let wait = self.predict_wait(&entry, now);
        let latest = self.latest_start(&entry);
        let slack_ms = latest.since(now).0 as f64;
        let late = wait.0 as f64 > slack_ms * EARLY_REFUSAL_FACTOR;
        let mut effects = Vec::new();
        self.entries.insert(request, entry);
        let full = self.waiting() >= self.cfg.queue_limit;
        if full && !self.evict_lower_tier(&pool_name, tier, now, &mut effects) {
            self.refuse(request, Reason::Overloaded, wait, now, &mut effects);
            return effects;
        }
        self.place_waiting(request, now);
        if late && self.cfg.mechanisms.early_refusal {
            self.refuse_early(request, &pool_name, wait, now, &mut effects);
        }
        effects.append(&mut self.dispatch(&pool_name, now));
        effects
    }

    /// Refuses a request that would be late, unless preemption or forwarding lets it start in time.
    fn refuse_early(
        &mut self,
        request: u64,
        pool_name: &str,
        wait: Millis,
        now: Millis,
        effects: &mut Vec<Effect>,
    ) {
        let Some(tier) = self.entries.get(&request).map(Entry::tier) else { return };
        while let Some(first) = self.first_waiting_at_or_above(pool_name, tier) {
            let Some(first_tier) = self.entries.get(&first).map(Entry::tier) else { break };
            if !self.preempt_for(pool_name, first, first_tier, now, effects) {
                break;
            }
        }
        let waits = self.entries.get(&request).is_some_and(Entry::is_waiting);
        if !waits || self.preemptible_at_peers(pool_name, tier, now) > 0 {
            return;
        }
        if self.spill(request, now, effects) {
            return;
        }
        self.refuse(request, Reason::Overloaded, wait, now, effects);
    }

    /// Returns the first waiting request of the highest non-empty tier, from the top to `tier`.
    fn first_waiting_at_or_above(&self, pool_name: &str, tier: usize) -> Option<u64> {
        let pool = self.pools.get(pool_name)?;
        pool.queues[..=tier].iter().find_map(|queue| queue.first())
    }

    /// Refuses the last waiting request of the lowest non-empty tier below `tier`, so that another
    /// request fits into the full queue; returns whether there was one.
    fn evict_lower_tier(
        &mut self,
        pool_name: &str,
        tier: usize,
        now: Millis,
        effects: &mut Vec<Effect>,
    ) -> bool {
        let Some(pool) = self.pools.get(pool_name) else { return false };
        let below = (tier + 1..TIERS).rev();
        let Some(last) = below.filter_map(|t| pool.queues[t].last()).next() else { return false };
        let wait = Millis(pool.queue_delay.mean as u64);
        self.refuse(last, Reason::Overloaded, wait, now, effects);
        true
    }

    /// Forwards a waiting request to another data centre that has capacity; returns whether it was
    /// forwarded.
    pub(super) fn spill(&mut self, request: u64, now: Millis, effects: &mut Vec<Effect>) -> bool {
        let Some(entry) = self.entries.get(&request) else { return false };
        let arrival = &entry.arrival;
        // A request that has generated tokens is forwarded only if no local endpoint can continue
        // it.
        let can_move = entry.generated == 0 || !self.is_served_here(&arrival.serves);
        let allowed = self.cfg.mechanisms.spill && !arrival.forwarded && can_move;
        if !allowed || entry.forwards >= FORWARD_LIMIT || !entry.may_retry() {
            return false;
        }
        let (tier, serves, class) = (entry.tier(), arrival.serves.clone(), arrival.class.clone());
        let Some((centre, cross_region)) = self.choose_data_centre(&serves, tier) else {
            return false;
        };
        if cross_region && !self.reserve_link_bytes(request, &class, now) {
            return false;
        }
        self.peers.reserve_slot(&centre, &serves, tier);
        self.stats.forwarded += 1;
        self.detach(request);
        let Some(entry) = self.entries.get_mut(&request) else { return false };
        entry.forwards += 1;
        entry.attempt += 1;
        entry.has_first_token = false;
        entry.placed_at = now;
        entry.progressed_at = now;
        entry.place = Place::Remote(centre.clone());
        let attempt = entry.attempt;
        self.schedule_silence_check(request, now);
        effects.push(Effect::Forward { request, attempt, data_centre: centre });
        true
    }

    /// Chooses a data centre to forward a request to; the flag is true if it is in another region.
    ///
    /// Prefers this region, then more free slots, then more preemptible lower-tier requests.
    fn choose_data_centre(&self, serves: &str, tier: usize) -> Option<(String, bool)> {
        let others = self.peers.data_centres().iter().filter(|(n, _)| **n != self.cfg.data_centre);
        let rated = others.filter_map(|(name, centre)| {
            let sum = centre.pools.get(serves)?;
            let below = if self.cfg.mechanisms.preemption { sum.running_below(tier) } else { 0 };
            let same_region = centre.region == self.cfg.region;
            (sum.free_slots + below > 0).then_some((same_region, sum.free_slots, below, name))
        });
        let (same_region, _, _, name) = rated.max()?;
        Some((name.clone(), !same_region))
    }

    /// Reserves the bytes of a request in the link budget, if it can start in time over the link.
    fn reserve_link_bytes(&mut self, request: u64, class: &str, now: Millis) -> bool {
        let Some(entry) = self.entries.get(&request) else { return false };
        let arrival = &entry.arrival;
        let latest = self.latest_start(entry);
        if latest < now + Millis(LINK_ROUND_TRIP_MS) {
            return false;
        }
        let response_tokens = self.lengths.remaining(class, &arrival.account, 0, 0.9);
        let tokens = (arrival.prompt_tokens, response_tokens);
        let (daemons, _) = self.daemon_counts();
        let per_second = if self.cfg.mechanisms.link_budget {
            self.cfg.link_bytes_per_second as f64 / f64::from(daemons)
        } else {
            f64::MAX / 1e6
        };
        self.link.try_reserve(class, tokens, per_second, now)
    }

    /// Returns the number of daemons of this region and of all regions, this daemon included.
    pub(super) fn daemon_counts(&self) -> (u32, u32) {
        let centres = self.peers.data_centres().values();
        let same_region = centres.filter(|c| c.region == self.cfg.region).map(|c| c.daemons);
        (same_region.sum::<u32>() + 1, self.peers.daemon_count() as u32 + 1)
    }

    /// Refuses a request that has generated tokens once it exceeds `ABANDON_FACTOR` times its
    /// finish target.
    pub(super) fn abandon_late(&mut self, request: u64, now: Millis, effects: &mut Vec<Effect>) {
        let Some(entry) = self.entries.get(&request) else { return };
        let limit = Millis(entry.arrival.finish.0.saturating_mul(ABANDON_FACTOR));
        if entry.arrival.finish.0 > 0 && now.since(entry.arrived) > limit {
            self.refuse(request, Reason::Overloaded, Millis(0), now, effects);
        }
    }

    /// Refuses a request that can no longer start in time.
    pub(super) fn refuse_late(&mut self, request: u64, now: Millis, effects: &mut Vec<Effect>) {
        let Some(entry) = self.entries.get(&request) else { return };
        let wait = self.predict_wait(entry, now);
        self.refuse(request, Reason::Overloaded, wait, now, effects);
    }

    /// Refuses a request and removes its entry.
    pub(super) fn refuse(
        &mut self,
        request: u64,
        reason: Reason,
        wait: Millis,
        now: Millis,
        effects: &mut Vec<Effect>,
    ) {
        let Some(entry) = self.entries.get(&request) else { return };
        if reason == Reason::Overloaded {
            let (serves, tier) = (entry.arrival.serves.clone(), entry.tier());
            self.check_refusal(&serves, tier, now);
            if let Some(pool) = self.pools.get_mut(&serves) {
                pool.last_refused[tier] = Some(now);
            }
        }
        let Some(entry) = self.entries.get(&request) else { return };
        let text = match reason {
            Reason::EndpointFailed => {
                format!("{} attempts failed", entry.attempt)
            }
            _ => format!("class {} cannot be answered in time", entry.arrival.class),
        };
        let refusal = Refusal { verdict: entry.verdict, ..Refusal::not_run(reason, text) };
        let refusal = refusal.retry_after(wait.0.clamp(MIN_RETRY_AFTER_MS, MAX_RETRY_AFTER_MS));
        self.stats.refused += 1;
        self.remove_request(request);
        effects.push(Effect::Refuse { request, refusal });
    }

    /// Removes a request, releases its account's stream and corrects the charge to the tokens used.
    pub(super) fn remove_request(&mut self, request: u64) {
        self.detach(request);
        let Some(entry) = self.entries.remove(&request) else { return };
        self.silence_checks.remove(&(entry.silence_check_at, request));
        let arrival = &entry.arrival;
        if entry.is_charged {
            let used = arrival.prompt_tokens + entry.generated;
            self.limits.release(&arrival.account, &arrival.class, entry.charged_tokens, used);
        }
    }
}
