use super::entry::{Entry, Place};
use super::observation::median;
use super::{Effect, Scheduler};
use crate::Millis;
use errors::{Reason, Verdict};

/// Multiple of the pool's median time between tokens above which an endpoint is slow.
const SLOW_FACTOR: f64 = 3.0;

/// Multiple of the pool's median time between tokens below which a slow endpoint has recovered.
const RECOVERED_FACTOR: f64 = 1.5;

/// The minimum number of observations before an endpoint is compared with its pool.
const MIN_OBSERVATIONS: u32 = 8;

/// Multiple of the upper estimate of the time to the first token after which an attempt that has
/// not produced its first token counts as silent.
const FIRST_TOKEN_SILENCE_FACTOR: u64 = 4;

impl Scheduler {
    /// Handles a failed attempt: retries the request or refuses it.
    pub(super) fn fail_attempt(
        &mut self,
        request: u64,
        verdict: Verdict,
        now: Millis,
        effects: &mut Vec<Effect>,
    ) {
        let Some(entry) = self.entries.get_mut(&request) else { return };
        entry.verdict = entry.verdict.combine(verdict);
        let was_remote = matches!(entry.place, Place::Remote(_));
        let serves = entry.arrival.serves.clone();
        if !was_remote {
            entry.failures += 1;
        }
        let has_attempts = entry.failures < self.cfg.attempt_limit;
        let retryable = has_attempts && (entry.arrival.repeatable || verdict == Verdict::NotRun);
        if let Place::Running(name) | Place::Paused(name) = entry.place.clone() {
            let slow_start = self.cfg.mechanisms.slow_start;
            if let Some(endpoint) = self.endpoints.get_mut(&name) {
                endpoint.fail(self.cfg.cooldown_after_failure, slow_start, now);
            }
        }
        let needs_no_budget = was_remote && verdict == Verdict::NotRun;
        if retryable && (needs_no_budget || self.try_spend_retry(now)) {
            self.detach(request);
            self.place_waiting(request, now);
            let unserved = !self.is_served_here(&serves);
            if !unserved || self.spill(request, now, effects) {
                return;
            }
        }
        self.refuse(request, Reason::EndpointFailed, Millis(1_000), now, effects);
    }

    fn try_spend_retry(&mut self, now: Millis) -> bool {
        !self.cfg.mechanisms.retry_budget || self.retry_budget.try_spend(now)
    }

    /// Cancels attempts without a token for longer than their silence limit and handles them as
    /// failed.
    pub(super) fn fail_silent_attempts(&mut self, now: Millis, effects: &mut Vec<Effect>) {
        while let Some((at, request)) = self.silence_checks.first().copied() {
            if at > now {
                return;
            }
            self.silence_checks.remove(&(at, request));
            let Some(entry) = self.entries.get(&request) else { continue };
            if !matches!(entry.place, Place::Running(_) | Place::Remote(_)) {
                continue;
            }
            let limit = self.silence_limit(entry);
            let since = entry.progressed_at;
            if !self.cfg.mechanisms.observation || now.since(since) < limit {
                let next = (since + limit).max(now + Millis(1));
                if let Some(entry) = self.entries.get_mut(&request) {
                    entry.silence_check_at = next;
                }
                self.silence_checks.insert((next, request));
                continue;
            }
            effects.push(Effect::Cancel { request });
            self.fail_attempt(request, Verdict::MayHaveRun, now, effects);
        }
    }

    /// Returns the time without progress after which an attempt counts as silent. Before the first
    /// token, and after a pause, it may be longer; for a forwarded request it is then at least the
    /// target for the first token, as the request may be queued in the other data centre.
    fn silence_limit(&self, entry: &Entry) -> Millis {
        let limit = self.cfg.silence_limit;
        if entry.has_first_token && !entry.token_delayed {
            return limit;
        }
        let pool = self.pools.get(&entry.arrival.serves);
        let first_token_ms = pool.map_or(0, |pool| pool.first_token_upper_ms());
        let remote = matches!(entry.place, Place::Remote(_));
        let queue_allowance = if remote { entry.arrival.first_token } else { Millis(0) };
        limit.max(Millis(first_token_ms * FIRST_TOKEN_SILENCE_FACTOR)).max(queue_allowance)
    }

    /// Estimates the slots of a pool that are lost at endpoints that are slow, cool down or are in
    /// slow start; extrapolates from the endpoints that this daemon uses.
    pub(super) fn count_unavailable_slots(&mut self, pool_name: &str, now: Millis) {
        let Some(pool) = self.pools.get(pool_name) else { return };
        let names = pool.members.iter().take(self.cfg.subset).map(|(_, name)| name);
        let used = names.filter_map(|name| self.endpoints.get(name));
        let (mut all, mut lost) = (0, 0);
        for endpoint in used {
            let limit = if endpoint.is_usable(now) { endpoint.limit() } else { 0 };
            all += endpoint.info.slots;
            lost += endpoint.info.slots - limit.min(endpoint.info.slots);
        }
        let lost = f64::from(lost) * f64::from(pool.slots) / f64::from(all.max(1));
        if let Some(pool) = self.pools.get_mut(pool_name) {
            pool.unavailable_slots = lost as u32;
        }
    }

    /// Marks endpoints as slow or recovered by comparing them with the pool's median.
    pub(super) fn compare_endpoints(
        &mut self,
        pool_name: &str,
        now: Millis,
        effects: &mut Vec<Effect>,
    ) {
        if !self.cfg.mechanisms.observation {
            return;
        }
        let Some(pool) = self.pools.get(pool_name) else { return };
        let names: Vec<String> =
            pool.members.iter().take(self.cfg.subset).map(|(_, name)| name.clone()).collect();
        let observed = names.iter().filter_map(|name| self.endpoints.get(name));
        let observed = observed.filter(|e| e.between_tokens.count >= MIN_OBSERVATIONS);
        let Some(median_ms) = median(observed.map(|e| e.between_tokens.mean).collect()) else {
            return;
        };
        for name in names {
            let Some(endpoint) = self.endpoints.get_mut(&name) else { continue };
            let mean_ms = endpoint.between_tokens.mean;
            let enough = endpoint.between_tokens.count >= MIN_OBSERVATIONS;
            if endpoint.slow && mean_ms < median_ms * RECOVERED_FACTOR {
                endpoint.slow = false;
            } else if enough && mean_ms > median_ms * SLOW_FACTOR {
                endpoint.slow = true;
                self.move_late_requests(&name, now, effects);
            }
        }
    }

    /// Cancels requests at a slow endpoint that would miss their finish target there, and queues
    /// them again.
    fn move_late_requests(&mut self, name: &str, now: Millis, effects: &mut Vec<Effect>) {
        let Some(endpoint) = self.endpoints.get(name) else { return };
        let between_tokens_ms = endpoint.between_tokens.mean;
        let requests: Vec<u64> = endpoint.requests.iter().copied().collect();
        for request in requests {
            let Some(entry) = self.entries.get(&request) else { continue };
            let arrival = &entry.arrival;
            let left_ms = (entry.arrived + arrival.finish).since(now).0 as f64;
            let tokens =
                self.lengths.remaining(&arrival.class, &arrival.account, entry.generated, 0.5);
            let late = arrival.finish.0 > 0 && f64::from(tokens) * between_tokens_ms > left_ms;
            if !late || !arrival.repeatable || !self.try_spend_retry(now) {
                continue;
            }
            self.detach(request);
            self.entries.get_mut(&request).into_iter().for_each(Entry::record_may_have_run);
            self.place_waiting(request, now);
            effects.push(Effect::Cancel { request });
        }
    }
}
