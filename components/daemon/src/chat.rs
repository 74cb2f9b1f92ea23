use crate::active_lists::ActiveLists;
use crate::caller_request::{authorize, header, read_body};
use crate::completion::{ChatBody, ChatMessage, Completion, CompletionChoice};
use crate::executor::{Executor, submit};
use crate::job::Job;
use crate::refusal::respond_refusal;
use crate::spans::Trace;
use crate::sse::stream_response;
use crate::stream::StreamEnd;
use errors::{Reason, Refusal};
use std::io;
use std::sync::Arc;
use tiny_http::Request;
use utils::respond_json;

/// Label of refusals whose request names no class of the active lists.
const UNKNOWN_CLASS: &str = "unknown";

/// Serves a chat completion, streamed or as one response.
pub fn serve_chat(executor: &Executor, mut req: Request) -> io::Result<()> {
    let tables = &executor.tables;
    let (number, id) = tables.new_request();
    let (job, is_streamed) = match admit(executor, &mut req, number, &id) {
        Ok(admitted) => admitted,
        Err(refusal) => {
            let active = tables.active_lists();
            tables.metrics.record_refusal(class_label(&active, &req), &refusal);
            log::info!("request={id} refused {refusal}");
            return respond_refusal(req, &id, &refusal);
        }
    };
    if is_streamed {
        return stream_response(tables, req, &job, 0);
    }
    job.stream.add_reader();
    let end = job.stream.wait_for_end();
    job.stream.remove_reader(tables.now());
    send_completion(req, &job, end)
}

/// The class label for metrics; unknown names share one label, so that callers cannot create more.
fn class_label<'a>(active: &'a ActiveLists, req: &Request) -> &'a str {
    let name = header(req, "x-request-class").unwrap_or_default();
    let entry = active.lists.grants.classes.get_key_value(name);
    entry.map_or(UNKNOWN_CLASS, |(name, _)| name)
}

fn admit(
    executor: &Executor,
    req: &mut Request,
    number: u64,
    id: &str,
) -> Result<(Arc<Job>, bool), Refusal> {
    let tables = &executor.tables;
    let active = tables.active_lists();
    let authorized = authorize(tables, &active, req)?;
    let text = read_body(tables, req)?;
    let malformed = |text: String| Refusal::not_run(Reason::MalformedRequest, text);
    let chat: ChatBody = serde_json::from_str(&text).map_err(|e| malformed(e.to_string()))?;
    if chat.messages.is_empty() {
        return Err(malformed("messages is empty".to_string()));
    }
    if !authorized.class.service.is_empty() {
        return Err(malformed(format!("class {:?} calls a plain service", authorized.class_name)));
    }
    let body = serde_json::from_str(&text).map_err(|e| malformed(e.to_string()))?;
    let arrival = authorized.arrival(number, &chat.prompt());
    let trace = Trace::from_header(header(req, "traceparent"));
    let job = Job::new(id.to_string(), arrival, body, trace, tables.now());
    Ok((submit(executor, job), chat.stream))
}

fn send_completion(req: Request, job: &Job, end: StreamEnd) -> io::Result<()> {
    if let StreamEnd::Refused(refusal) = end {
        return respond_refusal(req, &job.id, &refusal);
    }
    let message = ChatMessage { role: "assistant".to_string(), content: job.stream.text() };
    let choice = CompletionChoice { index: 0, message, finish_reason: "stop" };
    let body = Completion { id: &job.id, object: "chat.completion", choices: [choice] };
    respond_json(req, 200, &body)
}
