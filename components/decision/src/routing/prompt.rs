/// A part of a prompt that requests may share.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct PromptPart {
    /// The id of the part's content.
    pub id: u64,
    /// Its length.
    pub tokens: u32,
}

/// The size of a request to a model engine.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Prompt {
    /// The parts in order; the last is the request's own.
    pub parts: Vec<PromptPart>,
    /// The tokens of the prompt.
    pub tokens: u32,
    /// The most tokens of the answer.
    pub answer_tokens: u32,
}

impl Prompt {
    /// Returns the part by which requests of one session are kept together: the last but one.
    pub fn session(&self) -> Option<u64> {
        let shared = self.parts.len().checked_sub(2)?;
        Some(self.parts[shared].id)
    }
}
