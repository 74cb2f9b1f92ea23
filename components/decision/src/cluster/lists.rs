use super::chunks::{ChunkMap, ChunkTree, chunk_digest};
use super::identity::{digest, id_from_u128, u128_from_id};
use crate::Millis;
use messages::cluster as wire;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

/// Daemons that a revision is fetched from at once.
const MAX_SOURCES: usize = 4;
/// Chunks of revisions that were overtaken on their way are kept up to this number.
const MAX_STAGED_CHUNKS: usize = 16_384;
/// The time without a chunk after which a fetch is given up.
const FETCH_STALL_TIMEOUT: Millis = Millis(5_000);

/// A revision of the lists; revisions are ordered by number, then by digest.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(default)]
pub struct Revision {
    /// The number that the operators' tool gave it; 0 before the first.
    pub number: u64,
    /// The digest of the whole text.
    pub digest: u128,
    /// The digest of the root chunk.
    pub root: u64,
}

impl From<&wire::Revision> for Revision {
    fn from(r: &wire::Revision) -> Revision {
        Revision { number: r.number, digest: u128_from_id(&r.digest), root: r.root }
    }
}

impl From<Revision> for wire::Revision {
    fn from(r: Revision) -> wire::Revision {
        wire::Revision { number: r.number, digest: id_from_u128(r.digest), root: r.root }
    }
}

/// How a text read from the store compares with the lists in force.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OfferOutcome {
    /// It is in force now.
    Activated,
    /// It is in force already.
    Unchanged,
    /// It is older than the lists in force.
    Older,
    /// It has the number of the lists in force and another text.
    Conflict,
}

/// A revision that is being fetched from other daemons.
#[derive(Clone, Debug, Default)]
struct Fetch {
    revision: Revision,
    sources: Vec<SocketAddr>,
    staged: ChunkMap,
    /// Chunks that are missing, with the time before which they are not asked for again.
    missing: BTreeMap<u64, Millis>,
    cursor: usize,
    last_progress: Millis,
}

/// The lists in force and the revision on its way.
#[derive(Clone, Debug, Default)]
pub struct ListState {
    active: Revision,
    chunks: ChunkMap,
    fetch: Option<Fetch>,
    /// Texts that were put together and did not match their digest.
    pub mismatches: u64,
}

impl ListState {
    /// Returns the revision in force.
    pub fn active_revision(&self) -> Revision {
        self.active
    }

    /// Returns the text in force.
    pub fn text(&self) -> Option<String> {
        if self.active.number == 0 {
            return None;
        }
        ChunkTree { root: self.active.root, chunks: self.chunks.clone() }.text()
    }

    /// Returns a chunk of the lists in force or of the revision on its way.
    pub fn chunk(&self, name: u64) -> Option<&Arc<wire::Chunk>> {
        let staged = self.fetch.as_ref().and_then(|fetch| fetch.staged.get(&name));
        self.chunks.get(&name).or(staged)
    }

    /// Takes in a text read from the store.
    pub fn offer(&mut self, number: u64, text: &str) -> OfferOutcome {
        if number < self.active.number {
            return OfferOutcome::Older;
        }
        let text_digest = digest(text.as_bytes());
        if (number, text_digest) == (self.active.number, self.active.digest) {
            return OfferOutcome::Unchanged;
        }
        if number == self.active.number && text_digest < self.active.digest {
            return OfferOutcome::Conflict;
        }
        let conflict = number == self.active.number;
        let tree = ChunkTree::split(text);
        self.activate(Revision { number, digest: text_digest, root: tree.root }, tree.chunks);
        if conflict { OfferOutcome::Conflict } else { OfferOutcome::Activated }
    }

    /// Notes that `source` has a revision; one newer than any known here will be fetched.
    pub fn record_announcement(&mut self, revision: Revision, source: SocketAddr, now: Millis) {
        if revision <= self.active {
            return;
        }
        let current = self.fetch.as_ref().map(|fetch| fetch.revision);
        if current.is_some_and(|current| current > revision) {
            return;
        }
        let mut fetch = self.fetch.take().unwrap_or_default();
        if current != Some(revision) {
            fetch.revision = revision;
            fetch.sources.clear();
            fetch.missing.clear();
            fetch.last_progress = now;
            if fetch.staged.len() > MAX_STAGED_CHUNKS {
                fetch.staged.clear();
            }
            self.add_missing(&mut fetch, revision.root, now);
        }
        if !fetch.sources.contains(&source) {
            fetch.sources.truncate(MAX_SOURCES - 1);
            fetch.sources.insert(0, source);
        }
        self.fetch = Some(fetch);
    }

