//! Exit codes of the `hemlock` command.

use std::process::ExitCode;

/// How a command ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u8)]
pub enum Exit {
    /// It did what was asked.
    Done = 0,
    /// It failed in a way that no other code names.
    Failed = 1,
    /// The command line, settings or table is wrong.
    Usage = 2,
    /// The system refused.
    Refused = 3,
    /// Somebody else changed a row first.
    Conflict = 4,
    /// Whether the change was accepted can't be told.
    Unknown = 5,
    /// The change was accepted but is not confirmed in force everywhere.
    NotInForce = 6,
    /// The agent or the log did not answer.
    Unreachable = 7,
    /// `diff` found rows that differ.
    Differs = 8,
}

impl Exit {
    /// Lists all exits with their meaning.
    pub const ALL: [(Self, &'static str); 9] = [
        (Self::Done, "it did what was asked"),
        (
            Self::Failed,
            "it failed in a way that no other code names, such as an unwritable output",
        ),
        (
            Self::Usage,
            "the command line, the settings or the table files are wrong; nothing was sent",
        ),
        (Self::Refused, "the system refused; nothing was changed"),
        (
            Self::Conflict,
            "somebody else changed a row first; nothing was changed",
        ),
        (
            Self::Unknown,
            "whether the change was accepted can't be told; `hemlock history` shows it",
        ),
        (
            Self::NotInForce,
            "the change was accepted but is not confirmed in force on every entry VM",
        ),
        (
            Self::Unreachable,
            "no agent, or not the log, answered; nothing was changed",
        ),
        (Self::Differs, "`diff` found rows that differ"),
    ];
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(exit as u8)
    }
}

/// Why a command failed.
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
