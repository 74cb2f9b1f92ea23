use super::entry::{Entry, Place};
use super::{Scheduler, floor::Floor, pool::Pool};
use crate::Millis;

/// The quantile of the response length that slot times are estimated with.
const PLANNED_QUANTILE: f32 = 0.6;

/// A request is not urgent before its slack divided by this has passed: its wait budget.
const WAIT_BUDGET_DIVISOR: u64 = 4;

/// A request is not urgent earlier than this time before its latest start.
const URGENT_LEAD: Millis = Millis(500);

/// The latest start of a request without a target.
const NEVER: Millis = Millis(u64::MAX);

/// Moves of a request between places; only these methods change the queues and the sets of running
/// and paused requests.
impl Scheduler {
    /// Returns the expected slot time of a request, in milliseconds.
    pub(super) fn expected_work_ms(&self, entry: &Entry) -> u64 {
        let arrival = &entry.arrival;
        let quantile = PLANNED_QUANTILE;
        let tokens = if self.cfg.mechanisms.lengths {
            self.lengths.remaining(&arrival.class, &arrival.account, entry.generated, quantile)
        } else {
            256
        };
        self.pools.get(&arrival.serves).map_or(0, |pool| pool.work_ms(tokens))
    }

    /// Updates the expected slot time of a request if it has generated tokens.
    fn update_work(&mut self, request: u64) {
        let Some(entry) = self.entries.get(&request).filter(|e| e.generated > 0) else { return };
        let work_ms = self.expected_work_ms(entry);
        self.entries.get_mut(&request).into_iter().for_each(|e| e.work_ms = work_ms);
    }

    /// Returns the latest start at which a request still meets its targets, or `NEVER` without any.
    pub(super) fn latest_start(&self, entry: &Entry) -> Millis {
        let arrival = &entry.arrival;
        let first_ms = self.pools.get(&arrival.serves).map_or(0, Pool::first_token_upper_ms);
        let by = |target: Millis, needed: u64| match target.0 {
            0 => NEVER,
            _ => (entry.arrived + target) - Millis(needed),
        };
        let by_first = if entry.generated > 0 { NEVER } else { by(arrival.first_token, first_ms) };
        by_first.min(by(arrival.finish, entry.work_ms))
    }

    /// Queues a new or detached request.
    pub(super) fn place_waiting(&mut self, request: u64, now: Millis) {
        self.update_work(request);
        let Some(entry) = self.entries.get(&request) else { return };
        let work_ms = entry.work_ms;
        let latest = self.latest_start(entry);
        let times = (latest, urgent_at(entry.arrived, latest));
        let fair = self.cfg.mechanisms.fairness;
        let (tier, is_new) = (entry.tier(), entry.attempt == 0);
        let (serves, account) = (entry.arrival.serves.clone(), entry.arrival.account.clone());
        let pool = self.pools.entry(serves).or_default();
        let queue = &mut pool.queues[tier];
        let position = if is_new {
            queue.push(request, &account, times, work_ms, fair)
        } else {
            queue.push_front(request, times, work_ms)
        };
        let Some(entry) = self.entries.get_mut(&request) else { return };
        entry.place = Place::Waiting(position);
        entry.protected = false;
        if let Some(floor) = floor_of(pool, entry) {
            floor.push(entry.arrived, request, now);
        }
    }

    /// Records a detached request as running at an endpoint.
    pub(super) fn place_running(&mut self, request: u64, name: &str, now: Millis) {
        let Some(entry) = self.entries.get_mut(&request) else { return };
        entry.place = Place::Running(name.to_string());
        entry.placed_at = now;
        entry.progressed_at = now;
        if let Some(endpoint) = self.endpoints.get_mut(name) {
            endpoint.outstanding += 1;
            endpoint.requests.insert(request);
        }
        let pool = self.pools.entry(entry.arrival.serves.clone()).or_default();
        if entry.protected {
            pool.protected.insert(request);
        } else {
            pool.running[entry.tier()].insert((now, request));
        }
        self.schedule_silence_check(request, now);
    }

    /// Records a detached request as paused at its endpoint.
    pub(super) fn place_paused(&mut self, request: u64, name: &str, now: Millis) {
        let Some(entry) = self.entries.get_mut(&request) else { return };
        entry.place = Place::Paused(name.to_string());
        entry.placed_at = now;
        if let Some(endpoint) = self.endpoints.get_mut(name) {
            endpoint.paused += 1;
            endpoint.requests.insert(request);
        }
        let pool = self.pools.entry(entry.arrival.serves.clone()).or_default();
        pool.paused[entry.tier()].insert((entry.arrived, request));
        if let Some(floor) = floor_of(pool, entry) {
            floor.push(entry.arrived, request, now);
        }
    }

    /// Removes a request from the queue or endpoint of its place, which `Entry::place` still names;
    /// the calling method sets a new place or removes the request.
    pub(super) fn detach(&mut self, request: u64) {
        let Some(entry) = self.entries.get(&request) else { return };
        let tier = entry.tier();
        let Some(pool) = self.pools.get_mut(&entry.arrival.serves) else { return };
        match &entry.place {
            Place::Waiting(position) => {
                pool.queues[tier].remove(request, &entry.arrival.account, *position);
                if let Some(floor) = pool.floors.get_mut(&entry.arrival.class) {
                    floor.remove(entry.arrived, request);
                }
            }
            Place::Running(name) => {
                if let Some(endpoint) = self.endpoints.get_mut(name) {
                    endpoint.outstanding -= 1;
                    endpoint.requests.remove(&request);
                }
                pool.protected.remove(&request);
                pool.running[tier].remove(&(entry.placed_at, request));
            }
            Place::Paused(name) => {
                if let Some(endpoint) = self.endpoints.get_mut(name) {
                    endpoint.paused -= 1;
                    endpoint.requests.remove(&request);
                }
                pool.paused[tier].remove(&(entry.arrived, request));
                if let Some(floor) = pool.floors.get_mut(&entry.arrival.class) {
                    floor.remove(entry.arrived, request);
                }
            }
            Place::Unplaced | Place::Remote(_) => {}
        }
    }

    /// Schedules the check whether a request has been silent for too long.
    pub(super) fn schedule_silence_check(&mut self, request: u64, now: Millis) {
        let Some(entry) = self.entries.get_mut(&request) else { return };
        self.silence_checks.remove(&(entry.silence_check_at, request));
        entry.silence_check_at = now + self.cfg.silence_limit;
        self.silence_checks.insert((entry.silence_check_at, request));
    }
}

/// Returns the time from which lower-tier requests are preempted for a request.
fn urgent_at(arrived: Millis, latest: Millis) -> Millis {
    let slack = latest.since(arrived);
    (arrived + Millis(slack.0 / WAIT_BUDGET_DIVISOR)).max(latest - URGENT_LEAD)
}

/// Returns the floor of an entry's class, created and updated from the arrival, if it has one.
fn floor_of<'a>(pool: &'a mut Pool, entry: &Entry) -> Option<&'a mut Floor> {
    let arrival = &entry.arrival;
    if arrival.floor <= 0.0 {
        return None;
    }
    if !pool.floors.contains_key(&arrival.class) {
        pool.floors.insert(arrival.class.clone(), Floor::default());
    }
    let floor = pool.floors.get_mut(&arrival.class)?;
    floor.share = arrival.floor;
    floor.window = arrival.finish;
    floor.tier = entry.tier();
    Some(floor)
}
