use super::KeyPolicy;
use crate::Millis;

/// The span of issue times whose records share a kind of object.
const RECORD_SPAN: Millis = Millis(60_000);

/// How far back a new sweeper looks for records that an earlier one left.
const LOOK_BACK: Millis = Millis(6 * 3_600_000);

/// Chooses the spans of issue times whose records may be deleted.
#[derive(Clone, Debug, Default)]
pub struct Sweep {
    next: Option<u64>,
}

impl Sweep {
    /// Returns the number of the span of a key's issue time.
    pub fn span_of(issued: Millis) -> u64 {
        issued.0 / RECORD_SPAN.0
    }

    /// Returns the oldest span that is not done and in which no key can be taken any more.
    pub fn due(&mut self, keys: &KeyPolicy, now: Millis) -> Option<u64> {
        let start = Self::span_of(now - keys.retention - LOOK_BACK);
        let span = *self.next.get_or_insert(start);
        let last_issued = Millis((span + 1) * RECORD_SPAN.0);
        keys.is_deletable(last_issued, now).then_some(span)
    }

    /// Notes that all records of a span are deleted.
    pub fn finish(&mut self, span: u64) {
        self.next = Some(span + 1);
    }
}
