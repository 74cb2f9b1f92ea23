use crate::Millis;

/// Part of the revocation bound that a daemon leaves unused, for the time from a client's sending
/// to the daemon's reading.
const MARGIN: Millis = Millis(250);

/// The proof that no key was taken away unseen: the latest time at which the store's newest
/// configuration was known to be this daemon's own.
///
/// All times are on a clock that goes on while the instance is suspended.
#[derive(Clone, Copy, Debug, Default)]
pub struct Freshness {
    proved: Option<Millis>,
}

impl Freshness {
    /// Takes a linearizable read, sent at `sent`, whose answer is in force here.
    pub fn confirm(&mut self, sent: Millis) {
        self.proved = self.proved.max(Some(sent));
    }

    /// Returns how old the proof is, or nothing before the first.
    pub fn age(&self, now: Millis) -> Option<Millis> {
        self.proved.map(|proved| now.since(proved))
    }

    /// Returns whether keys may be trusted when each removal must hold within `bound`.
    pub fn is_within(&self, bound: Millis, now: Millis) -> bool {
        self.age(now).is_some_and(|age| age < bound - MARGIN)
    }
}
