use crate::tables::lock;
use errors::Refusal;
use std::sync::{Condvar, Mutex};
use std::time::Duration;

/// The end of an answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum End {
    /// The answer is whole.
    Whole,
    /// The answer ends with a refusal.
    Refused(Refusal),
}

/// What a reader gets for its offset.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Piece {
    /// Tokens from the reader's offset on.
    pub tokens: Vec<String>,
    /// The end, when it is known and follows these tokens.
    pub end: Option<End>,
}

#[derive(Debug, Default)]
struct State {
    tokens: Vec<String>,
    end: Option<End>,
}

/// The answer to one request: one writer, and readers that may come back.
#[derive(Debug, Default)]
pub struct Stream {
    state: Mutex<State>,
    changed: Condvar,
}

impl Stream {
    /// Returns the offset of the next token.
    pub fn offset(&self) -> usize {
        lock(&self.state).tokens.len()
    }

    /// Returns the answer so far.
    pub fn text(&self) -> String {
        lock(&self.state).tokens.concat()
    }

    /// Adds the token at `offset`; returns whether it was the next one.
    pub fn push(&self, offset: usize, token: String) -> bool {
        let mut state = lock(&self.state);
        if state.end.is_some() || offset != state.tokens.len() {
            return false;
        }
        state.tokens.push(token);
        self.changed.notify_all();
        true
    }

    /// Ends the answer; the first end stands.
    pub fn end(&self, end: End) {
        let mut state = lock(&self.state);
        state.end.get_or_insert(end);
        self.changed.notify_all();
    }

    /// Waits for tokens from `offset` on, or for the end.
    pub fn wait(&self, offset: usize, timeout: Duration) -> Piece {
        let state = lock(&self.state);
        let waits = |s: &mut State| s.tokens.len() <= offset && s.end.is_none();
        let (state, _) = self
            .changed
            .wait_timeout_while(state, timeout, waits)
            .unwrap_or_else(|e| e.into_inner());
        let tokens = state.tokens.get(offset..).unwrap_or_default().to_vec();
        Piece { tokens, end: state.end.clone() }
    }
}
