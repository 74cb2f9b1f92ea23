use sha2::{Digest, Sha256};
use std::fmt;

/// Something that a request has in common with others, and under which endpoints may crash.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Content {
    /// A part of a prompt, by its id.
    Part(u64),
    /// The whole of a request, by a digest. Repetitions of a request have the same, whatever their
    /// request ids.
    Request(u64),
}

impl Content {
    /// Returns the content of a whole request. The account is part of it, so that nobody can have
    /// the same content as a request of another account.
    pub fn of_request(method: &str, target: &str, account: Option<&str>, body: &[u8]) -> Content {
        let account = account.map_or(&[][..], str::as_bytes);
        let mut hasher = Sha256::new();
        for field in [method.as_bytes(), target.as_bytes(), account, body] {
            hasher.update((field.len() as u64).to_be_bytes());
            hasher.update(field);
        }
        let digest = hasher.finalize();
        Content::Request(digest.iter().take(8).fold(0, |id, byte| id << 8 | u64::from(*byte)))
    }
}

impl fmt::Display for Content {
    /// Formats the id as in requests, with a prefix for whole requests.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Content::Part(id) => write!(f, "{id:x}"),
            Content::Request(id) => write!(f, "request:{id:016x}"),
        }
    }
}
