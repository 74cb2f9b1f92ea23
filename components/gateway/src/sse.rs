use bytes::{Bytes, BytesMut};

/// Splits a stream of server-sent events at event boundaries.
#[derive(Debug, Default)]
pub struct EventSplitter {
    partial: BytesMut,
    last_id: Option<String>,
}

impl EventSplitter {
    /// Adds bytes. Returns all events that are now complete as one chunk, if any.
    pub fn push(&mut self, bytes: &[u8]) -> Option<Bytes> {
        let search_start = self.partial.len().saturating_sub(3);
        self.partial.extend_from_slice(bytes);
        let boundary = last_boundary(&self.partial[search_start..]);
        let end = boundary.map_or(0, |position| search_start + position);
        // Further empty lines belong to no event.
        let empty_lines = self.partial[end..].iter().take_while(|byte| is_line_end(byte)).count();
        let events = self.partial.split_to(end + empty_lines).freeze();
        if events.is_empty() {
            return None;
        }
        if let Some(id) = last_id(&events) {
            self.last_id = Some(id);
        }
        Some(events)
    }

    /// Removes and returns the bytes of an incomplete event.
    pub fn take_partial(&mut self) -> Bytes {
        self.partial.split().freeze()
    }

    /// Drops what was added since the last complete event was the one with the id `last_id`.
    pub fn go_back_to(&mut self, last_id: Option<String>) {
        self.partial.clear();
        self.last_id = last_id;
    }

    /// Number of bytes of an incomplete event.
    pub fn partial_bytes(&self) -> usize {
        self.partial.len()
    }

    /// The id of the last complete event that had one.
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }
}

/// Ends of an event: an empty line after each of the line ends that streams may use.
const EVENT_ENDS: [&[u8]; 3] = [b"\n\n", b"\n\r\n", b"\r\r"];

/// The position after the last empty line.
fn last_boundary(bytes: &[u8]) -> Option<usize> {
    let ends_event = |at: &usize| EVENT_ENDS.iter().any(|end| bytes[..*at].ends_with(end));
    (2..=bytes.len()).rev().find(ends_event)
}

/// Whether there is an event among complete blocks of lines, which may also be comments.
pub fn has_event(blocks: &[u8]) -> bool {
    blocks.split(is_line_end).any(|line| !line.is_empty() && !line.starts_with(b":"))
}

fn is_line_end(byte: &u8) -> bool {
    matches!(byte, b'\n' | b'\r')
}

fn last_id(events: &[u8]) -> Option<String> {
    let line = events.split(is_line_end).rev().find_map(|line| line.strip_prefix(b"id:"))?;
    Some(String::from_utf8_lossy(line).trim().to_owned())
}
