use super::content::Content;

/// A part of a prompt, such as a system prompt, that requests may have in common.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct PromptPart {
    /// Identifies the content: equal parts have equal ids.
    pub id: u64,
    /// Its length in tokens.
    pub tokens: u32,
}

/// The prompt of a request to a model engine, by parts, and the length of the response.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Prompt {
    /// The parts in order; the last belongs to this request alone.
    pub parts: Vec<PromptPart>,
    /// The length of the whole prompt in tokens.
    pub tokens: u32,
    /// The maximum length of the response in tokens.
    pub answer_tokens: u32,
}

impl Prompt {
    /// Returns the parts that other requests may share: all but the last.
    pub fn shared(&self) -> &[PromptPart] {
        &self.parts[..self.parts.len().saturating_sub(1)]
    }

    /// Returns the parts that other requests may share, by which requests may be kept from endpoints.
    pub fn contents(&self) -> impl Iterator<Item = Content> + '_ {
        self.shared().iter().map(|part| Content::Part(part.id))
    }

    /// Returns the last part, which belongs to this request or to its session.
    pub fn own_part(&self) -> Option<Content> {
        self.parts.last().map(|part| Content::Part(part.id))
    }

    /// Returns the ids of all parts in order.
    pub fn part_ids(&self) -> Vec<u64> {
        self.parts.iter().map(|part| part.id).collect()
    }

    /// Returns the total length in tokens of the parts that other requests may share.
    pub fn shared_tokens(&self) -> u32 {
        self.shared().iter().map(|part| part.tokens).sum()
    }

    /// Returns the tokens that the request is expected to hold in the memory of an engine.
    pub fn held_tokens(&self) -> u32 {
        self.tokens + self.answer_tokens / 2
    }

    /// Returns the id of the last shared part, by which requests of one session are routed to the
    /// same endpoints.
    pub fn session(&self) -> Option<u64> {
        self.shared().last().map(|part| part.id)
    }
}
