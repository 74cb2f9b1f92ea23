use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A part of the new sequence.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
enum Part<T> {
    /// Elements of the earlier sequence.
    Kept { from: usize, len: usize },
    /// Other elements.
    New(Vec<T>),
}

/// The difference between two sequences: the later one as runs of the earlier one and new elements.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(transparent)]
pub struct SequenceChange<T> {
    parts: Vec<Part<T>>,
}

impl<T: Clone + PartialEq> SequenceChange<T> {
    /// Returns the difference. An element that moved is kept if `key` is unique in the earlier
    /// sequence.
    pub fn between<'a, K: Ord>(
        before: &'a [T],
        after: &'a [T],
        key: impl Fn(&'a T) -> K,
    ) -> SequenceChange<T> {
        let positions: BTreeMap<K, usize> =
            before.iter().enumerate().map(|(at, element)| (key(element), at)).collect();
        let mut change = SequenceChange { parts: Vec::new() };
        let mut next = 0;
        for element in after {
            let is_next = before.get(next).is_some_and(|kept| kept == element);
            let kept = if is_next { Some(next) } else { positions.get(&key(element)).copied() };
            match kept.filter(|at| before[*at] == *element) {
                Some(at) => {
                    change.keep(at);
                    next = at + 1;
                }
                None => change.add(element),
            }
        }
        change
    }

    fn keep(&mut self, at: usize) {
        match self.parts.last_mut() {
            Some(Part::Kept { from, len }) if *from + *len == at => *len += 1,
            _ => self.parts.push(Part::Kept { from: at, len: 1 }),
        }
    }

    fn add(&mut self, element: &T) {
        match self.parts.last_mut() {
            Some(Part::New(elements)) => elements.push(element.clone()),
            _ => self.parts.push(Part::New(vec![element.clone()])),
        }
    }

    /// Returns the later sequence; `None` if `before` is not the sequence that the difference was
    /// made from.
    pub fn apply(self, before: &[T]) -> Option<Vec<T>> {
        let mut after = Vec::new();
        for part in self.parts {
            match part {
                Part::Kept { from, len } => {
                    after.extend_from_slice(before.get(from..from.checked_add(len)?)?);
                }
                Part::New(elements) => after.extend(elements),
            }
        }
        Some(after)
    }
}
