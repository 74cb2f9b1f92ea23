/// The shortest answer, in tokens.
const SHORTEST: u64 = 16;

/// How often the length of an answer can double.
const DOUBLINGS: u32 = 6;

/// Returns the token that an engine generates for a request at an offset.
pub fn token_text(request: &str, offset: u64) -> String {
    format!("{:04x}.{offset} ", mix(hash(request.as_bytes()) ^ offset) & 0xffff)
}

/// Returns how many tokens an engine generates for a request: mostly few, now and then many.
pub fn completion_length(request: &str, max_tokens: u64) -> u64 {
    let draw = mix(hash(request.as_bytes()));
    let base = SHORTEST << draw.trailing_zeros().min(DOUBLINGS);
    let length = base + (draw >> 32) % base;
    length.min(max_tokens)
}

/// Returns the whole answer to a request.
pub fn completion_text(request: &str, max_tokens: u64) -> String {
    (0..completion_length(request, max_tokens)).map(|offset| token_text(request, offset)).collect()
}

/// Hashes bytes by FNV-1a.
pub(crate) fn hash(bytes: &[u8]) -> u64 {
    let step = |h: u64, byte: &u8| (h ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3);
    bytes.iter().fold(0xcbf2_9ce4_8422_2325, step)
}

/// Spreads a hash over all its bits, by the finalizer of SplitMix64.
pub(crate) fn mix(hash: u64) -> u64 {
    let h = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let h = (h ^ (h >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    h ^ (h >> 31)
}
