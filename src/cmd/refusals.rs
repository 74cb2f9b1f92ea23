use crate::cli::Report;
use crate::exit::Exit;
use crate::failure::{Failure, FileSnafu};
use crate::render;
use argh::FromArgs;
use gateway::RefusalLine;
use serde::Serialize;
use snafu::ResultExt;
use std::collections::BTreeMap;
use std::fs::File;
use std::io::{BufRead, BufReader};
use std::path::PathBuf;

/// count the refusals in gateway logs, and check that each log line explains its refusal
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "refusals")]
pub struct Refusals {
    /// log files; text before the first brace of a line is ignored
    #[argh(positional)]
    files: Vec<PathBuf>,
}

/// The refusals in the log files.
#[derive(Debug, Default, Serialize)]
pub struct RefusalsReport {
    /// Counts by status and reason.
    pub counts: BTreeMap<String, u64>,
    /// Refusals whose log line lacks fields that explain them.
    pub unexplained: Vec<Unexplained>,
    /// The number of lines about requests that gateways did not write, because of their rate limit
    /// or a slow reader of the log.
    #[serde(rename = "left_out")]
    pub omitted_lines: u64,
}

/// A refusal whose log line is incomplete.
#[derive(Debug, Serialize)]
pub struct Unexplained {
    /// The id of the request.
    pub request: String,
    /// The missing fields.
    pub missing: Vec<&'static str>,
}

impl Refusals {
    /// Reads the log files line by line.
    pub fn run(&self) -> Result<RefusalsReport, Failure> {
        let mut report = RefusalsReport::default();
        for path in &self.files {
            let f = File::open(path).context(FileSnafu { path })?;
            for line in BufReader::new(f).lines() {
                report.record(&line.context(FileSnafu { path })?);
            }
        }
        Ok(report)
    }
}

impl RefusalsReport {
    fn record(&mut self, line: &str) {
        self.omitted_lines += omitted_lines(line);
        let Some(refusal) = RefusalLine::parse(line) else { return };
        let missing = refusal.missing_fields();
        *self.counts.entry(format!("{} {}", refusal.status, refusal.reason)).or_default() += 1;
        if !missing.is_empty() {
            self.unexplained.push(Unexplained { request: refusal.request, missing });
        }
    }
}

/// Returns the number of lines that a line reports as left out or dropped; 0 for other lines.
fn omitted_lines(line: &str) -> u64 {
    let events = ["log_lines_left_out", "log_lines_dropped"];
    if !events.iter().any(|event| line.contains(event)) {
        return 0;
    }
    let json = line.find('{').map_or("", |at| &line[at..]);
    let value: serde_json::Value = serde_json::from_str(json).unwrap_or_default();
    value["lines"].as_u64().unwrap_or(0)
}

impl Report for RefusalsReport {
    fn text(&self) -> String {
        render::refusals_report(self)
    }

    fn exit(&self) -> Exit {
        if self.unexplained.is_empty() { Exit::Success } else { Exit::Unexplained }
    }
}
