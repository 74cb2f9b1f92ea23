use crate::attempt::{Shell, carry_out};
use crate::callers::{BODY_LIMIT, permit};
use crate::reply::{refusal_text, respond_refusal};
use crate::stream::{End, Stream};
use crate::tables::{Job, lock};
use errors::{Reason, Refusal};
use serde::{Deserialize, Serialize};
use std::io;
use std::sync::Arc;
use std::time::Duration;
use tiny_http::Request;
use utils::{ChunkWriter, body_text, respond_json};

/// The time after which a caller that gets nothing is sent a comment line.
const HEARTBEAT: Duration = Duration::from_secs(1);

#[derive(Debug, Deserialize)]
struct ChatBody {
    messages: Vec<ChatMessage>,
    #[serde(default)]
    stream: bool,
}

#[derive(Debug, Deserialize, Serialize)]
struct ChatMessage {
    role: String,
    content: String,
}

#[derive(Serialize)]
struct Chunk<'a> {
    id: &'a str,
    object: &'static str,
    offset: usize,
    choices: [ChunkChoice<'a>; 1],
}

#[derive(Serialize)]
struct ChunkChoice<'a> {
    index: u32,
    delta: Delta<'a>,
    finish_reason: Option<&'static str>,
}

#[derive(Serialize)]
struct Delta<'a> {
    content: &'a str,
}

#[derive(Serialize)]
struct Completion<'a> {
    id: &'a str,
    object: &'static str,
    choices: [CompletionChoice; 1],
}

#[derive(Serialize)]
struct CompletionChoice {
    index: u32,
    message: ChatMessage,
    finish_reason: &'static str,
}

/// Serves a chat completion from admission to the last token.
pub fn serve_chat(shell: &Shell, mut req: Request) -> io::Result<()> {
    let (number, id) = shell.tables.new_request();
    match admit(shell, &mut req, number, &id) {
        Err(refusal) => respond_refusal(req, &id, &refusal),
        Ok((job, true)) => stream_answer(req, &job.id, &job.stream, 0),
        Ok((job, false)) => whole_answer(req, &job.id, &job.stream),
    }
}

fn admit(
    shell: &Shell,
    req: &mut Request,
    number: u64,
    id: &str,
) -> Result<(Arc<Job>, bool), Refusal> {
    let tables = &shell.tables;
    let in_force = tables.lists();
    let arrival = permit(tables, &in_force, req)?.arrival(number);
    let malformed = |text: String| Refusal::not_run(Reason::MalformedRequest, text);
    let text = body_text(req, BODY_LIMIT).map_err(|e| malformed(e.to_string()))?;
    let Some(text) = text else {
        let text = format!("the body is larger than {BODY_LIMIT} bytes");
        return Err(Refusal::not_run(Reason::BodyTooLarge, text));
    };
    let chat: ChatBody = serde_json::from_str(&text).map_err(|e| malformed(e.to_string()))?;
    if chat.messages.is_empty() {
        return Err(malformed("messages is empty".to_string()));
    }
    let body = serde_json::from_str(&text).map_err(|e| malformed(e.to_string()))?;
    let job = Job { id: id.to_string(), arrival, body, stream: Stream::default() };
    let job = Arc::new(job);
    lock(&tables.jobs).insert(number, Arc::clone(&job));
    let effects = lock(&tables.scheduler).arrive(job.arrival.clone(), tables.now());
    carry_out(shell, effects);
    Ok((job, chat.stream))
}

/// Sends the answer from `offset` on as server-sent events.
pub fn stream_answer(req: Request, id: &str, stream: &Stream, offset: usize) -> io::Result<()> {
    let mut next = offset;
    let mut piece = stream.wait(next, HEARTBEAT);
    if let (true, Some(End::Refused(refusal))) = (piece.tokens.is_empty(), &piece.end) {
        return respond_refusal(req, id, refusal);
    }
    let headers = [("Content-Type", "text/event-stream"), ("X-Request-Id", id)];
    let mut writer = ChunkWriter::start(req, "200 OK", &headers)?;
    loop {
        let mut text = String::new();
        for token in &piece.tokens {
            text.push_str(&chunk_event(id, next, token));
            next += 1;
        }
        match &piece.end {
            Some(End::Whole) => text.push_str("data: [DONE]\n\n"),
            Some(End::Refused(refusal)) => {
                text.push_str("event: error\ndata: ");
                text.push_str(&refusal_text(id, refusal));
                text.push_str("\n\n");
            }
            None if piece.tokens.is_empty() => text.push_str(": waiting\n\n"),
            None => {}
        }
        writer.send(text.as_bytes())?;
        if piece.end.is_some() {
            return writer.close();
        }
        piece = stream.wait(next, HEARTBEAT);
    }
}

fn chunk_event(id: &str, offset: usize, token: &str) -> String {
    let choice = ChunkChoice { index: 0, delta: Delta { content: token }, finish_reason: None };
    let chunk = Chunk { id, object: "chat.completion.chunk", offset, choices: [choice] };
    format!("data: {}\n\n", serde_json::to_string(&chunk).unwrap_or_default())
}

fn whole_answer(req: Request, id: &str, stream: &Stream) -> io::Result<()> {
    let end = loop {
        if let Some(end) = stream.wait(usize::MAX, HEARTBEAT).end {
            break end;
        }
    };
    if let End::Refused(refusal) = end {
        return respond_refusal(req, id, &refusal);
    }
    let message = ChatMessage { role: "assistant".to_string(), content: stream.text() };
    let choice = CompletionChoice { index: 0, message, finish_reason: "stop" };
    let body = Completion { id, object: "chat.completion", choices: [choice] };
    respond_json(req, 200, &body)
}
