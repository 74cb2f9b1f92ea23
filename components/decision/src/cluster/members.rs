use super::{Identity, Member, MemberState};
use crate::Millis;
use std::collections::BTreeMap;

const MAX_TOMBSTONES: usize = 8_192;
/// Average number of members in a bucket.
const MEMBERS_PER_BUCKET: usize = 6;

/// Outcome of merging a member record.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Merge {
    /// The record contains nothing new.
    Unchanged,
    /// The record is older than the known one.
    Stale,
    /// The record shows a departed member as live or suspected. Contains the tombstone.
    Departed(Member),
    /// The member was unknown, or has a new sequence number or state.
    Changed(Member),
}

/// When a member became suspected, and whether it has been probed again since.
#[derive(Clone, Copy, Debug)]
struct Suspicion {
    since: Millis,
    is_reprobed: bool,
}

/// The other members known to this daemon, and tombstones of those that left or died.
#[derive(Clone, Debug, Default)]
pub struct Members {
    live: BTreeMap<Identity, Member>,
    departed: BTreeMap<Identity, (Member, Millis)>,
    suspected: BTreeMap<Identity, Suspicion>,
}

impl Members {
    /// Looks up a live or suspected member.
    pub fn get(&self, identity: Identity) -> Option<&Member> {
        self.live.get(&identity)
    }

    /// Live and suspected members in order of identity.
    pub fn iter(&self) -> impl Iterator<Item = &Member> {
        self.live.values()
    }

    /// Tombstone of a member that left or died.
    pub fn departed(&self, identity: Identity) -> Option<&Member> {
        self.departed.get(&identity).map(|(member, _)| member)
    }

    /// Number of live and suspected members.
    pub fn len(&self) -> usize {
        self.live.len()
    }

    /// Whether there are no live or suspected members.
    pub fn is_empty(&self) -> bool {
        self.live.is_empty()
    }

    /// Number of tombstones.
    pub fn tombstones(&self) -> usize {
        self.departed.len()
    }

    /// Merges a record. A final state takes precedence, then the higher sequence number, then a
    /// suspicion.
    pub fn merge(&mut self, record: Member, now: Millis) -> Merge {
        let identity = record.identity;
        if let Some((departed, _)) = self.departed.get(&identity) {
            let departed = departed.clone();
            return if record.state.is_final() {
                Merge::Unchanged
            } else {
                Merge::Departed(departed)
            };
        }
        if record.state.is_final() {
            self.insert_departed(record.clone(), now);
            return Merge::Changed(record);
        }
        if let Some(known) = self.live.get(&identity) {
            let old = (known.sequence, known.state);
            let new = (record.sequence, record.state);
            if new == old {
                return Merge::Unchanged;
            }
            if new < old {
                return Merge::Stale;
            }
        }
        match record.state {
            MemberState::Suspected => {
                self.suspected.insert(identity, Suspicion { since: now, is_reprobed: false })
            }
            _ => self.suspected.remove(&identity),
        };
        self.live.insert(identity, record.clone());
        Merge::Changed(record)
    }

    /// Restarts the time that each suspected member has to refute its suspicion.
    pub fn restart_suspicions(&mut self, now: Millis) {
        let restarted = Suspicion { since: now, is_reprobed: false };
        self.suspected.values_mut().for_each(|suspicion| *suspicion = restarted);
    }

    /// Members that have been suspected for at least `limit` and were not returned before for this
    /// suspicion. The caller probes them again.
    pub fn take_due_for_reprobe(&mut self, limit: Millis, now: Millis) -> Vec<Identity> {
        let mut due = Vec::new();
        for (identity, suspicion) in &mut self.suspected {
            if !suspicion.is_reprobed && now.since(suspicion.since) >= limit {
                suspicion.is_reprobed = true;
                due.push(*identity);
            }
        }
        due
    }

    /// Members that have been suspected for at least `limit`.
    pub fn overdue(&self, limit: Millis, now: Millis) -> Vec<Identity> {
        let overdue = self.suspected.iter().filter(|(_, s)| now.since(s.since) >= limit);
        overdue.map(|(identity, _)| *identity).collect()
    }

    /// Removes tombstones older than `limit`, and the oldest ones above the maximum number.
    pub fn expire(&mut self, limit: Millis, now: Millis) {
        self.departed.retain(|_, (_, at)| now.since(*at) < limit);
        while self.departed.len() > MAX_TOMBSTONES {
            let oldest = self.departed.iter().min_by_key(|(_, (_, at))| *at);
            let Some(identity) = oldest.map(|(identity, _)| *identity) else { return };
            self.departed.remove(&identity);
        }
    }

    /// Number of leading identity bits that select a bucket.
    pub fn bucket_bits(&self) -> u32 {
        (self.live.len() / MEMBERS_PER_BUCKET + 1).next_power_of_two().trailing_zeros()
    }

    /// Live and suspected members in bucket `index` of `1 << bits`.
    pub fn bucket(&self, bits: u32, index: u64) -> impl Iterator<Item = &Member> {
        let (first, last) = bucket_range(bits, index);
        self.live.range(first..=last).map(|(_, member)| member)
    }

    /// Checks that no identity is both live and departed, and that each suspicion belongs to a
    /// suspected member.
    ///
    /// # Panics
    ///
    /// Panics if an invariant is violated.
    pub fn check(&self) {
        for identity in self.departed.keys() {
            assert!(
                !self.live.contains_key(identity),
                "member {identity} is both departed and live"
            );
        }
        for identity in self.suspected.keys() {
            let state = self.live.get(identity).map(|m| m.state);
            assert_eq!(
                state,
                Some(MemberState::Suspected),
                "suspicion recorded for {identity}, which is not suspected"
            );
        }
    }

    fn insert_departed(&mut self, record: Member, now: Millis) {
        self.live.remove(&record.identity);
        self.suspected.remove(&record.identity);
        self.departed.insert(record.identity, (record, now));
    }
}

/// First and last identity of a bucket.
pub(super) fn bucket_range(bits: u32, index: u64) -> (Identity, Identity) {
    let bits = bits.min(32);
    if bits == 0 {
        return (Identity(0), Identity(u128::MAX));
    }
    let shift = 128 - bits;
    let first = (u128::from(index) & ((1 << bits) - 1)) << shift;
    (Identity(first), Identity(first | ((1 << shift) - 1)))
}
