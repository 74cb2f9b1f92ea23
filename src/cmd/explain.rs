use crate::cli::Report;
use crate::failure::Failure;
use crate::fleet::Fleet;
use crate::render;
use argh::FromArgs;
use config::ToolSettings;
use messages::status::{Explanation, Span};
use serde::Serialize;
use utils::HttpError;

const NOT_FOUND: u16 = 404;

/// show how a request was routed, and why
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "explain")]
pub struct Explain {
    /// id of the request, from the x-request-id header of its response
    #[argh(positional)]
    request: String,
}

/// The spans of a request, collected from all daemons.
#[derive(Debug, Serialize)]
pub struct ExplainReport {
    /// The id of the request.
    pub request: String,
    /// The spans, ordered by start time.
    pub steps: Vec<Step>,
    /// The names of the daemons that were not reached; steps may be missing.
    pub unreached: Vec<String>,
}

/// A span and the daemon that recorded it.
#[derive(Debug, Serialize)]
pub struct Step {
    /// The name of the daemon.
    pub daemon: String,
    /// The span, with the reasons of decisions as attributes.
    pub span: Span,
}

impl Explain {
    /// Collects the spans of the request from every daemon.
    pub fn run(&self, cfg: &ToolSettings) -> Result<ExplainReport, Failure> {
        let request = self.request.clone();
        let is_id_byte = |b: u8| b.is_ascii_alphanumeric() || b == b'-';
        if !request.bytes().all(is_id_byte) {
            return Err(Failure::RequestNotFound { request, unreached: Vec::new() });
        }
        let fleet = Fleet::read(cfg)?;
        let mut steps = Vec::new();
        let mut unreached = Vec::new();
        for (instance, response) in
            fleet.get_all::<Explanation>(&format!("/admin/explain/{request}"))
        {
            match response {
                Ok(explanation) => steps.extend(steps_of(explanation)),
                Err(HttpError::Status { status: NOT_FOUND, .. }) => {}
                Err(_) => unreached.push(instance.name.clone()),
            }
        }
        if steps.is_empty() {
            return Err(Failure::RequestNotFound { request, unreached });
        }
        steps.sort_by_key(|step| step.span.start_unix_us);
        Ok(ExplainReport { request, steps, unreached })
    }
}

fn steps_of(explanation: Explanation) -> impl Iterator<Item = Step> {
    let daemon = explanation.daemon;
    explanation.spans.into_iter().map(move |span| Step { daemon: daemon.clone(), span })
}

impl Report for ExplainReport {
    fn text(&self) -> String {
        render::explain_report(self)
    }
}
