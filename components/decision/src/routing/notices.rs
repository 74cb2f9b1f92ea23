use super::set_digest::SetDigest;
use crate::Millis;
use messages::feed::{CrashNotice, Notice};
use std::collections::{BTreeMap, BTreeSet};

/// Time for which a notice is reported to the daemon that this one follows: several polls, so that
/// it survives the loss of that daemon.
const FORWARDED_FOR: Millis = Millis(5_000);
/// Age at which a notice is discarded.
const MAX_AGE: Millis = Millis(600_000);
/// The same for crashes under requests that may be repeated: what they condemn is not tried again.
const REQUEST_CRASH_MAX_AGE: Millis = Millis(86_400_000);
/// Maximum number of notices that are kept.
const MAX_NOTICES: usize = 512;

/// Maximum number of notices of a kind that a daemon publishes and accepts in a period. When many
/// endpoints crash together, each interrupts many requests, and a part of the reports suffices.
const MAX_NOTICES_PER_PERIOD: u32 = 32;
/// The same for the crashes that a daemon publishes of endpoints that had not begun to respond: each
/// has a queue of such requests.
const MAX_INTERRUPTED_PER_PERIOD: u32 = 8;
const RATE_PERIOD: Millis = Millis(1_000);

/// Counts the notices of each kind in the current period.
#[derive(Clone, Copy, Debug, Default)]
struct NoticeRate {
    period_started: Millis,
    crashes: u32,
    /// Crashes of endpoints that had not begun to respond.
    interrupted: u32,
    /// Crashes under requests with a shared prompt part that the reporter has not completed lately.
    unproven: u32,
    completions: u32,
}

impl NoticeRate {
    /// Counts a notice and returns whether it is within the limit.
    fn admits(&mut self, notice: &Notice, max_interrupted: u32, now: Millis) -> bool {
        if now.since(self.period_started) >= RATE_PERIOD {
            *self = NoticeRate { period_started: now, ..NoticeRate::default() };
        }
        let (count, max) = match notice {
            // A crash interrupts many requests beside its cause, which must not exhaust its quota.
            Notice { crash: Some(crash), .. } if has_unproven_part(crash) => {
                (&mut self.unproven, MAX_NOTICES_PER_PERIOD)
            }
            Notice { crash: Some(crash), .. } if !crash.has_begun => {
                (&mut self.interrupted, max_interrupted)
            }
            Notice { crash: Some(_), .. } => (&mut self.crashes, MAX_NOTICES_PER_PERIOD),
            Notice { completion: Some(_), .. } => (&mut self.completions, MAX_NOTICES_PER_PERIOD),
            _ => return true,
        };
        *count += 1;
        *count <= max
    }
}

/// Whether a prompt part other than the last, which belongs to the request alone, is not proven.
fn has_unproven_part(crash: &CrashNotice) -> bool {
    let shared = crash.parts.split_last().map_or(&[][..], |(_, shared)| shared);
    shared.iter().any(|part| !crash.proven.contains(part))
}

/// Identifies a notice: the incarnation of the daemon that observed it, and its number there.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct NoticeId {
    /// The incarnation of the daemon.
    pub origin: u64,
    /// Counts the notices of that incarnation.
    pub sequence: u64,
}

impl NoticeId {
    /// Returns the id of a notice.
    pub fn of(notice: &Notice) -> NoticeId {
        NoticeId { origin: notice.origin, sequence: notice.sequence }
    }

    fn to_bytes(self) -> [u8; 16] {
        (u128::from(self.origin) << 64 | u128::from(self.sequence)).to_be_bytes()
    }

    fn group(self) -> u32 {
        SetDigest::group_of(&self.to_bytes())
    }
}

#[derive(Clone, Debug)]
struct Entry {
    notice: Notice,
    observed_at: Millis,
    forwarded_until: Millis,
}

/// Where a notice came from.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NoticeSource {
    /// A daemon that follows this one.
    Follower,
    /// The daemon that this one follows, or the store reader of another region.
    Peer,
}

/// The notices that this daemon knows: facts that one daemon observes and that all need soon.
///
/// Notices go the same ways as loads, but only once: each daemon reports what it observed, or
/// received from its followers, to the daemon that it follows, and passes on to its followers what
/// it did not know before. All daemons keep them, so none is lost with a store reader: a daemon and the
/// one that it begins to follow compare digests and exchange what the other lacks.
#[derive(Clone, Debug, Default)]
pub struct NoticeBoard {
    origin: u64,
    last_sequence: u64,
    rate: NoticeRate,
    entries: BTreeMap<NoticeId, Entry>,
    /// The digest of the ids in `entries`.
    digest: SetDigest,
}

impl NoticeBoard {
    /// Creates an empty board of the daemon with this incarnation.
    pub fn new(origin: u64) -> NoticeBoard {
        NoticeBoard { origin, ..NoticeBoard::default() }
    }

