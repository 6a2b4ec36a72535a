//! Exit codes of the `hemlock` command.

use std::process::ExitCode;

/// Exit code of a command.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u8)]
pub enum Exit {
    /// The command succeeded.
    Done = 0,
    /// The command failed for a reason that has no exit code of its own.
    Failed = 1,
    /// The command line, the settings or the table files are invalid.
    Usage = 2,
    /// The system refused the request.
    Refused = 3,
    /// Another operator changed a row after it was read.
    Conflict = 4,
    /// The change was sent, but whether it was accepted is unknown.
    Unknown = 5,
    /// The change was accepted but is not confirmed to be in force on every entry VM.
    NotInForce = 6,
    /// No agent answered, or the log was unavailable.
    Unreachable = 7,
    /// `diff` found rows that differ.
    Differs = 8,
}

impl Exit {
    /// All exit codes with the meaning that the help shows.
    pub const ALL: [(Self, &'static str); 9] = [
        (Self::Done, "success"),
        (
            Self::Failed,
            "other failure, such as output that can't be written",
        ),
        (
            Self::Usage,
            "the command line, the settings or the table files are invalid; nothing was sent",
        ),
        (
            Self::Refused,
            "the system refused the request; nothing was changed",
        ),
        (
            Self::Conflict,
            "another operator changed a row first; nothing was changed",
        ),
        (
            Self::Unknown,
            "the change was sent but may not have been accepted; check `hemlock history`",
        ),
        (
            Self::NotInForce,
            "the change was accepted but is not confirmed to be in force on every entry VM",
        ),
        (
            Self::Unreachable,
            "no agent answered, or the log was unavailable; nothing was changed",
        ),
        (Self::Differs, "`diff` found rows that differ"),
    ];
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(exit as u8)
    }
}

/// Exit code and error message of a command that failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Failure {
    pub(crate) exit: Exit,
    pub(crate) cause: String,
}

impl Failure {
    pub(crate) fn new(exit: Exit, cause: impl Into<String>) -> Self {
        Self {
            exit,
            cause: cause.into(),
        }
    }

    pub(crate) fn usage(cause: impl Into<String>) -> Self {
        Self::new(Exit::Usage, cause)
    }
}

impl From<std::io::Error> for Failure {
    fn from(error: std::io::Error) -> Self {
        Self::new(Exit::Failed, format!("can't write the output: {error}"))
    }
}
