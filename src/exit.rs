use std::process::ExitCode;

/// How a command ended, as scripts see it; docs/OPERATORS.md lists the codes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Exit {
    /// The command did what it says.
    Done = 0,
    /// `diff` has found differences.
    Differs = 1,
    /// A flag or a setting cannot be used.
    BadSetting = config::BAD_SETTING_EXIT_CODE as isize,
    /// The files hold errors or cannot be read.
    BadLists = 3,
    /// Another edit came first; nothing was changed.
    Conflict = 4,
    /// The platform or every daemon is out of reach, or refused; nothing was changed.
    Unavailable = 5,
    /// The edit may have been accepted; run the same command again.
    Unknown = 6,
    /// The edit is accepted, but not known to be in force in every daemon.
    NotEverywhere = 7,
    /// No daemon that was reached knows the request.
    NoRequest = 8,
    /// A refusal in the log does not say why.
    Unexplained = 9,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> ExitCode {
        ExitCode::from(exit as u8)
    }
}
