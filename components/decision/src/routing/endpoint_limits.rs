use super::rendezvous::rendezvous_hash;
use crate::Millis;
use messages::feed::Rank;
use std::collections::BTreeMap;

/// Seed of the hash that selects the first daemon with a right to an endpoint.
const RIGHTS_SEED: u64 = 0x11f7;
/// Longest time between two requests of a daemon with a right, so that an endpoint that states 0 is
/// asked again.
const MAX_INTERVAL_MS: f64 = 60_000.0;
/// Shortest time between two reports of a changed limit, and longest between two of an unchanged one.
const REPORT_INTERVALS: [Millis; 2] = [Millis(500), Millis(60_000)];

/// What an endpoint last stated.
#[derive(Clone, Copy, Debug)]
struct Limit {
    /// Requests a second from all daemons together; `None` if it no longer states a limit.
    per_second: Option<f64>,
    stated_at: Millis,
    /// Since when it has stated a limit.
    since: Millis,
    /// What was last reported to other daemons, by any of them, and when.
    reported: Option<f64>,
    reported_at: Millis,
    /// When this daemon last sent a request there.
    last_sent: Option<Millis>,
}

/// The limits that endpoints state, and this daemon's part of them.
///
/// A few daemons of the endpoint's data centre have the right to send requests to it, selected by
/// their rank. Each sends at regular intervals, and rights are not saved up: with `n` requests a
/// second, at most `n + 1` daemons send `n` requests a second together, and at most `n + 1` more in
/// any period.
#[derive(Clone, Debug, Default)]
pub struct EndpointLimits {
    limits: BTreeMap<String, Limit>,
    /// The rank of this daemon in its data centre. Without one, it has no rights.
    rank: Option<Rank>,
}

impl EndpointLimits {
    /// Sets the rank of this daemon in its data centre.
    pub fn set_rank(&mut self, rank: Rank) {
        self.rank = Some(rank);
    }

    /// Records what a response to this daemon states; `None` if it states no limit. Returns whether
    /// other daemons must be told.
    pub fn observe(&mut self, endpoint: &str, per_second: Option<f64>, now: Millis) -> bool {
        let known = self.limits.get(endpoint).copied();
        if known.is_none() && per_second.is_none() {
            return false;
        }
        let is_changed = known.is_none_or(|known| known.reported != per_second);
        self.record(endpoint, per_second, now);
        let Some(limit) = self.limits.get_mut(endpoint) else { return false };
        let [shortest, longest] = REPORT_INTERVALS;
        let is_due = known.is_none_or(|known| {
            now.since(known.reported_at) >= if is_changed { shortest } else { longest }
        });
        if is_due {
            (limit.reported, limit.reported_at) = (per_second, now);
        }
        is_due
    }

    /// Records what an endpoint stated at the time `at` to another daemon.
    pub fn apply(&mut self, endpoint: &str, per_second: Option<f64>, at: Millis) {
        if self.limits.get(endpoint).is_some_and(|known| known.stated_at > at) {
            return;
        }
        self.record(endpoint, per_second, at);
        if let Some(limit) = self.limits.get_mut(endpoint) {
            (limit.reported, limit.reported_at) = (per_second, at);
        }
    }

    fn record(&mut self, endpoint: &str, per_second: Option<f64>, at: Millis) {
        let new = Limit {
            per_second,
            stated_at: at,
            since: at,
            reported: per_second,
            reported_at: at,
            last_sent: None,
        };
        let limit = self.limits.entry(endpoint.to_owned()).or_insert(new);
        if limit.per_second.is_none() {
            (limit.since, limit.last_sent) = (at, None);
        }
        limit.per_second = per_second;
        limit.stated_at = at;
    }

    /// Returns the limit that an endpoint states, if any.
    pub fn stated(&self, endpoint: &str) -> Option<f64> {
        self.limits.get(endpoint).and_then(|limit| limit.per_second)
    }

    /// Returns whether this daemon may send a request to an endpoint now; `is_local` says whether
    /// it is in the data centre of this daemon.
    pub fn admits(&self, endpoint: &str, is_local: bool, now: Millis) -> bool {
        self.wait(endpoint, is_local, now) == Some(Millis(0))
    }

    /// Returns the time until this daemon may send a request to an endpoint; `None` if it has no
    /// right to.
    pub fn wait(&self, endpoint: &str, is_local: bool, now: Millis) -> Option<Millis> {
        let Some(limit) = self.limits.get(endpoint) else { return Some(Millis(0)) };
        let Some(per_second) = limit.per_second else { return Some(Millis(0)) };
        let (place, daemons) = self.right(endpoint, per_second).filter(|_| is_local)?;
        let interval_ms = (daemons * 1_000.0 / per_second).min(MAX_INTERVAL_MS);
        let (from, wait_ms) = match limit.last_sent {
            Some(sent) => (sent, interval_ms),
            // The first intervals of the daemons with a right end one after the other.
            None => (limit.since, interval_ms * (place + 1.0) / daemons),
        };
        Some((from + Millis(wait_ms.ceil() as u64)).since(now))
    }

    /// Records that this daemon sends a request to an endpoint.
    pub fn record_send(&mut self, endpoint: &str, now: Millis) {
        if let Some(limit) = self.limits.get_mut(endpoint) {
            limit.last_sent = Some(now);
        }
    }

    /// Discards the limit of an endpoint that has restarted.
    pub fn reset(&mut self, endpoint: &str) {
        self.limits.remove(endpoint);
    }

    /// Discards the limits of endpoints that are not listed.
    pub fn retain(&mut self, is_listed: impl Fn(&str) -> bool) {
        self.limits.retain(|endpoint, _| is_listed(endpoint));
    }

    /// Returns the number of endpoints that state a limit.
    pub fn len(&self) -> usize {
        self.limits.values().filter(|limit| limit.per_second.is_some()).count()
    }

    /// Returns whether no endpoint states a limit.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the place of this daemon among those with a right to an endpoint, and their number;
    /// `None` if it has none.
    fn right(&self, endpoint: &str, per_second: f64) -> Option<(f64, f64)> {
        let rank = self.rank.as_ref()?;
        let daemons = u64::from(rank.daemons.max(1));
        let holders = (per_second as u64).saturating_add(1).min(daemons);
        let first = rendezvous_hash(endpoint, RIGHTS_SEED) % daemons;
        let place = (u64::from(rank.position) + daemons - first) % daemons;
        (place < holders).then_some((place as f64, holders as f64))
    }
}
