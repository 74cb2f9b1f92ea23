use super::store;
use crate::cli::Report;
use crate::exit::Exit;
use crate::failure::Failure;
use crate::files::read_lists;
use crate::fleet::Fleet;
use crate::messages;
use ::messages::status::DaemonStatus;
use argh::FromArgs;
use config::{Accepted, Edit, Reader, ToolSettings};
use serde::Serialize;
use std::path::PathBuf;
use std::thread;
use std::time::{Duration, Instant};
use store::Store;

const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// put the files in force
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "apply")]
pub struct Apply {
    /// directory of the two files; the present one by default
    #[argh(positional, default = "PathBuf::from(\".\")")]
    directory: PathBuf,
    /// revision that the edit starts from, as diff shows it; 0 for the first
    #[argh(option)]
    base: u64,
    /// give the edit a revision above this one, after the object API was restored older
    #[argh(option, default = "0")]
    above: u64,
    /// wait until the edit is in force in every daemon
    #[argh(switch)]
    wait: bool,
    /// longest wait, in milliseconds
    #[argh(option, default = "30000")]
    wait_ms: u64,
}

/// How the edit ended.
#[derive(Debug, Serialize)]
pub struct ApplyReport {
    /// The revision of the edit.
    pub revision: u64,
    /// The digest of the lists.
    pub digest: String,
    /// Whether the same lists were in the object API before.
    pub already: bool,
    /// The daemons that were waited for; absent without `--wait`.
    pub waited: Option<Waited>,
}

/// Which daemons have the revision.
#[derive(Debug, Default, Serialize)]
pub struct Waited {
    /// How many daemons have it.
    pub in_force: usize,
    /// The daemons that lack it.
    pub lacking: Vec<Lacking>,
    /// Why the daemons could not be looked at; they may have it.
    pub error: Option<String>,
}

/// A daemon that lacks the revision.
#[derive(Debug, Serialize)]
pub struct Lacking {
    /// The name of the daemon.
    pub daemon: String,
    /// Its data centre.
    pub data_centre: String,
    /// The revision that it has; absent when it was not reached.
    pub revision: Option<u64>,
    /// Why it was not reached.
    pub error: Option<String>,
}

impl Apply {
    /// Writes the edit and waits if asked to.
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
        let waited = self.wait.then(|| self.wait_for(cfg, &accepted));
        let (revision, digest, already) =
            (accepted.revision, accepted.digest, accepted.already_applied);
        Ok(ApplyReport { revision, digest, already, waited })
    }

    /// Refuses an edit that daemons would ignore, since they have a higher revision or other
    /// lists of the same revision.
    fn check_restored(&self, cfg: &ToolSettings, store: &Store) -> Result<(), Failure> {
        // The daemons come first, so that an edit between the two calls raises no false alarm.
        let fleet = Fleet::read(cfg)?;
        let statuses = fleet.statuses();
        let statuses = statuses.iter().filter_map(|(_, status)| status.as_ref().ok());
        let current = Reader::default().read(store)?;
        let (in_store, digest) = current.map_or((0, String::new()), |c| (c.revision, c.digest));
        let ahead = statuses.filter(|s| is_ahead(s, in_store, &digest));
        match ahead.map(|status| status.revision).max() {
            Some(in_daemons) if in_daemons > self.above => {
                Err(Failure::Restored { in_store, in_daemons })
            }
            _ => Ok(()),
        }
    }

    fn wait_for(&self, cfg: &ToolSettings, accepted: &Accepted) -> Waited {
        let started = Instant::now();
        loop {
            let waited = look(cfg, accepted);
            let over = started.elapsed() >= Duration::from_millis(self.wait_ms);
            if over || waited.is_everywhere() {
                return waited;
            }
            thread::sleep(POLL_INTERVAL);
        }
    }
}

impl Waited {
    /// Returns whether every daemon is known to have the revision.
    pub fn is_everywhere(&self) -> bool {
        self.lacking.is_empty() && self.error.is_none()
    }
}

fn is_ahead(status: &DaemonStatus, revision: u64, digest: &str) -> bool {
    let same_number = status.revision == revision && revision > 0;
    status.revision > revision || (same_number && status.digest != digest)
}

fn has(status: &DaemonStatus, accepted: &Accepted) -> bool {
    let same = status.revision == accepted.revision && status.digest == accepted.digest;
    same || status.revision > accepted.revision
}

fn look(cfg: &ToolSettings, accepted: &Accepted) -> Waited {
    let mut waited = Waited::default();
    let fleet = match Fleet::read(cfg) {
        Ok(fleet) => fleet,
        Err(e) => return Waited { error: Some(e.to_string()), ..waited },
    };
    for (instance, status) in fleet.statuses() {
        if !instance.is_live() {
            continue;
        }
        let (revision, error) = match status {
            Ok(status) if has(&status, accepted) => {
                waited.in_force += 1;
                continue;
            }
            Ok(status) => (Some(status.revision), None),
            Err(e) => (None, Some(e.to_string())),
        };
        let (daemon, data_centre) = (instance.name.clone(), instance.data_centre.clone());
        waited.lacking.push(Lacking { daemon, data_centre, revision, error });
    }
    waited
}

impl Report for ApplyReport {
    fn text(&self) -> String {
        messages::applied(self)
    }

    fn exit(&self) -> Exit {
        let lacks = self.waited.as_ref().is_some_and(|waited| !waited.is_everywhere());
        if lacks { Exit::NotEverywhere } else { Exit::Done }
    }
}
