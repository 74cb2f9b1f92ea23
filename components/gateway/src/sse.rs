use bytes::{Bytes, BytesMut};

/// Cuts a stream of server-sent events at the ends of events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    partial: BytesMut,
    last_id: Option<String>,
}

impl EventSplitter {
    /// Adds bytes and returns the events that are whole now.
    pub fn push(&mut self, bytes: &[u8]) -> Option<Bytes> {
        let searched = self.partial.len().saturating_sub(3);
        self.partial.extend_from_slice(bytes);
        let end = searched + last_boundary(&self.partial[searched..])?;
        let events = self.partial.split_to(end).freeze();
        if let Some(id) = last_id(&events) {
            self.last_id = Some(id);
        }
        Some(events)
    }

    /// Returns the bytes of an event that has not ended, and forgets them.
    pub fn take_partial(&mut self) -> Bytes {
        self.partial.split().freeze()
    }

    /// Returns whether an event has begun and not ended.
    pub fn has_partial(&self) -> bool {
        !self.partial.is_empty()
    }

    /// Returns the id of the last whole event.
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }
}

/// Returns the end of the last empty line.
fn last_boundary(bytes: &[u8]) -> Option<usize> {
    let ends_event =
        |end: &usize| bytes[..*end].ends_with(b"\n\n") || bytes[..*end].ends_with(b"\n\r\n");
    (2..=bytes.len()).rev().find(ends_event)
}

fn last_id(events: &[u8]) -> Option<String> {
    let line = events.split(|b| *b == b'\n').rev().find_map(|line| line.strip_prefix(b"id:"))?;
    Some(String::from_utf8_lossy(line).trim().to_owned())
}
