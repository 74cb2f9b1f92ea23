use std::process::ExitCode;

/// Exit codes of the tool, which scripts depend on; listed in docs/OPERATORS.md.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Exit {
    /// The command succeeded.
    Success = 0,
    /// `diff` found differences.
    Differs = 1,
    /// A flag or a setting is invalid or missing.
    BadSetting = config::BAD_SETTING_EXIT_CODE as isize,
    /// An input file is invalid or cannot be read.
    BadLists = 3,
    /// The edit is not based on the active revision; nothing was changed.
    Conflict = 4,
    /// The platform, or every daemon, was unreachable or rejected the call; nothing was changed.
    Unavailable = 5,
    /// The edit may have been accepted; running the same command again is safe.
    Unknown = 6,
    /// The edit was accepted, but is not known to be active in every daemon.
    NotActiveEverywhere = 7,
    /// No daemon that responded has spans of the request.
    RequestNotFound = 8,
    /// The log line of a refusal does not explain it.
    Unexplained = 9,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> ExitCode {
        ExitCode::from(exit as u8)
    }
}
