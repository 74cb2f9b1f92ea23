use super::content::digest;
use std::collections::BTreeSet;

/// Number of groups into which the items of a set are divided. All daemons must use the same.
const GROUPS: usize = 128;

/// What a daemon knows of a set that all daemons have parts of: a digest of the items of each group.
/// Another daemon compares it with its own to send only the groups that differ.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SetDigest {
    groups: Vec<u64>,
}

impl Default for SetDigest {
    /// The digest of the empty set.
    fn default() -> SetDigest {
        SetDigest { groups: vec![0; GROUPS] }
    }
}

impl SetDigest {
    /// Adds an item that is not part of the set, or removes one that is.
    pub fn toggle(&mut self, key: &[u8], content: &[&[u8]]) {
        let fields: Vec<&[u8]> = [key].into_iter().chain(content.iter().copied()).collect();
        self.groups[SetDigest::group_of(key) as usize] ^= digest(&fields);
    }

    /// Returns the group of the item with this key.
    pub fn group_of(key: &[u8]) -> u32 {
        (digest(&[key]) % GROUPS as u64) as u32
    }

    /// Returns the digests of the groups, to send to another daemon.
    pub fn groups(&self) -> &[u64] {
        &self.groups
    }

    /// Returns the groups in which another daemon has other items, according to its digests; all if
    /// it does not divide sets in the same way.
    pub fn differing(&self, other: &[u64]) -> BTreeSet<u32> {
        let is_comparable = other.len() == GROUPS;
        let differs =
            |group: &u32| !is_comparable || self.groups[*group as usize] != other[*group as usize];
        (0..GROUPS as u32).filter(differs).collect()
    }
}
