use crate::exit::Exit;
use crate::messages;
use config::{ListError, PublishError, ReadError, SettingError};
use serde::Serialize;
use snafu::Snafu;
use std::io;
use std::path::PathBuf;
use utils::HttpError;

/// A command that did not do what it says.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum Failure {
    /// A setting cannot be used.
    #[snafu(context(false), display("{source}"))]
    Setting {
        /// The failure.
        source: SettingError,
    },
    /// A file cannot be read.
    #[snafu(display("{}: {source}", path.display()))]
    File {
        /// The file.
        path: PathBuf,
        /// The failure.
        source: io::Error,
    },
    /// The files hold errors.
    #[snafu(display("{}", messages::list_errors(errors)))]
    Lists {
        /// The errors.
        errors: Vec<ListError>,
    },
    /// The lists in force cannot be read.
    #[snafu(context(false), display("{source}"))]
    Read {
        /// The failure.
        source: ReadError,
    },
    /// The edit was not accepted.
    #[snafu(context(false), display("{source}"))]
    Publish {
        /// The failure.
        source: PublishError,
    },
    /// Daemons have a higher revision than the object API.
    #[snafu(display("{}", messages::restored(*in_store, *in_daemons)))]
    Restored {
        /// The revision in the object API.
        in_store: u64,
        /// The highest revision in a daemon.
        in_daemons: u64,
    },
    /// The instance list cannot be read.
    #[snafu(display("the instance list: {source}"))]
    Instances {
        /// The failure.
        source: HttpError,
    },
    /// No daemon was reached.
    #[snafu(display("{}", messages::no_daemon(unreached)))]
    NoDaemon {
        /// The names of the daemons that were not reached.
        unreached: Vec<String>,
    },
    /// No daemon that was reached knows the request.
    #[snafu(display("{}", messages::no_request(request, unreached)))]
    NoRequest {
        /// The request's id.
        request: String,
        /// The names of the daemons that were not reached.
        unreached: Vec<String>,
    },
}

/// A failure as scripts see it.
#[derive(Debug, Default, Serialize)]
pub struct FailureReport {
    kind: &'static str,
    message: String,
    #[serde(skip_serializing_if = "Vec::is_empty")]
    errors: Vec<ListErrorReport>,
    #[serde(skip_serializing_if = "Option::is_none")]
    base: Option<u64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    in_force: Option<u64>,
    #[serde(skip_serializing_if = "Vec::is_empty")]
    unreached: Vec<String>,
}

#[derive(Debug, Serialize)]
struct ListErrorReport {
    file: String,
    line: usize,
    key: String,
    message: String,
}

impl Failure {
    /// Returns the exit code and its name for scripts.
    pub fn exit(&self) -> (Exit, &'static str) {
        match self {
            Failure::Setting { .. } => (Exit::BadSetting, "bad_setting"),
            Failure::File { .. } | Failure::Lists { .. } => (Exit::BadLists, "bad_lists"),
            Failure::Publish { source: PublishError::Conflict { .. } } => {
                (Exit::Conflict, "conflict")
            }
            Failure::Restored { .. } => (Exit::Conflict, "store_restored"),
            Failure::Publish { source: PublishError::Unknown { .. } } => (Exit::Unknown, "unknown"),
            Failure::NoRequest { .. } => (Exit::NoRequest, "no_request"),
            Failure::Read { .. }
            | Failure::Publish { .. }
            | Failure::Instances { .. }
            | Failure::NoDaemon { .. } => (Exit::Unavailable, "unavailable"),
        }
    }

    /// Describes the failure to scripts.
    pub fn report(&self) -> FailureReport {
        let (_, kind) = self.exit();
        let report = FailureReport { kind, message: self.to_string(), ..FailureReport::default() };
        match self {
            Failure::Lists { errors } => {
                FailureReport { errors: errors.iter().map(list_error).collect(), ..report }
            }
            Failure::Publish {
                source: PublishError::Conflict { base_revision, active_revision },
            } => FailureReport {
                base: Some(*base_revision),
                in_force: Some(*active_revision),
                ..report
            },
            Failure::NoDaemon { unreached } | Failure::NoRequest { unreached, .. } => {
                FailureReport { unreached: unreached.clone(), ..report }
            }
            _ => report,
        }
    }
}

fn list_error(error: &ListError) -> ListErrorReport {
    let ListError { file, line, key, problem } = error.clone();
    ListErrorReport { file, line, key, message: problem.to_string() }
}
