use crate::tables::lock;
use decision::Millis;
use errors::Refusal;
use std::sync::{Condvar, Mutex};
use std::time::Duration;

/// The end of an answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StreamEnd {
    /// The answer is whole.
    Complete,
    /// The answer ends with a refusal.
    Refused(Refusal),
}

/// What a reader gets for its offset.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct StreamChunk {
    /// Tokens from the reader's offset on.
    pub tokens: Vec<String>,
    /// The end, when it is known and follows these tokens.
    pub end: Option<StreamEnd>,
}

#[derive(Debug, Default)]
struct StreamState {
    text: String,
    /// The end of each token within `text`, in bytes.
    token_ends: Vec<usize>,
    end: Option<StreamEnd>,
    /// The attempt whose events are taken; 0 when there is none.
    attempt: u32,
    /// The offset up to which readers have taken tokens.
    read_offset: usize,
    readers: usize,
    last_read: Millis,
}

impl StreamState {
    fn tokens_from(&self, offset: usize) -> Vec<String> {
        let mut start =
            if offset == 0 { 0 } else { self.token_ends.get(offset - 1).copied().unwrap_or(0) };
        let mut tokens = Vec::new();
        for end in self.token_ends.iter().skip(offset) {
            tokens.push(self.text[start..*end].to_string());
            start = *end;
        }
        tokens
    }
}

/// The answer to one request: one live attempt writes, and readers may leave and come back.
#[derive(Debug, Default)]
pub struct Stream {
    state: Mutex<StreamState>,
    changed: Condvar,
}

impl Stream {
    /// Creates a stream whose first `offset` tokens are held elsewhere and make up `text`.
    pub fn resumed_from(text: &str, offset: usize) -> Stream {
        let token_ends = vec![text.len(); offset];
        let state = StreamState {
            text: text.to_string(),
            token_ends,
            read_offset: offset,
            ..StreamState::default()
        };
        Stream { state: Mutex::new(state), changed: Condvar::new() }
    }

    /// Makes `attempt` the only one whose events are taken; returns the offset to start from.
    pub fn begin_attempt(&self, attempt: u32) -> usize {
        let mut state = lock(&self.state);
        state.attempt = attempt;
        state.token_ends.len()
    }

    /// Returns whether `attempt` is the live one and the answer has not ended.
    pub fn is_live(&self, attempt: u32) -> bool {
        let state = lock(&self.state);
        state.attempt == attempt && state.end.is_none()
    }

    /// Ends `attempt` if it is the live one; returns whether it was.
    pub fn end_attempt(&self, attempt: u32) -> bool {
        let mut state = lock(&self.state);
        let live = state.attempt == attempt && attempt != 0;
        if live {
            state.attempt = 0;
        }
        live
    }

    /// Returns whether an attempt is live.
    pub fn is_running(&self) -> bool {
        lock(&self.state).attempt != 0
    }

    /// Returns the offset of the next token.
    pub fn offset(&self) -> usize {
        lock(&self.state).token_ends.len()
    }

    /// Returns how many tokens no reader has taken yet.
    pub fn unread(&self) -> usize {
        let state = lock(&self.state);
        state.token_ends.len().saturating_sub(state.read_offset)
    }

    /// Returns the answer so far.
    pub fn text(&self) -> String {
        lock(&self.state).text.clone()
    }

    /// Returns the end of the answer, if it is known.
    pub fn ended(&self) -> Option<StreamEnd> {
        lock(&self.state).end.clone()
    }

    /// Adds the token at `offset`; returns whether it was the next one of the live attempt.
    pub fn push(&self, attempt: u32, offset: usize, token: &str) -> bool {
        let mut state = lock(&self.state);
        if state.end.is_some() || attempt != state.attempt || offset != state.token_ends.len() {
            return false;
        }
        state.text.push_str(token);
        let end = state.text.len();
        state.token_ends.push(end);
        self.changed.notify_all();
        true
    }

    /// Ends the answer; the first end stands.
    pub fn end(&self, end: StreamEnd) {
        let mut state = lock(&self.state);
        state.attempt = 0;
        state.end.get_or_insert(end);
        self.changed.notify_all();
    }

    /// Waits for tokens from `offset` on, or for the end.
    pub fn wait_for_chunk(&self, offset: usize, timeout: Duration) -> StreamChunk {
        let state = lock(&self.state);
        let is_waiting = |s: &mut StreamState| s.token_ends.len() <= offset && s.end.is_none();
        let (mut state, _) = self
            .changed
            .wait_timeout_while(state, timeout, is_waiting)
            .unwrap_or_else(|e| e.into_inner());
        let tokens = state.tokens_from(offset);
        state.read_offset = state.read_offset.max(offset.min(state.token_ends.len()));
        self.changed.notify_all();
        StreamChunk { tokens, end: state.end.clone() }
    }

    /// Waits for the end of the answer.
    pub fn wait_for_end(&self) -> StreamEnd {
        let mut state = lock(&self.state);
        state.read_offset = usize::MAX;
        loop {
            if let Some(end) = &state.end {
                return end.clone();
            }
            state = self.changed.wait(state).unwrap_or_else(|e| e.into_inner());
        }
    }

    /// Waits until readers have taken all but `left` tokens; returns whether they have.
    pub fn wait_until_read(&self, max_unread: usize, timeout: Duration) -> bool {
        let state = lock(&self.state);
        let is_waiting = |s: &mut StreamState| {
            s.token_ends.len().saturating_sub(s.read_offset) > max_unread && s.end.is_none()
        };
        let waited = self.changed.wait_timeout_while(state, timeout, is_waiting);
        let (_state, result) = waited.unwrap_or_else(|e| e.into_inner());
        !result.timed_out()
    }

    /// Counts a reader in until `leave`.
    pub fn add_reader(&self) {
        lock(&self.state).readers += 1;
    }

    /// Counts a reader out.
    pub fn remove_reader(&self, now: Millis) {
        let mut state = lock(&self.state);
        state.readers = state.readers.saturating_sub(1);
        state.last_read = now;
    }

    /// Returns since when nobody reads the answer.
    pub fn unread_since(&self) -> Option<Millis> {
        let state = lock(&self.state);
        if state.readers == 0 { Some(state.last_read) } else { None }
    }
}
