use crate::completion::{hash, mix};
use std::collections::BTreeMap;

/// The text length counted as one prompt token.
const TOKEN_BYTES: usize = 4;

/// The size of a cache block.
pub(super) const BLOCK_TOKENS: usize = 16;

/// The number of tokens in a prompt, rounded up.
pub(super) fn prompt_tokens(prompt: &str) -> u64 {
    prompt.len().div_ceil(TOKEN_BYTES) as u64
}

/// An LRU cache of prompt prefixes, in blocks of `BLOCK_TOKENS` tokens.
#[derive(Debug, Default)]
pub(super) struct PrefixCache {
    max_blocks: usize,
    clock: u64,
    /// The time of the last use of each block, in ticks of `clock`.
    used_at: BTreeMap<u64, u64>,
    /// The inverse of `used_at`: oldest use first.
    by_use: BTreeMap<u64, u64>,
}

impl PrefixCache {
    pub(super) fn new(max_blocks: usize) -> PrefixCache {
        PrefixCache { max_blocks, ..PrefixCache::default() }
    }

    /// Caches all full blocks of a prompt; returns how many of its tokens were cached before.
    pub(super) fn lookup_and_insert(&mut self, prompt: &str) -> u64 {
        let blocks = block_hashes(prompt);
        let hits = blocks.iter().take_while(|block| self.used_at.contains_key(block)).count();
        // Touches the first block last, so that a prefix is evicted after the blocks that follow it.
        for block in blocks.iter().rev() {
            self.touch(*block);
        }
        (hits * BLOCK_TOKENS) as u64
    }

    fn touch(&mut self, block: u64) {
        self.clock += 1;
        if let Some(previous) = self.used_at.insert(block, self.clock) {
            self.by_use.remove(&previous);
        }
        self.by_use.insert(self.clock, block);
        while self.used_at.len() > self.max_blocks {
            let Some((_, oldest)) = self.by_use.pop_first() else { return };
            self.used_at.remove(&oldest);
        }
    }
}

/// A hash for each full block of a prompt, chained over all preceding blocks.
fn block_hashes(prompt: &str) -> Vec<u64> {
    let blocks = prompt.as_bytes().chunks_exact(BLOCK_TOKENS * TOKEN_BYTES);
    let chained = |previous: &mut u64, block: &[u8]| {
        *previous = mix(*previous ^ hash(block));
        Some(*previous)
    };
    blocks.scan(0, chained).collect()
}
