use crate::exit::Exit;
use crate::render;
use config::{ListError, PublishError, ReadError, SettingError};
use serde::Serialize;
use snafu::Snafu;
use std::io;
use std::path::PathBuf;
use utils::HttpError;

/// Why a command failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum Failure {
    /// A setting is invalid or missing.
    #[snafu(context(false), display("{source}"))]
    Setting {
        /// The setting and its allowed values.
        source: SettingError,
    },
    /// A file cannot be read.
    #[snafu(display("cannot read {}: {source}", path.display()))]
    File {
        /// The path of the file.
        path: PathBuf,
        /// The I/O error.
        source: io::Error,
    },
    /// The lists in the files are invalid.
    #[snafu(display("{}", render::list_errors(errors)))]
    Lists {
        /// All errors found in the files.
        errors: Vec<ListError>,
    },
    /// The active lists cannot be read from the object API.
    #[snafu(context(false), display("{source}"))]
    Read {
        /// The error of the read.
        source: ReadError,
    },
    /// The edit was not accepted, or may not have been.
    #[snafu(context(false), display("{source}"))]
    Publish {
        /// Why, and whether the lists may have changed.
        source: PublishError,
    },
    /// Daemons have a higher revision than the object API, or other lists of the same revision.
    #[snafu(display("{}", render::store_restored(*in_store, *in_daemons)))]
    StoreRestored {
        /// The revision in the object API.
        in_store: u64,
        /// The highest such revision in a daemon.
        in_daemons: u64,
    },
    /// The instance list cannot be read.
    #[snafu(display("cannot read the instance list: {source}"))]
    Instances {
        /// The error of the HTTP call.
        source: HttpError,
    },
    /// No daemon responded.
    #[snafu(display("{}", render::no_daemon_reached(unreached)))]
    NoDaemonReached {
        /// The names of the daemons that were not reached.
        unreached: Vec<String>,
    },
    /// No daemon that responded has spans of the request.
    #[snafu(display("{}", render::request_not_found(request, unreached)))]
    RequestNotFound {
        /// The id of the request.
        request: String,
        /// The names of the daemons that were not reached.
        unreached: Vec<String>,
    },
}

/// A failure as it is written with `--output json`.
#[derive(Debug, Default, Serialize)]
pub struct FailureReport {
    kind: &'static str,
    message: String,
    #[serde(skip_serializing_if = "Vec::is_empty")]
    errors: Vec<ListErrorReport>,
    #[serde(rename = "base", skip_serializing_if = "Option::is_none")]
    base_revision: Option<u64>,
    #[serde(rename = "in_force", skip_serializing_if = "Option::is_none")]
    active_revision: Option<u64>,
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
    /// Returns the exit code and the `kind` in the JSON output.
    pub fn exit(&self) -> (Exit, &'static str) {
        match self {
            Failure::Setting { .. } => (Exit::BadSetting, "bad_setting"),
            Failure::File { .. } | Failure::Lists { .. } => (Exit::BadLists, "bad_lists"),
            Failure::Publish { source: PublishError::Conflict { .. } } => {
                (Exit::Conflict, "conflict")
            }
            Failure::StoreRestored { .. } => (Exit::Conflict, "store_restored"),
            Failure::Publish { source: PublishError::Unknown { .. } } => (Exit::Unknown, "unknown"),
            Failure::RequestNotFound { .. } => (Exit::RequestNotFound, "no_request"),
            Failure::Read { .. }
            | Failure::Publish { .. }
            | Failure::Instances { .. }
            | Failure::NoDaemonReached { .. } => (Exit::Unavailable, "unavailable"),
        }
    }

    /// Converts the failure for the JSON output.
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
                base_revision: Some(*base_revision),
                active_revision: Some(*active_revision),
                ..report
            },
            Failure::NoDaemonReached { unreached } | Failure::RequestNotFound { unreached, .. } => {
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
