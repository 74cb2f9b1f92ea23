use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Memory for bytes of responses that are kept: parts of incomplete responses, and complete ones until
/// they are sent on.
///
/// A response may take as much as it leaves free (a dynamic threshold). So endpoints whose responses do
/// not end cannot fill it: `n` such responses get a part of `1 / (n + 1)` each, and as much is left to
/// all others. Clones share the memory.
#[derive(Clone, Debug)]
pub struct ResponseMemory {
    /// Maximum number of bytes.
    limit: usize,
    used: Arc<AtomicUsize>,
}

impl ResponseMemory {
    /// Creates a memory of `limit` bytes.
    pub fn new(limit: usize) -> ResponseMemory {
        ResponseMemory { limit, used: Arc::default() }
    }

    /// The number of bytes that all responses take.
    pub fn used(&self) -> usize {
        self.used.load(Ordering::Relaxed)
    }

    /// The part of one response, which is empty at first.
    pub fn reservation(&self) -> Reservation {
        Reservation { memory: self.clone(), bytes: 0 }
    }
}

/// The part of a [`ResponseMemory`] that one response takes. It is released when this value is dropped,
/// as when a client disconnects.
#[derive(Debug)]
pub struct Reservation {
    memory: ResponseMemory,
    bytes: usize,
}

impl Reservation {
    /// Changes the size. Returns false, and changes nothing, if there is too little left.
    pub fn resize(&mut self, bytes: usize) -> bool {
        let others = self.memory.used() - self.bytes;
        let free = self.memory.limit.saturating_sub(others);
        if bytes > self.bytes && bytes > free / 2 {
            return false;
        }
        self.memory.used.store(others + bytes, Ordering::Relaxed);
        self.bytes = bytes;
        true
    }

    /// The maximum number of bytes of all responses.
    pub fn limit(&self) -> usize {
        self.memory.limit
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.memory.used.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}
