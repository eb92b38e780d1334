//! The worker's control protocol and its request headers.
//!
//! Leases are measured on the worker's own clock: its reports carry its
//! monotonic clock, and starts and renewals state an instant of that clock
//! after which they are invalid. A delayed message can therefore not extend a
//! lease (docs/design.md, section 4).

use model::authority::OwnerAuthority;
use model::name::{BootId, TaskId, TeamName};
use model::resource::ResourceAmounts;
use model::time::ClockMillis;
use serde::{Deserialize, Serialize};

/// Path of lease renewals (`POST`, [`RenewCall`] to [`WorkerReport`]).
pub const RENEW_PATH: &str = "/v1/renew";
/// Path of task starts (`POST`, [`StartCall`] to [`StartReply`]).
pub const START_PATH: &str = "/v1/start";
/// Path of task stops (`POST`, [`StopCall`] to [`StopReply`]).
pub const STOP_PATH: &str = "/v1/stop";
/// Path of requests to the endpoint (`POST`, any body).
pub const REQUEST_PATH: &str = "/v1/request";

/// Header with the request's identifier; the answer repeats it.
pub const REQUEST_ID_HEADER: &str = "x-request-id";
/// Header with the number of the attempt; the answer repeats it.
pub const ATTEMPT_HEADER: &str = "x-attempt";
/// Header with the authority `TERM.HANDOVER` under which the request was placed.
pub const AUTHORITY_HEADER: &str = "x-authority";
/// Header with the boot of the worker that the request was placed on.
pub const BOOT_HEADER: &str = "x-boot";
/// Header with the milliseconds of the worker's clock at which the grant expires.
///
/// A delayed request must not run after the owner has granted the slot to
/// another one.
pub const NOT_AFTER_HEADER: &str = "x-not-after";
/// Header with the team whose share and limit the request counts towards.
pub const TEAM_HEADER: &str = "x-team";
/// Header of an answer with the SHA-256 of its body, in hexadecimal digits.
pub const DIGEST_HEADER: &str = "x-answer-digest";
/// Header that marks an answer as a refusal before anything was run, with the value `1`.
pub const NOT_RUN_HEADER: &str = "x-not-run";

/// Renews the worker's lease and requests a report.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RenewCall {
    /// Authority of the sender.
    pub authority: OwnerAuthority,
    /// Boot that the sender knows; the lease is not extended for another boot.
    pub boot: Option<BootId>,
    /// End of the lease on the worker's own clock; absent while the sender does not know the clock.
    pub not_after: Option<ClockMillis>,
    /// Acknowledges ended tasks up to this number, which are recorded and may be forgotten.
    pub ack: u64,
    /// Whether the report must list all running tasks.
    pub full: bool,
}

/// State of a worker as it reports it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorkerReport {
    /// Highest authority that the worker has seen; if it is above the call's, the call was refused.
    pub authority: OwnerAuthority,
    /// The current boot of the worker.
    pub boot: BootId,
    /// The worker's own monotonic clock when it wrote the report.
    pub clock: ClockMillis,
    /// Running tasks, if a full report was requested.
    pub tasks: Option<Vec<TaskReport>>,
    /// Number of running tasks.
    pub running: u32,
    /// Ended tasks that are not acknowledged yet, in the order of their numbers.
    pub ended: Vec<EndReport>,
    /// Request slots in use.
    pub slots_used: u32,
    /// Request slots in use by each team, so that an owner credits the slots of
    /// lost grants to the right team.
    pub slots_by_team: Vec<SlotReport>,
    /// Whether the VM is about to leave.
    pub leaving: bool,
}

/// Request slots that one team uses on a worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SlotReport {
    /// The team.
    pub team: TeamName,
    /// Slots in use.
    pub slots: u32,
}

/// A running task in the report of its worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TaskReport {
    /// The task.
    pub task: TaskId,
    /// Number of the attempt.
    pub attempt: u32,
    /// Team whose share and limit the task counts towards.
    pub team: TeamName,
    /// Resources reserved for the task.
    pub amounts: ResourceAmounts,
    /// Measured usage of the task, some seconds old.
    pub usage: ResourceAmounts,
}

/// How a task ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TaskEnd {
    /// The task succeeded.
    Done,
    /// The task failed.
    Failed,
    /// The task was stopped on order.
    Stopped,
    /// The task was checkpointed on order and can continue on another worker.
    Checkpointed,
    /// The worker's lease expired and it stopped the task itself.
    LeaseExpired,
}

/// An ended task in the report of its worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EndReport {
    /// Number of the ended task among those of this boot, from 1.
    pub number: u64,
    /// The task.
    pub task: TaskId,
    /// Number of the attempt.
    pub attempt: u32,
    /// How the task ended.
    pub end: TaskEnd,
}

/// Starts a task.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StartCall {
    /// Authority of the sender.
    pub authority: OwnerAuthority,
    /// Boot that the sender placed the task on.
    pub boot: BootId,
    /// Instant of the worker's clock from which it refuses the start.
    pub not_after: ClockMillis,
    /// The task.
    pub task: TaskId,
    /// Number of the attempt, from 1; higher for each later start of the task.
    pub attempt: u32,
    /// Team whose share and limit the task counts towards.
    pub team: TeamName,
    /// Resources to reserve for the task.
    pub amounts: ResourceAmounts,
    /// Input of the task.
    pub payload: serde_json::Value,
}

/// Why a worker refused a call or a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RefusalReason {
    /// The worker has seen a higher authority.
    StaleAuthority,
    /// The call was meant for another boot.
    WrongBoot,
    /// The call arrived after its `not_after`.
    Expired,
    /// The worker's lease has expired.
    NoLease,
    /// The worker has too little free capacity.
    NoCapacity,
    /// The VM is about to leave.
    Leaving,
    /// The task already runs on this worker.
    Duplicate,
    /// The task does not run on this worker.
    UnknownTask,
}

/// Answer to a start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StartReply {
    /// Absent if the task was started.
    pub refusal: Option<RefusalReason>,
}

/// What to do with a running task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum StopMode {
    /// Stop at once.
    Stop,
    /// Save the state, then stop.
    Checkpoint,
    /// Keep running at half speed.
    Throttle,
}

/// Stops, checkpoints or throttles a task.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StopCall {
    /// Authority of the sender.
    pub authority: OwnerAuthority,
    /// The task.
    pub task: TaskId,
    /// What to do.
    pub mode: StopMode,
}

/// Answer to a stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StopReply {
    /// Absent if the order was carried out.
    pub refusal: Option<RefusalReason>,
}
