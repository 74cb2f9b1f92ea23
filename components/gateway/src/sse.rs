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
        let end = search_start + last_boundary(&self.partial[search_start..])?;
        let events = self.partial.split_to(end).freeze();
        if let Some(id) = last_id(&events) {
            self.last_id = Some(id);
        }
        Some(events)
    }

    /// Removes and returns the bytes of an incomplete event.
    pub fn take_partial(&mut self) -> Bytes {
        self.partial.split().freeze()
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

fn last_id(events: &[u8]) -> Option<String> {
    let line = events
        .split(|b| matches!(b, b'\n' | b'\r'))
        .rev()
        .find_map(|line| line.strip_prefix(b"id:"))?;
    Some(String::from_utf8_lossy(line).trim().to_owned())
}
