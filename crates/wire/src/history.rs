//! Records of the append-only histories that stand-ins and test callers write.
//!
//! Tests check the system against these records and not against its own
//! reports. Each record is one line of JSON. All processes of a test run on one
//! machine, so `at_us` is taken from the machine-wide monotonic clock
//! (`CLOCK_MONOTONIC`) and may be compared between processes; the system itself
//! never compares clocks of different processes.

use model::authority::OwnerAuthority;
use model::name::{BootId, DomainName, TaskId, TeamName, WorkerName};
use model::resource::ResourceAmounts;
use serde::{Deserialize, Serialize};

use crate::worker::{RefusalReason, TaskEnd};

/// One record of a worker's history.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorkerRecord {
    /// `CLOCK_MONOTONIC` in microseconds.
    pub at_us: u64,
    /// The worker.
    pub worker: WorkerName,
    /// The domain that the worker is in.
    pub domain: DomainName,
    /// The worker's boot.
    pub boot: BootId,
    /// What happened.
    pub event: WorkerEvent,
}

/// What happened on a worker.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub enum WorkerEvent {
    /// The worker process started with this capacity.
    Booted {
        /// Resources that the worker offers.
        capacity: ResourceAmounts,
        /// Connections that it accepts.
        connections: u32,
    },
    /// A task was started.
    TaskStarted {
        /// The task.
        task: TaskId,
        /// Number of the attempt.
        attempt: u32,
        /// Team whose share and limit the task counts towards.
        team: TeamName,
        /// Resources reserved for the task.
        amounts: ResourceAmounts,
        /// Authority of the start.
        authority: OwnerAuthority,
    },
    /// A task ended, for any reason.
    TaskEnded {
        /// The task.
        task: TaskId,
        /// Number of the attempt.
        attempt: u32,
        /// How it ended.
        end: TaskEnd,
    },
    /// A start was refused.
    StartRefused {
        /// The task.
        task: TaskId,
        /// Why the worker refused.
        reason: RefusalReason,
    },
    /// A request began to run.
    RequestStarted {
        /// The caller's identifier.
        request: String,
        /// Number of the attempt.
        attempt: u32,
        /// Team whose share and limit the request counts towards.
        team: TeamName,
        /// Connections open at this moment.
        connections: u32,
        /// Slots in use at this moment, this one included.
        slots_used: u32,
    },
    /// A request ended.
    RequestEnded {
        /// The caller's identifier.
        request: String,
        /// Number of the attempt.
        attempt: u32,
        /// SHA-256 of the answer's body in hexadecimal digits.
        digest: String,
    },
    /// A request was refused before any part of it was run.
    RequestRefused {
        /// The caller's identifier.
        request: String,
        /// Number of the attempt.
        attempt: u32,
        /// Why the worker refused.
        reason: RefusalReason,
    },
    /// The worker announced that it is leaving.
    Leaving,
}

/// One record of a test caller's history.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CallerRecord {
    /// `CLOCK_MONOTONIC` in microseconds.
    pub at_us: u64,
    /// What happened.
    pub event: CallerEvent,
}

/// What a test caller did or saw.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub enum CallerEvent {
    /// A request was sent.
    Sent {
        /// The caller's identifier.
        request: String,
        /// Team whose key was presented; absent without a key.
        team: Option<TeamName>,
        /// Name of the key that was presented.
        key: Option<String>,
        /// Queue that the request was sent to.
        queue: String,
        /// Domain of the entry that the request was sent to.
        domain: DomainName,
        /// Whether the request was marked as idempotent.
        idempotent: bool,
    },
    /// An answer or error was received, or the connection failed.
    Received {
        /// The caller's identifier.
        request: String,
        /// HTTP status; 0 if the connection failed before the answer was complete.
        status: u16,
        /// Value of `x-outcome`; `unknown` if the connection failed.
        outcome: model::kind::RequestOutcome,
        /// SHA-256 of the body in hexadecimal digits.
        digest: String,
    },
    /// A job was submitted.
    JobSent {
        /// The job.
        job: String,
        /// Team whose key was presented.
        team: TeamName,
        /// Name of the key that was presented.
        key: String,
    },
    /// A job submission was answered.
    JobReceived {
        /// The job.
        job: String,
        /// HTTP status; 0 if the connection failed.
        status: u16,
    },
}

/// One record of a test operator's history.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OperatorRecord {
    /// `CLOCK_MONOTONIC` in microseconds.
    pub at_us: u64,
    /// What happened.
    pub event: OperatorEvent,
}

/// What a test operator did or saw.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub enum OperatorEvent {
    /// A change was sent.
    Sent {
        /// Identifier of the change.
        change_id: String,
        /// The whole object set that was sent.
        objects: model::object::ObjectSet,
    },
    /// A change was answered.
    Received {
        /// Identifier of the change.
        change_id: String,
        /// HTTP status; 0 if the connection failed.
        status: u16,
        /// Version of the change, if it was committed.
        version: u64,
        /// Domains in which the version is in force.
        in_force: Vec<DomainName>,
        /// Domains that have not confirmed the version.
        not_confirmed: Vec<DomainName>,
    },
    /// The version of the configuration was read from an entry.
    Observed {
        /// The entry that was read.
        entry: String,
        /// Domain of the entry.
        domain: DomainName,
        /// Version in force at the entry.
        version: u64,
    },
}

/// Returns `CLOCK_MONOTONIC` of this machine in microseconds.
///
/// # Panics
/// Panics if the clock cannot be read, which does not happen on Linux.
#[must_use]
pub fn monotonic_us() -> u64 {
    let now = nix::time::clock_gettime(nix::time::ClockId::CLOCK_MONOTONIC)
        .expect("CLOCK_MONOTONIC is always readable");
    let seconds = u64::try_from(now.tv_sec()).expect("uptime is not negative");
    let nanos = u64::try_from(now.tv_nsec()).expect("nanoseconds are not negative");
    seconds * 1_000_000 + nanos / 1_000
}
