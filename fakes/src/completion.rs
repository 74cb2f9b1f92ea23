/// The shortest completion without a token limit.
const MIN_COMPLETION_TOKENS: u64 = 16;

/// Bounds the base length to `MIN_COMPLETION_TOKENS << MAX_DOUBLINGS`; each doubling has half the
/// probability of the one before.
const MAX_DOUBLINGS: u32 = 6;

/// The text of the token at `offset` of the completion of a request; the same in every engine.
pub fn token_text(request: &str, offset: u64) -> String {
    format!("{:04x}.{offset} ", mix(hash(request.as_bytes()) ^ offset) & 0xffff)
}

/// The number of tokens in the completion of a request, derived from the request id: mostly short,
/// with a long tail, at most `max_tokens`.
pub fn completion_length(request: &str, max_tokens: u64) -> u64 {
    let hash = mix(hash(request.as_bytes()));
    let base = MIN_COMPLETION_TOKENS << hash.trailing_zeros().min(MAX_DOUBLINGS);
    let length = base + (hash >> 32) % base;
    length.min(max_tokens)
}

/// The complete text that an engine generates for a request.
pub fn completion_text(request: &str, max_tokens: u64) -> String {
    (0..completion_length(request, max_tokens)).map(|offset| token_text(request, offset)).collect()
}

/// The FNV-1a hash of the bytes.
pub(crate) fn hash(bytes: &[u8]) -> u64 {
    let step = |h: u64, byte: &u8| (h ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3);
    bytes.iter().fold(0xcbf2_9ce4_8422_2325, step)
}

/// Distributes a hash over all 64 bits with the finalizer of SplitMix64.
pub(crate) fn mix(hash: u64) -> u64 {
    let h = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let h = (h ^ (h >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    h ^ (h >> 31)
}
