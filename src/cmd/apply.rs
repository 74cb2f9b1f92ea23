use super::store;
use crate::cli::Report;
use crate::exit::Exit;
use crate::failure::Failure;
use crate::files::read_lists;
use crate::fleet::Fleet;
use crate::render;
use argh::FromArgs;
use config::{Accepted, Edit, Reader, ToolSettings};
use messages::status::DaemonStatus;
use serde::Serialize;
use std::path::PathBuf;
use std::thread;
use std::time::{Duration, Instant};
use store::Store;

const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// publish the files as the active lists
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "apply")]
pub struct Apply {
    /// directory of plans.toml and grants.toml; defaults to the current directory
    #[argh(positional, default = "PathBuf::from(\".\")")]
    directory: PathBuf,
    /// revision that the edit is based on, as printed by diff; 0 for the first edit
    #[argh(option)]
    base: u64,
    /// assign a revision above this one, after the object API was restored from an older state
    #[argh(option, default = "0")]
    above: u64,
    /// wait until the edit is active in every daemon
    #[argh(switch)]
    wait: bool,
    /// timeout of --wait, in milliseconds
    #[argh(option, default = "30000")]
    wait_ms: u64,
}

/// The result of an accepted edit.
#[derive(Debug, Serialize)]
pub struct ApplyReport {
    /// The revision assigned to the edit.
    pub revision: u64,
    /// The digest of the lists.
    pub digest: String,
    /// Whether the object API already had this edit, as when the command is run again.
    #[serde(rename = "already")]
    pub already_applied: bool,
    /// The result of `--wait`; absent without the flag.
    pub waited: Option<WaitOutcome>,
}

/// How many live daemons have the revision, and which do not.
#[derive(Debug, Default, Serialize)]
pub struct WaitOutcome {
    /// The number of live daemons that have the revision or a later one.
    #[serde(rename = "in_force")]
    pub active_count: usize,
    /// The live daemons that do not have the revision, or were not reached.
    #[serde(rename = "lacking")]
    pub outdated: Vec<OutdatedDaemon>,
    /// Why the instance list could not be read; daemons may have the revision nevertheless.
    pub error: Option<String>,
}

/// A daemon that is not known to have the revision.
#[derive(Debug, Serialize)]
pub struct OutdatedDaemon {
    /// The name of the daemon.
    pub daemon: String,
    /// The data centre of the daemon.
    pub data_centre: String,
    /// The active revision of the daemon; absent if it was not reached.
    pub revision: Option<u64>,
    /// Why the daemon was not reached.
    pub error: Option<String>,
}

impl Apply {
    /// Publishes the edit, and with `--wait` waits until it is active in every daemon.
    pub fn run(&self, cfg: &ToolSettings) -> Result<ApplyReport, Failure> {
        let lists = read_lists(&self.directory)?;
        let store = store(cfg)?;
        if self.wait {
            cfg.require_instances()?;
        }
        if cfg.instances.is_some() {
            self.check_restored(cfg, &store)?;
        }
        let edit = Edit { above_revision: self.above, ..Edit::new(&lists, self.base) };
        let accepted = edit.publish(&store)?;
        let waited = self.wait.then(|| self.wait_until_active(cfg, &accepted));
        let (revision, digest, already_applied) =
            (accepted.revision, accepted.digest, accepted.already_applied);
        Ok(ApplyReport { revision, digest, already_applied, waited })
    }

    /// Rejects an edit that daemons would ignore, because they have a higher revision or other
    /// lists of the same revision.
    fn check_restored(&self, cfg: &ToolSettings, store: &Store) -> Result<(), Failure> {
        // Query the daemons first: an edit accepted between the two calls is then not mistaken for
        // a restored object API.
        let fleet = Fleet::read(cfg)?;
        let statuses = fleet.statuses();
        let statuses = statuses.iter().filter_map(|(_, status)| status.as_ref().ok());
        let current = Reader::default().read(store)?;
        let (in_store, digest) = current.map_or((0, String::new()), |c| (c.revision, c.digest));
        let ahead = statuses.filter(|s| is_ahead(s, in_store, &digest));
        match ahead.map(|status| status.revision).max() {
            Some(in_daemons) if in_daemons > self.above => {
                Err(Failure::StoreRestored { in_store, in_daemons })
            }
            _ => Ok(()),
        }
    }

    fn wait_until_active(&self, cfg: &ToolSettings, accepted: &Accepted) -> WaitOutcome {
        let started = Instant::now();
        loop {
            let outcome = check_daemons(cfg, accepted);
            let timed_out = started.elapsed() >= Duration::from_millis(self.wait_ms);
            if timed_out || outcome.is_active_everywhere() {
                return outcome;
            }
            thread::sleep(POLL_INTERVAL);
        }
    }
}

impl WaitOutcome {
    /// Returns whether every daemon is known to have the revision.
    pub fn is_active_everywhere(&self) -> bool {
        self.outdated.is_empty() && self.error.is_none()
    }
}

fn is_ahead(status: &DaemonStatus, revision: u64, digest: &str) -> bool {
    let same_revision = status.revision == revision && revision > 0;
    status.revision > revision || (same_revision && status.digest != digest)
}

fn has_edit(status: &DaemonStatus, accepted: &Accepted) -> bool {
    let is_same = status.revision == accepted.revision && status.digest == accepted.digest;
    is_same || status.revision > accepted.revision
}

fn check_daemons(cfg: &ToolSettings, accepted: &Accepted) -> WaitOutcome {
    let mut outcome = WaitOutcome::default();
    let fleet = match Fleet::read(cfg) {
        Ok(fleet) => fleet,
        Err(e) => return WaitOutcome { error: Some(e.to_string()), ..outcome },
    };
    for (instance, status) in fleet.statuses() {
        if !instance.is_live() {
            continue;
        }
        let (revision, error) = match status {
            Ok(status) if has_edit(&status, accepted) => {
                outcome.active_count += 1;
                continue;
            }
            Ok(status) => (Some(status.revision), None),
            Err(e) => (None, Some(e.to_string())),
        };
        let (daemon, data_centre) = (instance.name.clone(), instance.data_centre.clone());
        outcome.outdated.push(OutdatedDaemon { daemon, data_centre, revision, error });
    }
    outcome
}

impl Report for ApplyReport {
    fn text(&self) -> String {
        render::apply_report(self)
    }

    fn exit(&self) -> Exit {
        let is_incomplete =
            self.waited.as_ref().is_some_and(|waited| !waited.is_active_everywhere());
        if is_incomplete { Exit::NotActiveEverywhere } else { Exit::Success }
    }
}
