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
    /// Returns the parts that other requests may share: all but the last.
    pub fn shared(&self) -> &[PromptPart] {
        &self.parts[..self.parts.len().saturating_sub(1)]
    }

    /// Returns the tokens of the parts that other requests may share.
    pub fn shared_tokens(&self) -> u32 {
        self.shared().iter().map(|part| part.tokens).sum()
    }

    /// Returns the part by which requests of one session are kept together: the last shared one.
    pub fn session(&self) -> Option<u64> {
        self.shared().last().map(|part| part.id)
    }
}
