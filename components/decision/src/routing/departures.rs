use std::collections::BTreeMap;

/// Maximum number of departures that are kept; the oldest ones are discarded first.
const MAX_DEPARTURES: usize = 4_096;

/// One life of an endpoint, from its start to its exit.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Incarnation {
    /// When it started, in milliseconds of Unix time; 0 if its registration does not say.
    pub started: u64,
    /// Its address and port.
    pub address: String,
}

impl Incarnation {
    /// Returns whether `other`, under the same id, is this incarnation or one before it. Without
    /// the times of their starts, only the addresses tell them apart.
    fn is_not_before(&self, other: &Incarnation) -> bool {
        if self.started == 0 || other.started == 0 {
            return self.address == other.address;
        }
        other.started <= self.started
    }
}

#[derive(Clone, Debug)]
struct Departure {
    incarnation: Incarnation,
    /// Its position in the order of all departures.
    number: u64,
}

/// The endpoints that are known to leave.
///
/// A departure is final for an incarnation: neither a later entry nor a missing one undoes it, so it
/// is kept when the endpoint is no longer listed.
#[derive(Clone, Debug, Default)]
pub(super) struct Departures {
    by_id: BTreeMap<String, Departure>,
    last_number: u64,
}

impl Departures {
    /// Records that an incarnation leaves.
    pub(super) fn record(&mut self, id: &str, incarnation: Incarnation) {
        if self.contains(id, &incarnation) {
            return;
        }
        self.last_number += 1;
        let departure = Departure { incarnation, number: self.last_number };
        self.by_id.insert(id.to_owned(), departure);
        if self.by_id.len() > MAX_DEPARTURES {
            let oldest = self.by_id.iter().min_by_key(|(_, departure)| departure.number);
            let oldest = oldest.map(|(id, _)| id.clone());
            oldest.and_then(|id| self.by_id.remove(&id));
        }
    }

    /// Returns the ids of the endpoints of which an incarnation left.
    pub(super) fn ids(&self) -> impl Iterator<Item = &str> {
        self.by_id.keys().map(String::as_str)
    }

    /// Returns whether an incarnation is known to leave.
    pub(super) fn contains(&self, id: &str, incarnation: &Incarnation) -> bool {
        self.by_id.get(id).is_some_and(|d| d.incarnation.is_not_before(incarnation))
    }
}
