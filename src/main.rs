//! The operators' command-line tool.

mod cli;
mod cmd;
mod exit;
mod failure;
mod files;
mod fleet;
mod messages;

use std::process::ExitCode;

fn main() -> ExitCode {
    cli::run()
}
