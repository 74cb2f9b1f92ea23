use crate::failure::{Failure, FileSnafu};
use config::{Lists, Source, check_lists};
use snafu::ResultExt;
use std::fs;
use std::path::Path;

const PLANS_FILE: &str = "plans.toml";
const GRANTS_FILE: &str = "grants.toml";

/// Reads and validates `plans.toml` and `grants.toml` in a directory.
pub fn read_lists(directory: &Path) -> Result<Lists, Failure> {
    let (plans_file, plans) = read(directory, PLANS_FILE)?;
    let (grants_file, grants) = read(directory, GRANTS_FILE)?;
    let plans = Source { file: &plans_file, text: &plans };
    let grants = Source { file: &grants_file, text: &grants };
    check_lists(plans, grants).map_err(|errors| Failure::Lists { errors })
}

fn read(directory: &Path, file: &str) -> Result<(String, String), Failure> {
    let path = directory.strip_prefix(".").unwrap_or(directory).join(file);
    let text = fs::read_to_string(&path).context(FileSnafu { path: &path })?;
    Ok((path.display().to_string(), text))
}
