use crate::admin::{explain, identity_text, status};
use crate::chat::serve_chat;
use crate::executor::Executor;
use crate::forward_server::{FORWARD_PATH, serve_forward};
use crate::platform::DaemonDescription;
use crate::refusal::respond_refusal;
use crate::requests::serve_request_path;
use crate::service::serve_call;
use errors::{Reason, Refusal};
use std::io;
use tiny_http::{Request, Response};
use utils::respond_json;

/// Whether a path is operational; requests to operational paths have worker threads of their own.
pub fn is_operational(url: &str) -> bool {
    ["/healthz", "/readyz", "/admin/", "/peer/description"].iter().any(|p| url.starts_with(p))
}

/// Dispatches a request by its path.
pub fn serve_request(executor: &Executor, req: Request) {
    let path = req.url().split('?').next().unwrap_or_default().to_string();
    let tables = &executor.tables;
    let result = match path.as_str() {
        "/v1/chat/completions" => serve_chat(executor, req),
        "/v1/call" => serve_call(executor, req),
        FORWARD_PATH => serve_forward(executor, req),
        "/peer/description" => {
            let instance = identity_text(tables.identity);
            respond_json(req, 200, &DaemonDescription { instance, ready: tables.is_ready() })
        }
        "/admin/status" => respond_json(req, 200, &status(tables)),
        "/healthz" => req.respond(Response::from_string("ok")),
        "/readyz" => {
            let status = if tables.is_ready() { 200 } else { 503 };
            req.respond(Response::from_string("").with_status_code(status))
        }
        _ => serve_by_id(executor, req, &path),
    };
    log_failure(result);
}

fn serve_by_id(executor: &Executor, req: Request, path: &str) -> io::Result<()> {
    if path.starts_with("/v1/requests/") {
        return serve_request_path(executor, req, path);
    }
    let id = path.strip_prefix("/admin/explain/").unwrap_or_default();
    if let Some(explanation) = explain(&executor.tables, id) {
        return respond_json(req, 200, &explanation);
    }
    let refusal = Refusal::not_run(Reason::UnknownRequest, format!("nothing is known at {path}"));
    respond_refusal(req, id, &refusal)
}

/// Logs that a response did not reach its caller.
pub fn log_failure(result: io::Result<()>) {
    if let Err(e) = result {
        log::info!("response to a caller was cut off: {e}");
    }
}
