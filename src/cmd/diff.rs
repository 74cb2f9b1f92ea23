use super::store;
use crate::cli::Report;
use crate::exit::Exit;
use crate::failure::Failure;
use crate::files::read_lists;
use crate::messages;
use argh::FromArgs;
use config::{Difference, Lists, Reader, ToolSettings, differences};
use serde::Serialize;
use std::path::PathBuf;

/// show what the files would change
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "diff")]
pub struct Diff {
    /// directory of the two files; the present one by default
    #[argh(positional, default = "PathBuf::from(\".\")")]
    directory: PathBuf,
}

/// The files against what is in force.
#[derive(Debug, Serialize)]
pub struct DiffReport {
    /// The revision in force; 0 before the first.
    pub in_force: u64,
    /// The keys that differ.
    pub changes: Vec<Difference>,
}

impl Diff {
    /// Compares the files with the lists in force.
    pub fn run(&self, cfg: &ToolSettings) -> Result<DiffReport, Failure> {
        let lists = read_lists(&self.directory)?;
        let current = Reader::default().read(&store(cfg)?)?;
        let (in_force, before) = current.map_or((0, Lists::default()), |c| (c.revision, c.lists));
        Ok(DiffReport { in_force, changes: differences(&before, &lists) })
    }
}

impl Report for DiffReport {
    fn text(&self) -> String {
        messages::differences(self)
    }

    fn exit(&self) -> Exit {
        if self.changes.is_empty() { Exit::Done } else { Exit::Differs }
    }
}
