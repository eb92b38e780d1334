//! The worker's control protocol and its request headers.
//!
//! A worker grants its own lease time: reports carry its monotonic clock, and
//! starts and renewals name an instant of that clock after which they are
//! void. A delayed message can therefore not extend a lease (docs/design.md,
//! section 4).

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
/// Header with the milliseconds of the worker's clock at which the grant is void.
///
/// A grant that was held up must not run after its owner has given the slot to
/// another request.
pub const NOT_AFTER_HEADER: &str = "x-not-after";
/// Header with the team that the request counts to.
pub const TEAM_HEADER: &str = "x-team";
/// Header of an answer with the SHA-256 of its body, in hexadecimal digits.
pub const DIGEST_HEADER: &str = "x-answer-digest";
/// Header of a refusal, with the value `1`, that says that nothing was run.
pub const NOT_RUN_HEADER: &str = "x-not-run";

/// Renews the worker's lease and asks for a report.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RenewCall {
    /// Authority of the sender.
    pub authority: OwnerAuthority,
    /// Boot that the sender knows; the lease is not extended for another boot.
    pub boot: Option<BootId>,
    /// End of the lease on the worker's own clock; absent in a first contact.
    pub not_after: Option<ClockMillis>,
    /// Ended tasks up to this number are recorded and may be forgotten.
    pub ack: u64,
    /// Whether the report must list all running tasks.
    pub full: bool,
}

/// What a worker says of itself.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorkerReport {
    /// Highest authority that the worker has seen; the call was refused if it is above the call's.
    pub authority: OwnerAuthority,
    /// The present boot of the worker.
    pub boot: BootId,
    /// The worker's own monotonic clock when it wrote the report.
    pub clock: ClockMillis,
    /// Running tasks, if a full report was asked for.
    pub tasks: Option<Vec<TaskReport>>,
    /// Number of running tasks.
    pub running: u32,
    /// Ended tasks that are not acknowledged yet, in order of their numbers.
    pub ended: Vec<EndReport>,
    /// Request slots in use.
    pub slots_used: u32,
    /// Of those, the slots of each team, so that an owner takes lost grants back
    /// from the right team.
    pub slots_by_team: Vec<SlotReport>,
    /// Whether the VM is about to leave.
    pub leaving: bool,
}

/// Request slots of one team as their worker reports them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SlotReport {
    /// The team.
    pub team: TeamName,
    /// Slots in use.
    pub slots: u32,
}

/// A running task as its worker reports it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TaskReport {
    /// The task.
    pub task: TaskId,
    /// The attempt of the task.
    pub attempt: u32,
    /// Team that the task counts to.
    pub team: TeamName,
    /// What was reserved for the task.
    pub amounts: ResourceAmounts,
    /// What the task was measured to use, some seconds ago.
    pub usage: ResourceAmounts,
}

/// How a task ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TaskEnd {
    /// The task ended well.
    Done,
    /// The task failed.
    Failed,
    /// The task was stopped on order.
    Stopped,
    /// The task was checkpointed on order and can go on elsewhere.
    Checkpointed,
    /// The worker's lease expired and it stopped the task itself.
    LeaseExpired,
}

/// An ended task as its worker reports it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EndReport {
    /// Number of this end on this boot, from 1.
    pub number: u64,
    /// The task.
    pub task: TaskId,
    /// The attempt of the task.
    pub attempt: u32,
    /// How it ended.
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
    /// Instant of the worker's clock after which the start is void.
    pub not_after: ClockMillis,
    /// The task.
    pub task: TaskId,
    /// Number of the attempt, from 1; higher for each later start of the task.
    pub attempt: u32,
    /// Team that the task counts to.
    pub team: TeamName,
    /// What to reserve for the task.
    pub amounts: ResourceAmounts,
    /// Input of the task.
    pub payload: serde_json::Value,
}

/// Why a worker refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RefusalReason {
    /// A higher authority was seen.
    StaleAuthority,
    /// The call was meant for another boot.
    WrongBoot,
    /// The call arrived after its `not_after`.
    Expired,
    /// The worker's lease has expired.
    NoLease,
    /// Not enough is free.
    NoCapacity,
    /// The VM is about to leave.
    Leaving,
    /// The task runs here already.
    Duplicate,
    /// The task does not run here.
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
    /// Go on at half speed.
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
