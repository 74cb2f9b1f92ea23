//! The parsers of external input, exported for the tests that feed them arbitrary bytes.

pub use crate::auth::{mac_hex, verify_mac};
pub use crate::completion::ChatBody;
pub use crate::engine::read_line;
pub use crate::frame::read_frame;
pub use crate::spans::Trace;
pub use crate::stream::{StreamChunk, StreamEnd};
