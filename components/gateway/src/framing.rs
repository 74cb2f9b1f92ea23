use http::HeaderMap;
use http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};

/// What marks the end of a response body (RFC 9112, section 6.3).
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Framing {
    /// Its length is stated in the head.
    Length,
    /// A last, empty chunk.
    Chunks,
    /// The end of the connection, also that of a connection which was lost.
    Connection,
}

impl Framing {
    /// The framing that a response head states.
    pub fn of(headers: &HeaderMap) -> Framing {
        let Some(coding) = headers.get_all(TRANSFER_ENCODING).iter().next_back() else {
            let has_length = headers.contains_key(CONTENT_LENGTH);
            return if has_length { Framing::Length } else { Framing::Connection };
        };
        let last = coding.to_str().unwrap_or("").rsplit(',').next().unwrap_or("").trim();
        if last.eq_ignore_ascii_case("chunked") { Framing::Chunks } else { Framing::Connection }
    }

    /// The name in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Framing::Length => "length",
            Framing::Chunks => "chunks",
            Framing::Connection => "connection",
        }
    }
}
