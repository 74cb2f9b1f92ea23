//! Parses the flags, runs the command and prints its result.

use crate::cmd::{Apply, Check, Diff, Explain, Refusals, Status};
use crate::exit::Exit;
use crate::failure::Failure;
use argh::FromArgs;
use config::{Output, ToolFlags, ToolSettings, process_flags, process_variable};
use serde::Serialize;
use serde_json::json;
use std::io::{self, Write};
use std::process::ExitCode;

/// The subcommands.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
enum Command {
    Check(Check),
    Diff(Diff),
    Apply(Apply),
    Status(Status),
    Explain(Explain),
    Refusals(Refusals),
}

/// The result of a command.
pub trait Report: Serialize {
    /// Formats the result for `--output text`.
    fn text(&self) -> String;

    /// Returns the exit code; a command may succeed and still report findings through it.
    fn exit(&self) -> Exit {
        Exit::Success
    }
}

/// Runs the subcommand given on the command line.
pub fn run() -> ExitCode {
    let flags: ToolFlags<Command> = match process_flags("chervilspur") {
        Ok(flags) => flags,
        Err(code) => return code,
    };
    let cfg = match ToolSettings::read(&flags, process_variable) {
        Ok(cfg) => cfg,
        Err(e) => return fail(Output::Text, &e.into()),
    };
    let output = cfg.output;
    match flags.command {
        Command::Check(cmd) => finish(output, cmd.run()),
        Command::Diff(cmd) => finish(output, cmd.run(&cfg)),
        Command::Apply(cmd) => finish(output, cmd.run(&cfg)),
        Command::Status(cmd) => finish(output, cmd.run(&cfg)),
        Command::Explain(cmd) => finish(output, cmd.run(&cfg)),
        Command::Refusals(cmd) => finish(output, cmd.run()),
    }
}

fn finish<R: Report>(output: Output, result: Result<R, Failure>) -> ExitCode {
    let report = match result {
        Ok(report) => report,
        Err(e) => return fail(output, &e),
    };
    match output {
        Output::Text => print(report.text().trim_end()),
        Output::Json => print(&json!(report).to_string()),
    }
    report.exit().into()
}

fn fail(output: Output, failure: &Failure) -> ExitCode {
    match output {
        Output::Text => eprintln!("{failure}"),
        Output::Json => print(&json!({"error": failure.report()}).to_string()),
    }
    failure.exit().0.into()
}

fn print(text: &str) {
    // A closed pipe is not an error: the reader needs no more output.
    let _ = writeln!(io::stdout(), "{text}");
}
