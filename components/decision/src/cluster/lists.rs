use super::chunks::{ChunkMap, ChunkTree, chunk_digest};
use super::identity::{digest, id_from_u128, u128_from_id};
use crate::Millis;
use messages::cluster as wire;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

/// Maximum number of daemons from which a revision is fetched, in turn.
const MAX_SOURCES: usize = 4;
/// Number of staged chunks of a superseded revision above which they are dropped, not reused.
const MAX_STAGED_CHUNKS: usize = 16_384;
/// Time without a new chunk after which a fetch is abandoned.
const FETCH_STALL_TIMEOUT: Millis = Millis(5_000);

/// Revision of the lists, ordered by number, then by digest.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(default)]
pub struct Revision {
    /// Number assigned by the operators' tool; 0 before the first revision.
    pub number: u64,
    /// Digest of the complete text.
    pub digest: u128,
    /// Digest of the root chunk.
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

/// How a text read from the store compares with the active lists.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OfferOutcome {
    /// It is newer and became active.
    Activated,
    /// It was active already.
    Unchanged,
    /// It has a lower number than the active lists and was ignored.
    Older,
    /// It has the number of the active lists but a different text. The text with the higher digest
    /// is active.
    Conflict,
}

/// Fetch of a revision from peers.
#[derive(Clone, Debug, Default)]
struct Fetch {
    revision: Revision,
    sources: Vec<SocketAddr>,
    /// Received chunks that are not yet part of the active lists.
    staged: ChunkMap,
    /// Digests of missing chunks, with the earliest time of the next request for each.
    missing: BTreeMap<u64, Millis>,
    source_cursor: usize,
    last_progress: Millis,
}

/// The active lists and the revision that is being fetched.
#[derive(Clone, Debug, Default)]
pub struct ListState {
    active: Revision,
    chunks: ChunkMap,
    fetch: Option<Fetch>,
    /// Fetched revisions that were incomplete or did not match their digest.
    pub mismatches: u64,
}

impl ListState {
    /// Active revision; number 0 before the first one.
    pub fn active_revision(&self) -> Revision {
        self.active
    }

    /// Text of the active lists.
    pub fn text(&self) -> Option<String> {
        if self.active.number == 0 {
            return None;
        }
        ChunkTree { root: self.active.root, chunks: self.chunks.clone() }.text()
    }

    /// Looks up a chunk of the active lists or of the revision that is being fetched.
    pub fn chunk(&self, name: u64) -> Option<&Arc<wire::Chunk>> {
        let staged = self.fetch.as_ref().and_then(|fetch| fetch.staged.get(&name));
        self.chunks.get(&name).or(staged)
    }

    /// Compares a text read from the store with the active lists. Activates it if it is newer, or
    /// if it has the same number and a higher digest.
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

    /// Records that `source` has a revision, and starts to fetch it if it is the newest known.
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

    /// Stores a missing chunk. Returns the text if this completes the revision, which is then active.
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

    /// Next daemon to request chunks from, and the digests of these chunks. At most `window` chunks
    /// are requested at a time; each is requested again after `timeout`.
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
        fetch.source_cursor = fetch.source_cursor.wrapping_add(1);
        Some((fetch.sources[fetch.source_cursor % fetch.sources.len()], names))
    }

    /// Activates the fetched revision if no chunk is missing and its digest matches, and returns its
    /// text.
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
        assert!(
            revision > self.active,
            "revision {revision:?} is not newer than the active {:?}",
            self.active
        );
        self.active = revision;
        self.chunks = chunks;
        self.fetch.take_if(|fetch| fetch.revision <= revision);
    }

    /// Records the missing chunks in the subtree of `name`.
    fn add_missing(&self, fetch: &mut Fetch, name: u64, now: Millis) {
        let mut stack = vec![name];
        while let Some(next) = stack.pop() {
            // Every active chunk has its complete subtree.
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
