use super::{Identity, Member, MemberState};
use crate::Millis;
use std::collections::BTreeMap;

/// Ends of members that are remembered at most.
const MAX_TOMBSTONES: usize = 8_192;
/// Members that share a bucket, on average.
const MEMBERS_PER_BUCKET: usize = 6;

/// What a record changed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Merge {
    /// Nothing new.
    Unchanged,
    /// The record is older than what is known.
    Stale,
    /// The record speaks of a member whose end is known.
    Departed(Member),
    /// The member is new here or has a new state.
    Changed(Member),
}

/// Since when a member is suspected, and whether this daemon has probed it since.
#[derive(Clone, Copy, Debug)]
struct Suspicion {
    since: Millis,
    is_reprobed: bool,
}

/// What this daemon knows of the others.
#[derive(Clone, Debug, Default)]
pub struct Members {
    live: BTreeMap<Identity, Member>,
    departed: BTreeMap<Identity, (Member, Millis)>,
    suspected: BTreeMap<Identity, Suspicion>,
}

impl Members {
    /// Returns a live or suspected member.
    pub fn get(&self, identity: Identity) -> Option<&Member> {
        self.live.get(&identity)
    }

    /// Returns the live and suspected members by identity.
    pub fn iter(&self) -> impl Iterator<Item = &Member> {
        self.live.values()
    }

    /// Returns the record of a member that left or died.
    pub fn departed(&self, identity: Identity) -> Option<&Member> {
        self.departed.get(&identity).map(|(member, _)| member)
    }

    /// Returns how many members are live or suspected.
    pub fn len(&self) -> usize {
        self.live.len()
    }

    /// Returns whether no member is known.
    pub fn is_empty(&self) -> bool {
        self.live.is_empty()
    }

    /// Returns how many ends are remembered.
    pub fn tombstones(&self) -> usize {
        self.departed.len()
    }

    /// Takes in a record: an end wins, then the higher sequence, then the suspicion.
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

    /// Restarts the time that each suspected member has to show that it lives.
    pub fn restart_suspicions(&mut self, now: Millis) {
        let restarted = Suspicion { since: now, is_reprobed: false };
        self.suspected.values_mut().for_each(|suspicion| *suspicion = restarted);
    }

    /// Returns the members that have been suspected for `limit` and were not probed since, once.
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

    /// Returns the members that have been suspected for `limit`.
    pub fn overdue(&self, limit: Millis, now: Millis) -> Vec<Identity> {
        let overdue = self.suspected.iter().filter(|(_, s)| now.since(s.since) >= limit);
        overdue.map(|(identity, _)| *identity).collect()
    }

    /// Forgets ends that lie further back than `limit`.
    pub fn expire(&mut self, limit: Millis, now: Millis) {
        self.departed.retain(|_, (_, at)| now.since(*at) < limit);
        while self.departed.len() > MAX_TOMBSTONES {
            let oldest = self.departed.iter().min_by_key(|(_, (_, at))| *at);
            let Some(identity) = oldest.map(|(identity, _)| *identity) else { return };
            self.departed.remove(&identity);
        }
    }

    /// Returns how many leading bits tell the buckets of the members apart.
    pub fn bucket_bits(&self) -> u32 {
        (self.live.len() / MEMBERS_PER_BUCKET + 1).next_power_of_two().trailing_zeros()
    }

    /// Returns the members of a bucket.
    pub fn bucket(&self, bits: u32, index: u64) -> impl Iterator<Item = &Member> {
        let (first, last) = bucket_range(bits, index);
        self.live.range(first..=last).map(|(_, member)| member)
    }

    /// Checks that no member is live and ended, and that each suspicion has its member.
    pub fn check(&self) {
        for identity in self.departed.keys() {
            assert!(!self.live.contains_key(identity), "departed member {identity} is live");
        }
        for identity in self.suspected.keys() {
            let state = self.live.get(identity).map(|m| m.state);
            assert_eq!(state, Some(MemberState::Suspected), "suspicion of {identity}");
        }
    }

    fn insert_departed(&mut self, record: Member, now: Millis) {
        self.live.remove(&record.identity);
        self.suspected.remove(&record.identity);
        self.departed.insert(record.identity, (record, now));
    }
}

/// Returns the first and last identity of a bucket.
pub(super) fn bucket_range(bits: u32, index: u64) -> (Identity, Identity) {
    let bits = bits.min(32);
    if bits == 0 {
        return (Identity(0), Identity(u128::MAX));
    }
    let shift = 128 - bits;
    let first = (u128::from(index) & ((1 << bits) - 1)) << shift;
    (Identity(first), Identity(first | ((1 << shift) - 1)))
}
