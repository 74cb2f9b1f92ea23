use crate::completion::{Chunk, ChunkChoice, Delta};
use crate::job::Job;
use crate::reply::{refusal_text, respond_refusal};
use crate::stream::{End, Piece};
use crate::tables::Tables;
use std::io;
use std::time::Duration;
use tiny_http::Request;
use utils::ChunkWriter;

/// The time after which a caller that gets nothing is sent a comment line.
const HEARTBEAT: Duration = Duration::from_secs(1);

/// Sends the answer from `offset` on as server-sent events.
pub fn stream_answer(tables: &Tables, req: Request, job: &Job, offset: usize) -> io::Result<()> {
    job.stream.join();
    let sent = send_events(req, job, offset);
    job.stream.leave(tables.now());
    sent.inspect_err(|e| log::info!("request={} the caller's connection broke: {e}", job.id))
        .or(Ok(()))
}

fn send_events(req: Request, job: &Job, offset: usize) -> io::Result<()> {
    let mut next = offset;
    let mut piece = job.stream.wait(next, HEARTBEAT);
    if let (true, Some(End::Refused(refusal))) = (piece.tokens.is_empty(), &piece.end) {
        return respond_refusal(req, &job.id, refusal);
    }
    let headers = [("Content-Type", "text/event-stream"), ("X-Request-Id", &job.id)];
    let mut writer = ChunkWriter::start(req, "200 OK", &headers)?;
    loop {
        writer.send(piece_text(&job.id, next, &piece).as_bytes())?;
        next += piece.tokens.len();
        if piece.end.is_some() {
            writer.close()?;
            job.stream.wait(next, Duration::ZERO);
            return Ok(());
        }
        piece = job.stream.wait(next, HEARTBEAT);
    }
}

fn piece_text(id: &str, offset: usize, piece: &Piece) -> String {
    let mut text = String::new();
    for (i, token) in piece.tokens.iter().enumerate() {
        text.push_str(&chunk_event(id, offset + i, token));
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
    text
}

fn chunk_event(id: &str, offset: usize, token: &str) -> String {
    let choice = ChunkChoice { index: 0, delta: Delta { content: token }, finish_reason: None };
    let chunk = Chunk { id, object: "chat.completion.chunk", offset, choices: [choice] };
    format!("data: {}\n\n", serde_json::to_string(&chunk).unwrap_or_default())
}