    /// Adds a notice that this daemon observed; the fields that identify it are set here. `None` if
    /// there are too many of its kind.
    pub fn publish(&mut self, content: Notice, now: Millis) -> Option<Notice> {
        if !self.rate.admits(&content, MAX_INTERRUPTED_PER_PERIOD, now) {
            return None;
        }
        self.last_sequence += 1;
        let (origin, sequence) = (self.origin, self.last_sequence);
        let notice = Notice { origin, sequence, age_ms: 0, ..content };
        self.insert(&notice, now + FORWARDED_FOR, now);
        Some(notice)
    }

    /// Adds a notice of another daemon. Returns whether it was unknown and not one too many of its
    /// kind.
    pub fn receive(&mut self, notice: &Notice, source: NoticeSource, now: Millis) -> bool {
        let is_known = self.entries.contains_key(&NoticeId::of(notice));
        if is_known || Millis(notice.age_ms) >= max_age(notice) {
            return false;
        }
        // A follower of a new reader gets all notices at once; old ones are not a burst.
        let is_recent = Millis(notice.age_ms) < FORWARDED_FOR;
        if is_recent && !self.rate.admits(notice, MAX_NOTICES_PER_PERIOD, now) {
            return false;
        }
        let forwarded_until = match source {
            NoticeSource::Follower => now + FORWARDED_FOR,
            NoticeSource::Peer => Millis(0),
        };
        self.insert(notice, forwarded_until, now);
        true
    }

    fn insert(&mut self, notice: &Notice, forwarded_until: Millis, now: Millis) {
        let observed_at = now - Millis(notice.age_ms);
        let entry = Entry { notice: notice.clone(), observed_at, forwarded_until };
        let id = NoticeId::of(notice);
        if self.entries.insert(id, entry).is_none() {
            self.digest.toggle(&id.to_bytes(), &[]);
        }
    }

    fn remove(&mut self, id: NoticeId) {
        if self.entries.remove(&id).is_some() {
            self.digest.toggle(&id.to_bytes(), &[]);
        }
    }

    /// Returns the digest of the notices, to compare with that of another daemon.
    pub fn digest(&self) -> &SetDigest {
        &self.digest
    }

    /// Returns the notices of some groups of the digest.
    pub fn in_groups(&self, groups: &BTreeSet<u32>, now: Millis) -> Vec<Notice> {
        let entries = self.entries.iter().filter(|(id, _)| groups.contains(&id.group()));
        entries.map(|(_, entry)| entry.aged(now)).collect()
    }

    /// Returns a notice with its present age; `None` if it has been discarded.
    pub fn get(&self, id: NoticeId, now: Millis) -> Option<Notice> {
        self.entries.get(&id).map(|entry| entry.aged(now))
    }

    /// Returns the notices to report to the daemon that this one follows and to other regions.
    pub fn forwarded(&self, now: Millis) -> Vec<Notice> {
        let entries = self.entries.values().filter(|entry| now < entry.forwarded_until);
        entries.map(|entry| entry.aged(now)).collect()
    }

    /// Returns all notices, for a follower that knows none.
    pub fn all(&self, now: Millis) -> Vec<Notice> {
        self.entries.values().map(|entry| entry.aged(now)).collect()
    }

    /// Reports notices once more that a newly followed daemon lacks: those of the groups that differ,
    /// `None` for all, which are not among the notices that it sent of these groups.
    pub fn forward_missing(
        &mut self,
        sent: &[Notice],
        groups: Option<&BTreeSet<u32>>,
        now: Millis,
    ) {
        let known: BTreeSet<NoticeId> = sent.iter().map(NoticeId::of).collect();
        for (id, entry) in &mut self.entries {
            let may_differ = groups.is_none_or(|groups| groups.contains(&id.group()));
            if may_differ && !known.contains(id) {
                entry.forwarded_until = now + FORWARDED_FOR;
            }
        }
    }

    /// Discards old notices, and above the limit the oldest ones, of those that are not needed
    /// first.
    pub fn expire(&mut self, needed: &BTreeSet<NoticeId>, now: Millis) {
        let is_old = |entry: &Entry| now.since(entry.observed_at) >= max_age(&entry.notice);
        let old: Vec<NoticeId> =
            self.entries.iter().filter(|(_, entry)| is_old(entry)).map(|(id, _)| *id).collect();
        old.into_iter().for_each(|id| self.remove(id));
        let excess = self.entries.len().saturating_sub(MAX_NOTICES);
        if excess == 0 {
            return;
        }
        let mut ids: Vec<NoticeId> = self.entries.keys().copied().collect();
        ids.sort_by_key(|id| (needed.contains(id), self.entries[id].observed_at));
        ids.truncate(excess);
        ids.into_iter().for_each(|id| self.remove(id));
    }
}

fn max_age(notice: &Notice) -> Millis {
    let request = notice.crash.as_ref().and_then(|crash| crash.request);
    if request.is_some() { REQUEST_CRASH_MAX_AGE } else { MAX_AGE }
}

impl Entry {
    fn aged(&self, now: Millis) -> Notice {
        Notice { age_ms: now.since(self.observed_at).0, ..self.notice.clone() }
    }
}
