//! Errors of commands, with their exit code and a hint what to do next.

use std::fmt;

use error_stack::Report;
use model::check::CheckProblem;
use model::kind::{ErrorBody, ErrorKind, RequestOutcome};

use crate::client::CallFailure;
use crate::status::ExitStatus;

/// Result of a command or of a part of it.
pub(crate) type CommandResult<T> = Result<T, Report<CommandError>>;

/// Why a command failed, and what the user can do next.
#[derive(Clone, Debug)]
pub(crate) struct CommandError {
    pub(crate) status: ExitStatus,
    pub(crate) message: String,
    pub(crate) next: String,
    pub(crate) problems: Vec<CheckProblem>,
    pub(crate) kind: Option<ErrorKind>,
    pub(crate) version: Option<u64>,
}

impl fmt::Display for CommandError {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        out.write_str(&self.message)
    }
}

impl std::error::Error for CommandError {}

impl CommandError {
    pub(crate) fn new(
        status: ExitStatus,
        message: impl Into<String>,
        next: impl Into<String>,
    ) -> Self {
        Self {
            status,
            message: message.into(),
            next: next.into(),
            problems: Vec::new(),
            kind: None,
            version: None,
        }
    }

    pub(crate) fn usage(message: impl Into<String>, next: impl Into<String>) -> Self {
        Self::new(ExitStatus::Usage, message, next)
    }

    pub(crate) fn refused(message: impl Into<String>, next: impl Into<String>) -> Self {
        Self::new(ExitStatus::Refused, message, next)
    }

    pub(crate) fn unknown(message: impl Into<String>, next: impl Into<String>) -> Self {
        Self::new(ExitStatus::Unknown, message, next)
    }

    /// Builds the error for the problems that a check found in `subject`.
    pub(crate) fn problems(subject: &str, problems: Vec<CheckProblem>) -> Self {
        let count = problems.len();
        let noun = if count == 1 { "problem" } else { "problems" };
        let next = "correct each line above and check the file again with `saddle check`";
        Self { problems, ..Self::refused(format!("{subject} has {count} {noun}"), next) }
    }

    /// Builds the error for the body of a refusal.
    pub(crate) fn from_body(body: ErrorBody) -> Self {
        let status = match (body.kind, body.outcome) {
            (ErrorKind::Conflict, _) => ExitStatus::Conflict,
            (_, RequestOutcome::Unknown) => ExitStatus::Unknown,
            _ => ExitStatus::Refused,
        };
        Self {
            problems: body.problems,
            kind: Some(body.kind),
            version: body.version,
            ..Self::new(status, format!("{}: {}", body.kind, body.message), next_step(body.kind))
        }
    }

    pub(crate) fn with_next(self, next: impl Into<String>) -> Self {
        Self { next: next.into(), ..self }
    }
}

impl From<CallFailure> for CommandError {
    fn from(failure: CallFailure) -> Self {
        match failure {
            CallFailure::Unreachable(failures) => Self::new(
                ExitStatus::Unreachable,
                format!("every connection failed: {}", failures.join("; ")),
                "check the addresses given with `--entry` or in SADDLE_ENTRY, or name an entry \
                 of another failure domain",
            ),
            CallFailure::Lost(reason) => Self::unknown(
                format!("the request was sent, but no complete answer came back: {reason}"),
                "the work may or may not have been done; look at its state before repeating it",
            ),
            CallFailure::Refused { body, .. } => Self::from_body(body),
        }
    }
}

/// Returns what the user can do about a refusal.
const fn next_step(kind: ErrorKind) -> &'static str {
    match kind {
        ErrorKind::BadInput => "correct the field named above and send it again",
        ErrorKind::InvalidConfig => "correct each line above and publish again",
        ErrorKind::BadKey => {
            "give the secret of a key in force with `--key-file` or SADDLE_KEY; an operator \
             makes one with `saddle key grant TEAM`"
        }
        ErrorKind::WrongTeam => {
            "use a key of the queue's team; `saddle get queue NAME` shows the team"
        }
        ErrorKind::NotFound => {
            "check the name; `saddle get queue` lists the queues, and a job is known by the id \
             that `saddle submit` printed"
        }
        ErrorKind::Conflict => {
            "read the current set with `saddle get`, put your change into it, and apply it with \
             `--base` and the version read"
        }
        ErrorKind::DuplicateRequest => {
            "the first request with this id may have run; use another id only if the work is to \
             run again"
        }
        ErrorKind::NeverFits => {
            "declare less for each task, or ask an operator for a higher limit or larger workers"
        }
        ErrorKind::TeamLimit | ErrorKind::QueueFull => {
            "send it again later, when earlier work of the queue has ended"
        }
        ErrorKind::RequestTimeout => "send it again over a faster connection",
        ErrorKind::DeadlineNotMet => "send it again, with a longer `--deadline-ms` if possible",
        ErrorKind::NoOwner
        | ErrorKind::WorkerRefused
        | ErrorKind::Draining
        | ErrorKind::DomainOut
        | ErrorKind::ConfigStale
        | ErrorKind::PlatformDown => {
            "send it again in a few seconds, or name an entry of another failure domain with \
             `--entry`"
        }
        ErrorKind::WriteUnknown
        | ErrorKind::EndpointLost
        | ErrorKind::EndpointTimeout
        | ErrorKind::BadAnswer => {
            "the work may or may not have been done; look at its state before repeating it"
        }
        ErrorKind::Internal => "look into the log of the entry and report the fault",
    }
}
