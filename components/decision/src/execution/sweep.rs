use super::KeyPolicy;
use crate::Millis;

/// The length of a span of issue times; the records of one span share an object kind.
const RECORD_SPAN: Millis = Millis(60_000);

/// How far beyond the retention a new sweep searches for records that an earlier one left behind.
const LOOK_BACK: Millis = Millis(6 * 3_600_000);

/// Selects the spans of issue times whose records may be deleted, oldest first.
#[derive(Clone, Debug, Default)]
pub struct Sweep {
    next_span: Option<u64>,
}

impl Sweep {
    /// The number of the span that contains a key's issue time.
    pub fn span_of(issued: Millis) -> u64 {
        issued.0 / RECORD_SPAN.0
    }

    /// The oldest unfinished span, if no instance can still accept a key issued in it.
    pub fn due(&mut self, keys: &KeyPolicy, now: Millis) -> Option<u64> {
        let start = Self::span_of(now - keys.retention - LOOK_BACK);
        let span = *self.next_span.get_or_insert(start);
        let span_end = Millis((span + 1) * RECORD_SPAN.0);
        keys.is_deletable(span_end, now).then_some(span)
    }

    /// Marks a span as finished once all of its records are deleted.
    pub fn finish(&mut self, span: u64) {
        self.next_span = Some(span + 1);
    }
}
