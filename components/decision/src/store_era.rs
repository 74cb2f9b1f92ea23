use crate::Millis;

/// An era of the store. A new one begins each time that the store comes back as an older copy: what it
/// acknowledged since that copy is lost, and revisions are given out again.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StoreEra {
    /// Its number, which rises with each era.
    pub number: u64,
    /// When this daemon learned of it. The store had come back by then.
    pub known_at: Millis,
}

/// The latest era of the store, as its responses state it.
#[derive(Clone, Copy, Debug, Default)]
pub struct LatestEra {
    era: Option<StoreEra>,
}

impl LatestEra {
    /// Takes note of the era that a response states. Returns the former one if it has ended; a response
    /// from an earlier era may arrive late.
    pub fn observe(&mut self, number: u64, now: Millis) -> Option<StoreEra> {
        let former = self.era.filter(|era| era.number != number);
        if self.era.is_none_or(|era| era.number < number) {
            self.era = Some(StoreEra { number, known_at: now });
            return former;
        }
        None
    }

    /// The latest era; `None` if no response has stated one.
    pub fn get(&self) -> Option<StoreEra> {
        self.era
    }
}
