use super::directory::{OUTAGE_THRESHOLD, REREGISTRATION_TIMEOUT};
use crate::Millis;

/// Subtracted from the revocation bound, to cover the time between a client sending a request and
/// the daemon reading it.
const SAFETY_MARGIN: Millis = Millis(250);

/// The latest times at which the active configuration and the registry were confirmed to be the newest
/// ones in the store, and when the store last responded at all. Keys revoked before the confirmation of
/// the configuration are known to this daemon, and so are endpoints that left before that of the
/// registry; neither vouches for the other.
///
/// All times are on a clock that continues while the instance is suspended.
#[derive(Clone, Copy, Debug, Default)]
pub struct Freshness {
    confirmed: Option<Millis>,
    registry_confirmed: Option<Millis>,
    /// When the store last responded, to this daemon or to one that it follows.
    responded: Option<Millis>,
    /// The first response after the last gap in which entries of the registry could expire.
    continuous_since: Millis,
}

impl Freshness {
    /// Records a linearizable read of the store, sent at `sent`, whose result is the active
    /// configuration. An older confirmation that arrives late has no effect.
    pub fn confirm(&mut self, sent: Millis) {
        self.confirmed = self.confirmed.max(Some(sent));
    }

    /// Records the same of the registry.
    pub fn confirm_registry(&mut self, sent: Millis) {
        self.registry_confirmed = self.registry_confirmed.max(Some(sent));
    }

    /// Records that the store responded at the time `at`. If entries of the registry could expire
    /// since its previous response, returns the time of that one.
    pub fn observe_response(&mut self, at: Millis) -> Option<Millis> {
        let previous = self.responded;
        self.responded = previous.max(Some(at));
        let is_gap = previous.is_none_or(|previous| at.since(previous) >= OUTAGE_THRESHOLD);
        if is_gap {
            self.continuous_since = at;
        }
        previous.filter(|_| is_gap)
    }

    /// Records that the store responded to a call that reads nothing of the registry. After a gap in which
    /// entries could expire it has no effect, so that a read of the registry still shows the gap.
    pub fn observe_availability(&mut self, at: Millis) {
        if self.response_age(at).is_some_and(|age| age < OUTAGE_THRESHOLD) {
            self.responded = self.responded.max(Some(at));
        }
    }

    /// Returns the time since the store last responded; `None` before the first response.
    pub fn response_age(&self, now: Millis) -> Option<Millis> {
        self.responded.map(|responded| now.since(responded))
    }

    /// Returns for how long the store has responded without a gap in which entries of the registry
    /// could expire; `None` in such a gap.
    pub fn continuous_for(&self, now: Millis) -> Option<Millis> {
        let is_continuous = self.response_age(now).is_some_and(|age| age < OUTAGE_THRESHOLD);
        is_continuous.then(|| now.since(self.continuous_since))
    }

    /// Returns whether a daemon to which the store responded without a gap for the time
    /// `continuous_for` shows that no entry has expired in an outage since `lost_at`. Entries that expired in an
    /// earlier one had time to be registered again before.
    pub fn proves_availability(continuous_for: Millis, lost_at: Millis, now: Millis) -> bool {
        continuous_for >= now.since(lost_at) + REREGISTRATION_TIMEOUT
    }

    /// Returns the age of the confirmation; `None` before the first one.
    pub fn age(&self, now: Millis) -> Option<Millis> {
        self.confirmed.map(|confirmed| now.since(confirmed))
    }

    /// Returns the age of the confirmation of the registry; `None` before the first one.
    pub fn registry_age(&self, now: Millis) -> Option<Millis> {
        self.registry_confirmed.map(|confirmed| now.since(confirmed))
    }

    /// Returns whether keys may be trusted when each revocation must take effect within `bound`.
    pub fn is_within(&self, bound: Millis, now: Millis) -> bool {
        self.age(now).is_some_and(|age| age < bound - SAFETY_MARGIN)
    }
}
