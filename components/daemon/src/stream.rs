use crate::tables::lock;
use decision::Millis;
use errors::Refusal;
use std::sync::{Condvar, Mutex};
use std::time::Duration;

/// How a response ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StreamEnd {
    /// The response is complete.
    Complete,
    /// The request was refused, maybe after some tokens.
    Refused(Refusal),
}

/// The part of a response that a reader gets at once.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct StreamChunk {
    /// All tokens from the offset of the reader.
    pub tokens: Vec<String>,
    /// Set if the response ends after these tokens.
    pub end: Option<StreamEnd>,
}

#[derive(Debug, Default)]
struct StreamState {
    text: String,
    /// The end of each token in `text`, as a byte offset.
    token_ends: Vec<usize>,
    end: Option<StreamEnd>,
    /// The live attempt, the only one that may append tokens; 0 if there is none.
    attempt: u32,
    /// The offset of the first token that no reader has read; `usize::MAX` once a reader waits for
    /// the complete response.
    read_offset: usize,
    readers: usize,
    /// When a reader last disconnected; 0 before the first time.
    last_disconnect: Millis,
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

/// The response to one request: one live attempt at a time appends tokens, and readers may
/// disconnect and resume.
#[derive(Debug, Default)]
pub struct Stream {
    state: Mutex<StreamState>,
    changed: Condvar,
}

impl Stream {
    /// Creates a stream that continues a response whose first `offset` tokens, which make up
    /// `text`, are held by another daemon.
    /// The boundaries of these tokens are not known.
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

    /// Makes `attempt` the live one; returns the offset that it starts from.
    pub fn begin_attempt(&self, attempt: u32) -> usize {
        let mut state = lock(&self.state);
        state.attempt = attempt;
        state.token_ends.len()
    }

    /// Whether `attempt` is the live one and the response has not ended.
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

    pub fn is_running(&self) -> bool {
        lock(&self.state).attempt != 0
    }

    /// The offset of the next token, which is the number of tokens so far.
    pub fn offset(&self) -> usize {
        lock(&self.state).token_ends.len()
    }

    /// The number of tokens that no reader has read.
    pub fn unread(&self) -> usize {
        let state = lock(&self.state);
        state.token_ends.len().saturating_sub(state.read_offset)
    }

    /// The text of all tokens so far.
    pub fn text(&self) -> String {
        lock(&self.state).text.clone()
    }

    /// `None` while the response has not ended.
    pub fn ended(&self) -> Option<StreamEnd> {
        lock(&self.state).end.clone()
    }

    /// Appends the token at `offset`; returns false and drops it if it is not the next one or
    /// `attempt` is not live.
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

    /// Ends the response and the live attempt; later calls do not change the end.
    pub fn end(&self, end: StreamEnd) {
        let mut state = lock(&self.state);
        state.attempt = 0;
        state.end.get_or_insert(end);
        self.changed.notify_all();
    }

    /// Blocks until there are tokens from `offset` on or the response ends, at most for `timeout`.
    /// Marks the tokens before `offset` as read.
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

    /// Blocks until the response ends. Marks all tokens as read, also those still to come.
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

    /// Blocks until at most `max_unread` tokens are unread or the response ends; returns false on a
    /// timeout.
    pub fn wait_until_read(&self, max_unread: usize, timeout: Duration) -> bool {
        let state = lock(&self.state);
        let is_waiting = |s: &mut StreamState| {
            s.token_ends.len().saturating_sub(s.read_offset) > max_unread && s.end.is_none()
        };
        let waited = self.changed.wait_timeout_while(state, timeout, is_waiting);
        let (_state, result) = waited.unwrap_or_else(|e| e.into_inner());
        !result.timed_out()
    }

    /// Counts a reader until `remove_reader`.
    pub fn add_reader(&self) {
        lock(&self.state).readers += 1;
    }

    /// Removes a reader that disconnected at `now`.
    pub fn remove_reader(&self, now: Millis) {
        let mut state = lock(&self.state);
        state.readers = state.readers.saturating_sub(1);
        state.last_disconnect = now;
    }

    /// When the last reader disconnected, 0 if there was none yet; `None` while there is a reader.
    pub fn without_reader_since(&self) -> Option<Millis> {
        let state = lock(&self.state);
        if state.readers == 0 { Some(state.last_disconnect) } else { None }
    }
}
