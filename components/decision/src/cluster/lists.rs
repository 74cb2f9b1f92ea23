use super::chunks::{ChunkMap, ChunkTree, chunk_digest};
use super::identity::{digest, narrow, wide};
use crate::Millis;
use messages::cluster as wire;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

/// Daemons that a revision is fetched from at once.
const SOURCES: usize = 4;
/// Chunks of revisions that were overtaken on their way are kept up to this number.
const STAGED_LIMIT: usize = 16_384;
/// The time without a chunk after which a fetch is given up.
const STALLED: Millis = Millis(5_000);

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
        Revision { number: r.number, digest: wide(&r.digest), root: r.root }
    }
}

impl From<Revision> for wire::Revision {
    fn from(r: Revision) -> wire::Revision {
        wire::Revision { number: r.number, digest: narrow(r.digest), root: r.root }
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
    /// Chunks that are lacking, with the time before which they are not asked for again.
    lacking: BTreeMap<u64, Millis>,
    turn: usize,
    progress: Millis,
}

/// The lists in force and the revision on its way.
#[derive(Clone, Debug, Default)]
pub struct ListState {
    in_force: Revision,
    chunks: ChunkMap,
    fetch: Option<Fetch>,
    /// Texts that were put together and did not match their digest.
    pub mismatches: u64,
}

impl ListState {
    /// Returns the revision in force.
    pub fn active_revision(&self) -> Revision {
        self.in_force
    }

    /// Returns the text in force.
    pub fn text(&self) -> Option<String> {
        if self.in_force.number == 0 {
            return None;
        }
        ChunkTree { root: self.in_force.root, chunks: self.chunks.clone() }.text()
    }

    /// Returns a chunk of the lists in force or of the revision on its way.
    pub fn chunk(&self, name: u64) -> Option<&Arc<wire::Chunk>> {
        let staged = self.fetch.as_ref().and_then(|fetch| fetch.staged.get(&name));
        self.chunks.get(&name).or(staged)
    }

    /// Takes in a text read from the store.
    pub fn offer(&mut self, number: u64, text: &str) -> OfferOutcome {
        if number < self.in_force.number {
            return OfferOutcome::Older;
        }
        let whole = digest(text.as_bytes());
        if (number, whole) == (self.in_force.number, self.in_force.digest) {
            return OfferOutcome::Unchanged;
        }
        if number == self.in_force.number && whole < self.in_force.digest {
            return OfferOutcome::Conflict;
        }
        let conflict = number == self.in_force.number;
        let tree = ChunkTree::split(text);
        self.put_in_force(Revision { number, digest: whole, root: tree.root }, tree.chunks);
        if conflict { OfferOutcome::Conflict } else { OfferOutcome::Activated }
    }

    /// Notes that `source` has a revision; one newer than any known here will be fetched.
    pub fn announced(&mut self, revision: Revision, source: SocketAddr, now: Millis) {
        if revision <= self.in_force {
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
            fetch.lacking.clear();
            fetch.progress = now;
            if fetch.staged.len() > STAGED_LIMIT {
                fetch.staged.clear();
            }
            self.expand(&mut fetch, revision.root, now);
        }
        if !fetch.sources.contains(&source) {
            fetch.sources.truncate(SOURCES - 1);
            fetch.sources.insert(0, source);
        }
        self.fetch = Some(fetch);
    }

    /// Takes in a chunk and returns the text when the revision is whole.
    pub fn receive(&mut self, chunk: wire::Chunk, now: Millis) -> Option<String> {
        let mut fetch = self.fetch.take()?;
        let name = chunk_digest(&chunk);
        if fetch.lacking.remove(&name).is_some() {
            fetch.staged.insert(name, Arc::new(chunk));
            fetch.progress = now;
            self.expand(&mut fetch, name, now);
        }
        self.fetch = Some(fetch);
        self.complete()
    }

    /// Returns the chunks to ask for now and whom to ask.
    pub fn wants(
        &mut self,
        window: usize,
        timeout: Millis,
        now: Millis,
    ) -> Option<(SocketAddr, Vec<u64>)> {
        self.fetch.take_if(|fetch| now.since(fetch.progress) > STALLED);
        let fetch = self.fetch.as_mut()?;
        let waiting = fetch.lacking.values().filter(|at| **at > now).count();
        let room = window.saturating_sub(waiting);
        let due = fetch.lacking.iter().filter(|(_, at)| **at <= now);
        let names: Vec<u64> = due.map(|(name, _)| *name).take(room).collect();
        if names.is_empty() || fetch.sources.is_empty() {
            return None;
        }
        for name in &names {
            fetch.lacking.insert(*name, now + timeout);
        }
        fetch.turn = fetch.turn.wrapping_add(1);
        Some((fetch.sources[fetch.turn % fetch.sources.len()], names))
    }

    /// Puts a revision in force whose chunks are all there.
    pub fn complete(&mut self) -> Option<String> {
        let fetch = self.fetch.take_if(|fetch| fetch.lacking.is_empty())?;
        let mut chunks = ChunkMap::new();
        if self.gather(&fetch, fetch.revision.root, &mut chunks).is_none() {
            return self.reject();
        }
        let tree = ChunkTree { root: fetch.revision.root, chunks };
        let text = tree.text().filter(|t| digest(t.as_bytes()) == fetch.revision.digest);
        let Some(text) = text else { return self.reject() };
        self.put_in_force(fetch.revision, tree.chunks);
        Some(text)
    }

    fn reject(&mut self) -> Option<String> {
        self.mismatches += 1;
        None
    }

    fn put_in_force(&mut self, revision: Revision, chunks: ChunkMap) {
        assert!(revision > self.in_force, "the lists went back from {:?}", self.in_force);
        self.in_force = revision;
        self.chunks = chunks;
        self.fetch.take_if(|fetch| fetch.revision <= revision);
    }

    /// Notes which chunks below `name` are lacking.
    fn expand(&self, fetch: &mut Fetch, name: u64, now: Millis) {
        let mut stack = vec![name];
        while let Some(next) = stack.pop() {
            // Every chunk in force has its whole subtree.
            if self.chunks.contains_key(&next) {
                continue;
            }
            match fetch.staged.get(&next) {
                Some(chunk) => stack.extend(&chunk.children),
                None => {
                    fetch.lacking.insert(next, now);
                }
            }
        }
    }

    fn gather(&self, fetch: &Fetch, root: u64, chunks: &mut ChunkMap) -> Option<()> {
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
