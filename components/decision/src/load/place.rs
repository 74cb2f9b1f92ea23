use super::entry::{Entry, Place};
use super::{Scheduler, floor::Floor, pool::Pool};
use crate::Millis;

/// The quantile of the response length that work is estimated with.
const PLANNED_QUANTILE: f32 = 0.6;

/// The wait budget of a request is its slack divided by this.
const WAIT_BUDGET_DIVISOR: u64 = 4;

/// The time before the latest start from which a request is urgent at the latest.
const URGENT_LEAD: Millis = Millis(500);

/// Stands for no deadline.
const NEVER: Millis = Millis(u64::MAX);

/// Moves of a request between places; only these methods change the tables of places.
impl Scheduler {
    /// Returns the expected slot time of a request, in milliseconds.
    pub(super) fn expected_work(&self, entry: &Entry) -> u64 {
        let arrival = &entry.arrival;
        let quantile = PLANNED_QUANTILE;
        let tokens = if self.cfg.mechanisms.lengths {
            self.lengths.remaining(&arrival.class, &arrival.account, entry.generated, quantile)
        } else {
            256
        };
        self.pools.get(&arrival.serves).map_or(0, |pool| pool.work(tokens))
    }

    /// Updates the expected slot time of a request that has generated tokens.
    fn update_work(&mut self, request: u64) {
        let Some(entry) = self.entries.get(&request).filter(|e| e.generated > 0) else { return };
        let work = self.expected_work(entry);
        self.entries.get_mut(&request).into_iter().for_each(|e| e.work = work);
    }

    /// Returns the latest start at which a request still meets its targets.
    pub(super) fn latest_start(&self, entry: &Entry) -> Millis {
        let arrival = &entry.arrival;
        let first_ms = self.pools.get(&arrival.serves).map_or(0, Pool::first_token_ms);
        let by = |target: Millis, needed: u64| match target.0 {
            0 => NEVER,
            _ => (entry.arrived + target) - Millis(needed),
        };
        let by_first = if entry.generated > 0 { NEVER } else { by(arrival.first_token, first_ms) };
        by_first.min(by(arrival.finish, entry.work))
    }

    /// Queues a request that is in no place.
    pub(super) fn place_waiting(&mut self, request: u64, now: Millis) {
        self.update_work(request);
        let Some(entry) = self.entries.get(&request) else { return };
        let work = entry.work;
        let latest = self.latest_start(entry);
        let times = (latest, urgent_at(entry.arrived, latest));
        let fair = self.cfg.mechanisms.fairness;
        let (tier, is_new) = (entry.tier(), entry.attempt == 0);
        let (serves, account) = (entry.arrival.serves.clone(), entry.arrival.account.clone());
        let pool = self.pools.entry(serves).or_default();
        let queue = &mut pool.queues[tier];
        let position = if is_new {
            queue.push(request, &account, times, work, fair)
        } else {
            queue.push_front(request, times, work)
        };
        let Some(entry) = self.entries.get_mut(&request) else { return };
        entry.place = Place::Waiting(position);
        entry.protected = false;
        if let Some(floor) = floor_of(pool, entry) {
            floor.push(entry.arrived, request, now);
        }
    }

    /// Records a request that is in no place as running at an endpoint.
    pub(super) fn place_running(&mut self, request: u64, name: &str, now: Millis) {
        let Some(entry) = self.entries.get_mut(&request) else { return };
        entry.place = Place::Running(name.to_string());
        entry.started = now;
        entry.progressed = now;
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

    /// Records a request that is in no place as paused at its endpoint.
    pub(super) fn place_paused(&mut self, request: u64, name: &str, now: Millis) {
        let Some(entry) = self.entries.get_mut(&request) else { return };
        entry.place = Place::Paused(name.to_string());
        entry.started = now;
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

    /// Removes a request from the tables of its place; the caller gives it a new one or drops it.
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
                pool.running[tier].remove(&(entry.started, request));
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
        self.due.remove(&(entry.due, request));
        entry.due = now + self.cfg.silence_limit;
        self.due.insert((entry.due, request));
    }
}

/// Returns the time from which a request is urgent: lower tiers are preempted for it.
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