    /// Takes in a chunk and returns the text when the revision is whole.
    pub fn receive(&mut self, chunk: wire::Chunk, now: Millis) -> Option<String> {
        let mut fetch = self.fetch.take()?;
        let name = chunk_digest(&chunk);
        if fetch.missing.remove(&name).is_some() {
            fetch.staged.insert(name, Arc::new(chunk));
            fetch.last_progress = now;
            self.add_missing(&mut fetch, name, now);
        }
        self.fetch = Some(fetch);
        self.complete_fetch()
    }

    /// Returns the chunks to ask for now and whom to ask.
    pub fn next_request(
        &mut self,
        window: usize,
        timeout: Millis,
        now: Millis,
    ) -> Option<(SocketAddr, Vec<u64>)> {
        self.fetch.take_if(|fetch| now.since(fetch.last_progress) > FETCH_STALL_TIMEOUT);
        let fetch = self.fetch.as_mut()?;
        let in_flight = fetch.missing.values().filter(|at| **at > now).count();
        let free_slots = window.saturating_sub(in_flight);
        let due = fetch.missing.iter().filter(|(_, at)| **at <= now);
        let names: Vec<u64> = due.map(|(name, _)| *name).take(free_slots).collect();
        if names.is_empty() || fetch.sources.is_empty() {
            return None;
        }
        for name in &names {
            fetch.missing.insert(*name, now + timeout);
        }
        fetch.cursor = fetch.cursor.wrapping_add(1);
        Some((fetch.sources[fetch.cursor % fetch.sources.len()], names))
    }

    /// Puts a revision in force whose chunks are all there.
    pub fn complete_fetch(&mut self) -> Option<String> {
        let fetch = self.fetch.take_if(|fetch| fetch.missing.is_empty())?;
        let mut chunks = ChunkMap::new();
        if self.collect_chunks(&fetch, fetch.revision.root, &mut chunks).is_none() {
            return self.record_mismatch();
        }
        let tree = ChunkTree { root: fetch.revision.root, chunks };
        let text = tree.text().filter(|t| digest(t.as_bytes()) == fetch.revision.digest);
        let Some(text) = text else { return self.record_mismatch() };
        self.activate(fetch.revision, tree.chunks);
        Some(text)
    }

    fn record_mismatch(&mut self) -> Option<String> {
        self.mismatches += 1;
        None
    }

    fn activate(&mut self, revision: Revision, chunks: ChunkMap) {
        assert!(revision > self.active, "the lists went back from {:?}", self.active);
        self.active = revision;
        self.chunks = chunks;
        self.fetch.take_if(|fetch| fetch.revision <= revision);
    }

    /// Notes which chunks below `name` are missing.
    fn add_missing(&self, fetch: &mut Fetch, name: u64, now: Millis) {
        let mut stack = vec![name];
        while let Some(next) = stack.pop() {
            // Every chunk in force has its whole subtree.
            if self.chunks.contains_key(&next) {
                continue;
            }
            match fetch.staged.get(&next) {
                Some(chunk) => stack.extend(&chunk.children),
                None => {
                    fetch.missing.insert(next, now);
                }
            }
        }
    }

    fn collect_chunks(&self, fetch: &Fetch, root: u64, chunks: &mut ChunkMap) -> Option<()> {
        let mut stack = vec![root];
        let mut seen = BTreeSet::new();
        while let Some(next) = stack.pop() {
            if !seen.insert(next) {
                continue;
            }
            let chunk = self.chunks.get(&next).or_else(|| fetch.staged.get(&next))?;
            stack.extend(&chunk.children);
            chunks.insert(next, Arc::clone(chunk));
        }
        Some(())
    }
}
