//! All error kinds, and the table that gives the HTTP answer of each.
//!
//! Callers decide from the outcome and the retry flag alone whether they may
//! send a request again, so every kind must have exactly one row in the table.

use std::fmt;

use serde::{Deserialize, Serialize};

/// What is known about the work of a request when its answer is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RequestOutcome {
    /// The whole answer of this request was received and passed on.
    Answered,
    /// No part of the work was run.
    NotRun,
    /// The work may or may not have been run.
    Unknown,
}

impl RequestOutcome {
    /// Returns the value used in the `x-outcome` header and the `outcome` field.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
        }
    }
}

/// The HTTP answer that belongs to an error kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ErrorResponse {
    /// HTTP status code.
    pub status: u16,
    /// Whether the caller may send the same request again.
    pub retry: bool,
    /// What is known about the work of the request.
    pub outcome: RequestOutcome,
}

macro_rules! error_kinds {
    ($($(#[$doc:meta])* $kind:ident $code:literal $status:literal $retry:literal $outcome:ident;)*) => {
        /// Every way in which the system refuses or fails a request.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
        #[serde(rename_all = "kebab-case")]
        pub enum ErrorKind {
            $($(#[$doc])* $kind,)*
        }

        impl ErrorKind {
            /// All kinds, for tables in documentation and tests.
            pub const ALL: &'static [Self] = &[$(Self::$kind,)*];

            /// Returns the HTTP answer for this kind.
            #[must_use]
            pub const fn answer(self) -> ErrorResponse {
                match self {
                    $(Self::$kind => ErrorResponse {
                        status: $status,
                        retry: $retry,
                        outcome: RequestOutcome::$outcome,
                    },)*
                }
            }

            /// Returns the value of the `kind` field in error bodies.
            #[must_use]
            pub const fn code(self) -> &'static str {
                match self { $(Self::$kind => $code,)* }
            }

            /// Returns the kind with a code, if there is one.
            #[must_use]
            pub fn from_code(code: &str) -> Option<Self> {
                match code { $($code => Some(Self::$kind),)* _ => None }
            }
        }
    };
}

error_kinds! {
    /// The input is malformed or names something out of range.
    BadInput "bad-input" 400 false NotRun;
    /// The body of the request did not arrive in time.
    RequestTimeout "request-timeout" 408 true NotRun;
    /// The object set does not pass its check.
    InvalidConfig "invalid-config" 422 false NotRun;
    /// No key came with the request, or the key is unknown or withdrawn.
    BadKey "bad-key" 401 false NotRun;
    /// The key is valid but belongs to another team than the queue.
    WrongTeam "wrong-team" 403 false NotRun;
    /// The named object, job or queue does not exist.
    NotFound "not-found" 404 false NotRun;
    /// Another change was committed first; the current version is in the body.
    Conflict "conflict" 409 true NotRun;
    /// The non-idempotent request id was used before; its first run is not repeated.
    DuplicateRequest "duplicate-request" 409 false Unknown;
    /// The job can never fit on any worker or under any limit.
    NeverFits "never-fits" 422 false NotRun;
    /// The team is at its limit and its queue is full.
    TeamLimit "team-limit" 429 true NotRun;
    /// The queue is full.
    QueueFull "queue-full" 429 true NotRun;
    /// The request could not start before its deadline.
    DeadlineNotMet "deadline-not-met" 503 true NotRun;
    /// No owner of a failure domain could be reached.
    NoOwner "no-owner" 503 true NotRun;
    /// The worker refused the request before running it, and no retry was left.
    WorkerRefused "worker-refused" 503 true NotRun;
    /// This entry is shutting down.
    Draining "draining" 503 true NotRun;
    /// The failure domain is out of service.
    DomainOut "domain-out" 503 true NotRun;
    /// The platform has not confirmed the configuration for longer than `config_contact_bound_s`.
    ConfigStale "config-stale" 503 true NotRun;
    /// The platform's table or object store did not answer.
    PlatformDown "platform-down" 503 true NotRun;
    /// The platform did not answer a write, so it is not known whether it took effect.
    WriteUnknown "write-unknown" 504 true Unknown;
    /// The connection to the endpoint failed after the request was sent.
    EndpointLost "endpoint-lost" 502 false Unknown;
    /// The endpoint did not answer before the deadline.
    EndpointTimeout "endpoint-timeout" 504 false Unknown;
    /// The endpoint's answer was truncated or belonged to another request.
    BadAnswer "bad-answer" 502 false Unknown;
    /// An error in the system itself.
    Internal "internal" 500 false Unknown;
}

impl fmt::Display for ErrorKind {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        out.write_str(self.code())
    }
}

impl std::error::Error for ErrorKind {}

/// The JSON body of every error answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorBody {
    /// The kind, as in the table of error kinds.
    pub kind: ErrorKind,
    /// What is known about the work of the request.
    pub outcome: RequestOutcome,
    /// Whether the caller may send the same request again.
    pub retry: bool,
    /// Explanation for a person, with what to do next.
    pub message: String,
    /// Problems that a check found, each with its object and field.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub problems: Vec<crate::check::CheckProblem>,
    /// The committed version of the configuration, if the kind is a conflict.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub version: Option<u64>,
}

impl ErrorBody {
    /// Builds the body for a kind with a message.
    #[must_use]
    pub fn new(kind: ErrorKind, message: impl Into<String>) -> Self {
        let answer = kind.answer();
        Self {
            kind,
            outcome: answer.outcome,
            retry: answer.retry,
            message: message.into(),
            problems: Vec::new(),
            version: None,
        }
    }
}
