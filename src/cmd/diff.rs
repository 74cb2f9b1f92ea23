use super::store;
use crate::cli::Report;
use crate::exit::Exit;
use crate::failure::Failure;
use crate::files::read_lists;
use crate::render;
use argh::FromArgs;
use config::{Difference, Lists, Reader, ToolSettings, differences};
use serde::Serialize;
use std::path::PathBuf;

/// compare the files with the active lists
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "diff")]
pub struct Diff {
    /// directory of plans.toml and grants.toml; defaults to the current directory
    #[argh(positional, default = "PathBuf::from(\".\")")]
    directory: PathBuf,
}

/// The differences between the active lists and the files.
#[derive(Debug, Serialize)]
pub struct DiffReport {
    /// The active revision; 0 before the first.
    #[serde(rename = "in_force")]
    pub active_revision: u64,
    /// The keys that differ, with both values.
    pub changes: Vec<Difference>,
}

impl Diff {
    /// Compares the files with the lists in the object API.
    pub fn run(&self, cfg: &ToolSettings) -> Result<DiffReport, Failure> {
        let lists = read_lists(&self.directory)?;
        let current = Reader::default().read(&store(cfg)?)?;
        let (active_revision, before) =
            current.map_or((0, Lists::default()), |c| (c.revision, c.lists));
        Ok(DiffReport { active_revision, changes: differences(&before, &lists) })
    }
}

impl Report for DiffReport {
    fn text(&self) -> String {
        render::diff_report(self)
    }

    fn exit(&self) -> Exit {
        if self.changes.is_empty() { Exit::Success } else { Exit::Differs }
    }
}
