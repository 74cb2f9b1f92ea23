//! The subcommands of the tool, one module each.

mod apply;
mod check;
mod diff;
mod explain;
mod refusals;
mod status;

pub use apply::{Apply, ApplyReport, OutdatedDaemon, WaitOutcome};
pub use check::{Check, CheckReport};
pub use diff::{Diff, DiffReport};
pub use explain::{Explain, ExplainReport, Step};
pub use refusals::{Refusals, RefusalsReport};
pub use status::{ClassReport, DaemonReport, Status, StatusReport, StoreReport};

use config::{SettingError, ToolSettings};
use std::time::Duration;
use store::Store;

/// Creates a client for the object API; an error if its address is not set.
fn store(cfg: &ToolSettings) -> Result<Store, SettingError> {
    Ok(Store::new(cfg.require_store()?, Duration::from_millis(cfg.timeout_ms)))
}
