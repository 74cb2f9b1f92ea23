use crate::answer::{hash, mix};
use std::collections::BTreeMap;

/// The bytes of text that one token stands for.
const TOKEN_BYTES: usize = 4;

/// The tokens of one cached block.
pub(super) const BLOCK_TOKENS: usize = 16;

/// Returns how many tokens a prompt has.
pub(super) fn prompt_tokens(prompt: &str) -> u64 {
    prompt.len().div_ceil(TOKEN_BYTES) as u64
}

/// A cache of prompt prefixes that forgets the block which was used longest ago.
#[derive(Debug, Default)]
pub(super) struct PrefixCache {
    limit: usize,
    clock: u64,
    used_at: BTreeMap<u64, u64>,
    by_use: BTreeMap<u64, u64>,
}

impl PrefixCache {
    /// Creates an empty cache of at most `limit` blocks.
    pub(super) fn new(limit: usize) -> PrefixCache {
        PrefixCache { limit, ..PrefixCache::default() }
    }

    /// Returns how many tokens of a prompt are cached, and caches the whole prompt.
    pub(super) fn read(&mut self, prompt: &str) -> u64 {
        let blocks = block_hashes(prompt);
        let hits = blocks.iter().take_while(|block| self.used_at.contains_key(block)).count();
        // The start of a prompt is used last, so that a prefix outlives what follows it.
        for block in blocks.iter().rev() {
            self.touch(*block);
        }
        (hits * BLOCK_TOKENS) as u64
    }

    fn touch(&mut self, block: u64) {
        self.clock += 1;
        if let Some(before) = self.used_at.insert(block, self.clock) {
            self.by_use.remove(&before);
        }
        self.by_use.insert(self.clock, block);
        while self.used_at.len() > self.limit {
            let Some((_, oldest)) = self.by_use.pop_first() else { return };
            self.used_at.remove(&oldest);
        }
    }
}

/// Returns a hash for each whole block of a prompt that covers all blocks before it.
fn block_hashes(prompt: &str) -> Vec<u64> {
    let blocks = prompt.as_bytes().chunks_exact(BLOCK_TOKENS * TOKEN_BYTES);
    let chained = |before: &mut u64, block: &[u8]| {
        *before = mix(*before ^ hash(block));
        Some(*before)
    };
    blocks.scan(0, chained).collect()
}
