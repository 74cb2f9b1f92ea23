//! Content-defined chunking: a text is split into a tree of chunks named by their digests, so that
//! an edit changes few chunks.

use super::identity::digest;
use messages::cluster::Chunk;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Maximum size of the text of a leaf; a leaf fits into one packet.
const LEAF_MAX_BYTES: usize = 900;
/// Minimum size of the text of a leaf, except the last one.
const LEAF_MIN_BYTES: usize = 256;
/// A leaf ends where this many leading bits of the rolling hash are zero.
const LEAF_BOUNDARY_BITS: u32 = 9;
/// Maximum number of children of a branch; a branch fits into one packet.
const BRANCH_MAX_CHILDREN: usize = 90;
/// Minimum number of children of a branch, except the last one of a level.
const BRANCH_MIN_CHILDREN: usize = 8;
/// A branch ends after a digest with this many leading zero bits.
const BRANCH_BOUNDARY_BITS: u32 = 5;

/// Chunks by their digest.
pub type ChunkMap = BTreeMap<u64, Arc<Chunk>>;

/// Text split into a tree of chunks.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ChunkTree {
    /// Digest of the root chunk.
    pub root: u64,
    /// All chunks of the tree, by digest.
    pub chunks: ChunkMap,
}

impl ChunkTree {
    /// Splits a text; the same text always gives the same tree.
    pub fn split(text: &str) -> ChunkTree {
        let mut chunks = ChunkMap::new();
        let leaves = split_text(text).into_iter();
        let mut level: Vec<u64> = leaves
            .map(|leaf| insert(&mut chunks, Chunk { text: leaf.to_string(), children: Vec::new() }))
            .collect();
        while level.len() > 1 {
            let branches = split_digests(&level).into_iter();
            level = branches
                .map(|b| insert(&mut chunks, Chunk { text: String::new(), children: b.to_vec() }))
                .collect();
        }
        let root = level.first().copied().unwrap_or_default();
        ChunkTree { root, chunks }
    }

    /// Reassembles the text; `None` if a chunk is missing.
    pub fn text(&self) -> Option<String> {
        let mut text = String::new();
        let mut stack = vec![self.root];
        while let Some(next) = stack.pop() {
            let chunk = self.chunks.get(&next)?;
            text.push_str(&chunk.text);
            stack.extend(chunk.children.iter().rev());
        }
        Some(text)
    }
}

/// Digest that names a chunk, over its text and children.
pub fn chunk_digest(chunk: &Chunk) -> u64 {
    let mut buf = Vec::with_capacity(chunk.text.len() + chunk.children.len() * 8 + 1);
    buf.push(u8::from(chunk.children.is_empty()));
    buf.extend_from_slice(chunk.text.as_bytes());
    chunk.children.iter().for_each(|child| buf.extend_from_slice(&child.to_be_bytes()));
    (digest(&buf) >> 64) as u64
}

fn insert(chunks: &mut ChunkMap, chunk: Chunk) -> u64 {
    let name = chunk_digest(&chunk);
    chunks.insert(name, Arc::new(chunk));
    name
}

fn split_text(text: &str) -> Vec<&str> {
    let mut leaves = Vec::new();
    let mut start = 0;
    let mut hash = 0u64;
    for (i, c) in text.char_indices() {
        let end = i + c.len_utf8();
        hash = (hash << 1).wrapping_add((u64::from(c) + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15));
        let len = end - start;
        let at_boundary = hash >> (64 - LEAF_BOUNDARY_BITS) == 0 && len >= LEAF_MIN_BYTES;
        if at_boundary || len + 4 > LEAF_MAX_BYTES {
            leaves.push(&text[start..end]);
            start = end;
        }
    }
    if start < text.len() || leaves.is_empty() {
        leaves.push(&text[start..]);
    }
    leaves
}

fn split_digests(level: &[u64]) -> Vec<&[u64]> {
    let mut branches = Vec::new();
    let mut start = 0;
    for (i, name) in level.iter().enumerate() {
        let len = i + 1 - start;
        let at_boundary = name >> (64 - BRANCH_BOUNDARY_BITS) == 0 && len >= BRANCH_MIN_CHILDREN;
        if at_boundary || len == BRANCH_MAX_CHILDREN {
            branches.push(&level[start..=i]);
            start = i + 1;
        }
    }
    if start < level.len() {
        branches.push(&level[start..]);
    }
    branches
}
