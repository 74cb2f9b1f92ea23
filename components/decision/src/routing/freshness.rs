use crate::Millis;

/// Subtracted from the revocation bound, to cover the time between a client sending a request and
/// the daemon reading it.
const SAFETY_MARGIN: Millis = Millis(250);

/// The latest time at which the active configuration was confirmed to be the newest one in the
/// store. Keys revoked before that time are known to this daemon.
///
/// All times are on a clock that continues while the instance is suspended.
#[derive(Clone, Copy, Debug, Default)]
pub struct Freshness {
    confirmed: Option<Millis>,
}

impl Freshness {
    /// Records a linearizable read of the store, sent at `sent`, whose result is the active
    /// configuration. An older confirmation that arrives late has no effect.
    pub fn confirm(&mut self, sent: Millis) {
        self.confirmed = self.confirmed.max(Some(sent));
    }

    /// Returns the age of the confirmation; `None` before the first one.
    pub fn age(&self, now: Millis) -> Option<Millis> {
        self.confirmed.map(|confirmed| now.since(confirmed))
    }

    /// Returns whether keys may be trusted when each revocation must take effect within `bound`.
    pub fn is_within(&self, bound: Millis, now: Millis) -> bool {
        self.age(now).is_some_and(|age| age < bound - SAFETY_MARGIN)
    }
}
