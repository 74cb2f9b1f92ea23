use crate::Millis;
use std::collections::BTreeMap;

/// Time for which a source may fail before another one is looked for: two retries of a call.
const MAX_FAILING_TIME: Millis = Millis(300);

/// What a daemon gets its updates from.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Source {
    /// The configurations in the store.
    Configurations,
    /// The registry of endpoints in the store.
    Endpoints,
    /// The daemon that it follows.
    Peer,
}

/// Whether the sources of a daemon fail at present. The age of the freshness confirmation tells so
/// much later: it is over two seconds in normal operation.
#[derive(Clone, Debug, Default)]
pub struct SourceHealth {
    /// Since when each source fails, as far as this daemon knows.
    failing_since: BTreeMap<Source, Millis>,
    /// For how long the sources of the followed daemon fail, as it said.
    reported: Option<Millis>,
}

impl SourceHealth {
    /// Records that a source fails since the time `since`. Returns whether that is news.
    pub fn record_failure(&mut self, source: Source, since: Millis) -> bool {
        let is_new = self.failing_since.is_empty();
        self.failing_since.entry(source).or_insert(since);
        is_new
    }

    /// Records that the store responded. That also makes up for the loss of a followed daemon.
    pub fn record_success(&mut self, source: Source) {
        self.failing_since.remove(&source);
        self.failing_since.remove(&Source::Peer);
        self.reported = None;
    }

    /// Records that a followed daemon responded, and for how long its own sources fail. This daemon
    /// counts from now on, so that its followers leave it time to find another source.
    pub fn record_report(&mut self, failing_for: Option<Millis>, now: Millis) {
        self.reported = failing_for;
        let since = self.failing_since.remove(&Source::Peer).unwrap_or(now);
        self.failing_since.clear();
        if failing_for.is_some() {
            self.failing_since.insert(Source::Peer, since);
        }
    }

    /// Returns for how long the sources fail; `None` while they do not.
    pub fn failing_for(&self, now: Millis) -> Option<Millis> {
        self.failing_since.values().min().map(|since| now.since(*since))
    }

    /// Returns the time until followers have to find another source, unless the present one recovers;
    /// `None` if they need not, or should do so already.
    pub fn report_due(&self, now: Millis) -> Option<Millis> {
        let failing_for = self.failing_for(now).filter(|time| *time < MAX_FAILING_TIME)?;
        Some(MAX_FAILING_TIME - failing_for)
    }

    /// Returns whether another source has to be found.
    pub fn needs_another(&self, now: Millis) -> bool {
        self.reported.max(self.failing_for(now)).is_some_and(|time| time >= MAX_FAILING_TIME)
    }
}
