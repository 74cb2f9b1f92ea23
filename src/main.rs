//! Command-line tool for operators: edits the lists and inspects the daemons.

mod cli;
mod cmd;
mod exit;
mod failure;
mod files;
mod fleet;
mod render;

use std::process::ExitCode;

fn main() -> ExitCode {
    cli::run()
}
