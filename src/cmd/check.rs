use crate::cli::Report;
use crate::failure::Failure;
use crate::files::read_lists;
use crate::messages;
use argh::FromArgs;
use serde::Serialize;
use std::path::PathBuf;

/// check plans.toml and grants.toml
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "check")]
pub struct Check {
    /// directory of the two files; the present one by default
    #[argh(positional, default = "PathBuf::from(\".\")")]
    directory: PathBuf,
}

/// What the files hold.
#[derive(Debug, Serialize)]
pub struct CheckReport {
    /// How many client accounts there are.
    pub accounts: usize,
    /// How many plans there are.
    pub plans: usize,
    /// How many classes there are.
    pub classes: usize,
    /// The digest of both lists.
    pub digest: String,
}

impl Check {
    /// Reads and checks the files.
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
        messages::checked(self)
    }
}
