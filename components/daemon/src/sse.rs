use crate::completion::{ChunkChoice, CompletionChunk, Delta};
use crate::job::Job;
use crate::refusal::{refusal_json, respond_refusal};
use crate::stream::{StreamChunk, StreamEnd};
use crate::tables::Tables;
use std::io;
use std::time::Duration;
use tiny_http::Request;
use utils::ChunkWriter;

/// Interval of comment lines while no token arrives.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);

/// Sends the response as server-sent events, from the token at `offset`.
pub fn stream_response(tables: &Tables, req: Request, job: &Job, offset: usize) -> io::Result<()> {
    job.stream.add_reader();
    let sent = send_events(req, job, offset);
    job.stream.remove_reader(tables.now());
    sent.inspect_err(|e| log::info!("request={} connection to the caller lost: {e}", job.id))
        .or(Ok(()))
}

fn send_events(req: Request, job: &Job, offset: usize) -> io::Result<()> {
    let mut next = offset;
    let mut chunk = job.stream.wait_for_chunk(next, HEARTBEAT_INTERVAL);
    if let (true, Some(StreamEnd::Refused(refusal))) = (chunk.tokens.is_empty(), &chunk.end) {
        return respond_refusal(req, &job.id, refusal);
    }
    let headers = [("Content-Type", "text/event-stream"), ("X-Request-Id", &job.id)];
    let mut writer = ChunkWriter::start(req, "200 OK", &headers)?;
    loop {
        writer.send(encode_chunk(&job.id, next, &chunk).as_bytes())?;
        next += chunk.tokens.len();
        if chunk.end.is_some() {
            writer.close()?;
            // Marks the last tokens as read.
            job.stream.wait_for_chunk(next, Duration::ZERO);
            return Ok(());
        }
        chunk = job.stream.wait_for_chunk(next, HEARTBEAT_INTERVAL);
    }
}

fn encode_chunk(id: &str, offset: usize, chunk: &StreamChunk) -> String {
    let mut text = String::new();
    for (i, token) in chunk.tokens.iter().enumerate() {
        text.push_str(&encode_token(id, offset + i, token));
    }
    match &chunk.end {
        Some(StreamEnd::Complete) => text.push_str("data: [DONE]\n\n"),
        Some(StreamEnd::Refused(refusal)) => {
            text.push_str("event: error\ndata: ");
            text.push_str(&refusal_json(id, refusal));
            text.push_str("\n\n");
        }
        None if chunk.tokens.is_empty() => text.push_str(": waiting\n\n"),
        None => {}
    }
    text
}

fn encode_token(id: &str, offset: usize, token: &str) -> String {
    let choice = ChunkChoice { index: 0, delta: Delta { content: token }, finish_reason: None };
    let chunk = CompletionChunk { id, object: "chat.completion.chunk", offset, choices: [choice] };
    format!("data: {}\n\n", serde_json::to_string(&chunk).unwrap_or_default())
}
