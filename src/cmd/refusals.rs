use crate::cli::Report;
use crate::exit::Exit;
use crate::failure::{Failure, FileSnafu};
use crate::messages;
use argh::FromArgs;
use gateway::RefusalLine;
use serde::Serialize;
use snafu::ResultExt;
use std::collections::BTreeMap;
use std::fs::File;
use std::io::{BufRead, BufReader};
use std::path::PathBuf;

/// count the refusals in the log of gateways, and check that each line says why
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "refusals")]
pub struct Refusals {
    /// files with log lines; text before a line's first brace is passed over
    #[argh(positional)]
    files: Vec<PathBuf>,
}

/// The refusals in a log.
#[derive(Debug, Default, Serialize)]
pub struct RefusalsReport {
    /// How many there are, by reason and status.
    pub counts: BTreeMap<String, u64>,
    /// Those whose line does not say why.
    pub unexplained: Vec<Unexplained>,
    /// Lines about single requests that the gateways left out or lost to a slow reader.
    pub left_out: u64,
}

/// A refusal whose line does not say why.
#[derive(Debug, Serialize)]
pub struct Unexplained {
    /// The request's id.
    pub request: String,
    /// The fields that are missing.
    pub missing: Vec<&'static str>,
}

impl Refusals {
    /// Reads the files.
    pub fn run(&self) -> Result<RefusalsReport, Failure> {
        let mut report = RefusalsReport::default();
        for path in &self.files {
            let f = File::open(path).context(FileSnafu { path })?;
            for line in BufReader::new(f).lines() {
                report.take(&line.context(FileSnafu { path })?);
            }
        }
        Ok(report)
    }
}

impl RefusalsReport {
    fn take(&mut self, line: &str) {
        self.left_out += lines_left_out(line);
        let Some(refusal) = RefusalLine::parse(line) else { return };
        let missing = refusal.missing_fields();
        *self.counts.entry(format!("{} {}", refusal.status, refusal.reason)).or_default() += 1;
        if !missing.is_empty() {
            self.unexplained.push(Unexplained { request: refusal.request, missing });
        }
    }
}

/// Returns how many lines a line says were left out or dropped.
fn lines_left_out(line: &str) -> u64 {
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
        messages::refusals(self)
    }

    fn exit(&self) -> Exit {
        if self.unexplained.is_empty() { Exit::Done } else { Exit::Unexplained }
    }
}
