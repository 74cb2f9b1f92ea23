use crate::cli::Report;
use crate::failure::Failure;
use crate::files::read_lists;
use crate::render;
use argh::FromArgs;
use serde::Serialize;
use std::path::PathBuf;

/// validate plans.toml and grants.toml
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "check")]
pub struct Check {
    /// directory of plans.toml and grants.toml; defaults to the current directory
    #[argh(positional, default = "PathBuf::from(\".\")")]
    directory: PathBuf,
}

/// A summary of valid files.
#[derive(Debug, Serialize)]
pub struct CheckReport {
    /// The number of client accounts.
    pub accounts: usize,
    /// The number of plans.
    pub plans: usize,
    /// The number of request classes.
    pub classes: usize,
    /// The digest of both lists together.
    pub digest: String,
}

impl Check {
    /// Reads and validates the files.
    pub fn run(&self) -> Result<CheckReport, Failure> {
        let lists = read_lists(&self.directory)?;
        Ok(CheckReport {
            accounts: lists.plans.accounts.len(),
            plans: lists.grants.plans.len(),
            classes: lists.grants.classes.len(),
            digest: lists.digest(),
        })
    }
}

impl Report for CheckReport {
    fn text(&self) -> String {
        render::check_report(self)
    }
}
