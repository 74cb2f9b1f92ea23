use serde::{Deserialize, Serialize};

/// The fields of a chat completion request that the daemon reads.
#[derive(Debug, Deserialize)]
pub struct ChatBody {
    /// The conversation in chronological order.
    pub messages: Vec<ChatMessage>,
    /// Whether the response is sent as server-sent events.
    #[serde(default)]
    pub stream: bool,
}

impl ChatBody {
    /// The contents of all messages, concatenated.
    pub fn prompt(&self) -> String {
        self.messages.iter().map(|m| m.content.as_str()).collect()
    }
}

/// One message of a conversation.
#[derive(Debug, Deserialize, Serialize)]
pub struct ChatMessage {
    pub role: String,
    pub content: String,
}

/// The payload of one event of a streamed response.
#[derive(Debug, Serialize)]
pub struct CompletionChunk<'a> {
    pub id: &'a str,
    pub object: &'static str,
    /// Position of the token in the response, from 0.
    pub offset: usize,
    pub choices: [ChunkChoice<'a>; 1],
}

/// The only choice of a streamed response.
#[derive(Debug, Serialize)]
pub struct ChunkChoice<'a> {
    pub index: u32,
    pub delta: Delta<'a>,
    /// Always `null`: the end is announced by `[DONE]`.
    pub finish_reason: Option<&'static str>,
}

/// The text that an event appends.
#[derive(Debug, Serialize)]
pub struct Delta<'a> {
    pub content: &'a str,
}

/// A response that is not streamed.
#[derive(Debug, Serialize)]
pub struct Completion<'a> {
    pub id: &'a str,
    pub object: &'static str,
    pub choices: [CompletionChoice; 1],
}

/// The only choice of a response that is not streamed.
#[derive(Debug, Serialize)]
pub struct CompletionChoice {
    pub index: u32,
    pub message: ChatMessage,
    pub finish_reason: &'static str,
}
