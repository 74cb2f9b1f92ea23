use sha2::{Digest, Sha256};
use std::collections::BTreeSet;
use std::fmt;

/// Something that a request has in common with others, and under which endpoints may crash.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Content {
    /// A part of a prompt, by its id.
    Part(u64),
    /// The whole of a request, by its digest. Repetitions of a request have the same, whatever
    /// their request ids.
    Request(u64),
}

impl Content {
    /// Returns the contents with these ids of prompt parts and this digest.
    pub fn set(parts: &[u64], digest: Option<u64>) -> BTreeSet<Content> {
        let parts = parts.iter().copied().map(Content::Part);
        parts.chain(digest.map(Content::Request)).collect()
    }

    /// Returns the ids of the prompt parts among contents, and the digest.
    pub fn split(contents: &[Content]) -> (Vec<u64>, Option<u64>) {
        let mut parts = Vec::new();
        let mut digest = None;
        for content in contents {
            match content {
                Content::Part(id) => parts.push(*id),
                Content::Request(id) => digest = Some(*id),
            }
        }
        (parts, digest)
    }
}

impl fmt::Display for Content {
    /// Formats the id of a part as in requests, and a digest with a prefix.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Content::Part(id) => write!(f, "{id:x}"),
            Content::Request(digest) => write!(f, "request:{digest:016x}"),
        }
    }
}

/// Returns the digest of a whole request, the same on all daemons. The account is part of it, so that
/// nobody can have the same digest as a request of another account, and so are the ids of the prompt
/// parts: requests with equal bodies may differ in these.
pub fn request_digest(
    method: &str,
    target: &str,
    account: Option<&str>,
    parts: &[u64],
    body: &[u8],
) -> u64 {
    let account = account.map_or(&[][..], str::as_bytes);
    let parts: Vec<u8> = parts.iter().flat_map(|id| id.to_be_bytes()).collect();
    digest(&[method.as_bytes(), target.as_bytes(), account, &parts, body])
}

/// Returns a digest of some fields and of their lengths.
pub(super) fn digest(fields: &[&[u8]]) -> u64 {
    let mut hasher = Sha256::new();
    for field in fields {
        hasher.update((field.len() as u64).to_be_bytes());
        hasher.update(field);
    }
    hasher.finalize().iter().take(8).fold(0, |digest, byte| digest << 8 | u64::from(*byte))
}
