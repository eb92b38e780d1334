//! Exit codes.

/// How a command ended; scripts decide by the code what to do next.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ExitStatus {
    /// The command succeeded.
    #[default]
    Done,
    /// The command line is wrong; nothing was sent.
    Usage,
    /// The input or the request was refused; nothing was run or changed.
    Refused,
    /// No entry could be reached; nothing was run or changed.
    Unreachable,
    /// Another change was committed first; nothing was changed.
    Conflict,
    /// The work may or may not have been done.
    Unknown,
    /// The change is committed, but some domains have not confirmed it.
    NotConfirmed,
}

impl ExitStatus {
    /// All values in ascending order of their codes, for the help text.
    pub const ALL: [Self; 7] = [
        Self::Done,
        Self::Usage,
        Self::Refused,
        Self::Unreachable,
        Self::Conflict,
        Self::Unknown,
        Self::NotConfirmed,
    ];

    /// Returns the exit code of the process.
    #[must_use]
    pub const fn code(self) -> u8 {
        match self {
            Self::Done => 0,
            Self::Usage => 1,
            Self::Refused => 2,
            Self::Unreachable => 3,
            Self::Conflict => 4,
            Self::Unknown => 5,
            Self::NotConfirmed => 6,
        }
    }

    /// Returns the meaning of the code in a few words.
    #[must_use]
    pub const fn meaning(self) -> &'static str {
        match self {
            Self::Done => "done",
            Self::Usage => "wrong usage",
            Self::Refused => "refused, nothing was run or changed",
            Self::Unreachable => "cannot reach any entry",
            Self::Conflict => "conflict, another change was committed first",
            Self::Unknown => "outcome unknown",
            Self::NotConfirmed => "committed but not confirmed everywhere",
        }
    }
}
