use crate::cli::Report;
use crate::failure::Failure;
use crate::fleet::Fleet;
use crate::messages;
use ::messages::status::{Explanation, Span};
use argh::FromArgs;
use config::ToolSettings;
use serde::Serialize;
use utils::HttpError;

const NOT_FOUND: u16 = 404;

/// show why a request went where it went
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "explain")]
pub struct Explain {
    /// id of the request, as the answer's x-request-id gives it
    #[argh(positional)]
    request: String,
}

/// The steps of a request over all daemons.
#[derive(Debug, Serialize)]
pub struct ExplainReport {
    /// The request's id.
    pub request: String,
    /// The steps in the order of their starts.
    pub steps: Vec<Step>,
    /// The names of the daemons that were not reached; steps may be missing.
    pub unreached: Vec<String>,
}

/// One step of a request.
#[derive(Debug, Serialize)]
pub struct Step {
    /// The daemon that took the step.
    pub daemon: String,
    /// The step.
    pub span: Span,
}

impl Explain {
    /// Collects the spans of the request from every daemon.
    pub fn run(&self, cfg: &ToolSettings) -> Result<ExplainReport, Failure> {
        let request = self.request.clone();
        let plain = |b: u8| b.is_ascii_alphanumeric() || b == b'-';
        if !request.bytes().all(plain) {
            return Err(Failure::NoRequest { request, unreached: Vec::new() });
        }
        let fleet = Fleet::read(cfg)?;
        let mut steps = Vec::new();
        let mut unreached = Vec::new();
        for (instance, answer) in fleet.ask::<Explanation>(&format!("/admin/explain/{request}")) {
            match answer {
                Ok(found) => steps.extend(steps_of(found)),
                Err(HttpError::Status { status: NOT_FOUND, .. }) => {}
                Err(_) => unreached.push(instance.name.clone()),
            }
        }
        if steps.is_empty() {
            return Err(Failure::NoRequest { request, unreached });
        }
        steps.sort_by_key(|step| step.span.start_unix_us);
        Ok(ExplainReport { request, steps, unreached })
    }
}

fn steps_of(found: Explanation) -> impl Iterator<Item = Step> {
    let daemon = found.daemon;
    found.spans.into_iter().map(move |span| Step { daemon: daemon.clone(), span })
}

impl Report for ExplainReport {
    fn text(&self) -> String {
        messages::explanation(self)
    }
}
