use super::placement::LoadTable;
use crate::Millis;

/// What the requests that this daemon has in flight at an endpoint take up there.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Usage {
    /// The number of requests.
    pub requests: u32,
    /// The tokens that they hold in memory.
    pub tokens: f64,
}

impl LoadTable {
    /// Returns what this daemon has in flight at an endpoint.
    pub fn usage(&self, id: &str) -> Usage {
        self.endpoints.get(id).map_or_else(Usage::default, |endpoint| Usage {
            requests: endpoint.in_flight.len() as u32,
            tokens: endpoint.held_tokens(),
        })
    }

    /// Returns when the oldest request was sent whose response has not begun.
    pub fn oldest_waiting(&self) -> Option<Millis> {
        let in_flight = self.endpoints.values().flat_map(|endpoint| endpoint.in_flight.values());
        in_flight.filter(|request| request.first_byte_at.is_none()).map(|r| r.sent_at).min()
    }

    /// Returns whether an endpoint is not used at present because requests to it failed.
    pub fn is_ejected(&self, id: &str, now: Millis) -> bool {
        self.endpoints.get(id).is_some_and(|endpoint| {
            endpoint.consecutive_failures > 0 && endpoint.cooldown_until > now
        })
    }
}
