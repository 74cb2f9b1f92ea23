use serde::{Deserialize, Serialize};

/// The parts of a chat completion request that the daemon reads.
#[derive(Debug, Deserialize)]
pub struct ChatBody {
    /// The conversation.
    pub messages: Vec<ChatMessage>,
    /// Whether the answer comes token by token.
    #[serde(default)]
    pub stream: bool,
}

impl ChatBody {
    /// Returns the text of the whole conversation.
    pub fn prompt(&self) -> String {
        self.messages.iter().map(|m| m.content.as_str()).collect()
    }
}

/// One message of a conversation.
#[derive(Debug, Deserialize, Serialize)]
pub struct ChatMessage {
    /// Who speaks.
    pub role: String,
    /// What is said.
    pub content: String,
}

/// One event of a streamed answer.
#[derive(Debug, Serialize)]
pub struct CompletionChunk<'a> {
    /// The request's id.
    pub id: &'a str,
    /// The kind of the object.
    pub object: &'static str,
    /// The offset of the token.
    pub offset: usize,
    /// The only choice.
    pub choices: [ChunkChoice<'a>; 1],
}

/// The choice of a streamed answer.
#[derive(Debug, Serialize)]
pub struct ChunkChoice<'a> {
    /// The number of the choice.
    pub index: u32,
    /// What is added.
    pub delta: Delta<'a>,
    /// Why the answer ends here, if it does.
    pub finish_reason: Option<&'static str>,
}

/// What an event adds to the answer.
#[derive(Debug, Serialize)]
pub struct Delta<'a> {
    /// The text of the token.
    pub content: &'a str,
}

/// An answer in one piece.
#[derive(Debug, Serialize)]
pub struct Completion<'a> {
    /// The request's id.
    pub id: &'a str,
    /// The kind of the object.
    pub object: &'static str,
    /// The only choice.
    pub choices: [CompletionChoice; 1],
}

/// The choice of an answer in one piece.
#[derive(Debug, Serialize)]
pub struct CompletionChoice {
    /// The number of the choice.
    pub index: u32,
    /// The answer.
    pub message: ChatMessage,
    /// Why the answer ends.
    pub finish_reason: &'static str,
}
