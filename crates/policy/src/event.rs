//! The events that a cell handles and the decisions that it returns.

use std::sync::Arc;

use model::job::{JobRecord, JobState};
use model::kind::ErrorKind;
use model::name::{BootId, JobId, QueueName, TaskId, TeamName, WorkerName};
use model::object::ObjectSet;
use model::resource::ResourceAmounts;
use model::time::ClockMillis;
use smallvec::SmallVec;

/// Number of one waiting or granted request, unique within one owner.
pub type TicketNumber = u64;

/// A list of workers, short in most cases.
pub type WorkerList = SmallVec<[WorkerName; 4]>;

/// A task that runs on a worker, as its report lists it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunningTask {
    /// The task.
    pub task: TaskId,
    /// Number of the attempt.
    pub attempt: u32,
    /// Team for which it counts.
    pub team: TeamName,
    /// What is reserved for it.
    pub amounts: ResourceAmounts,
    /// Its measured usage, some seconds old.
    pub usage: ResourceAmounts,
}

/// A report that a worker sent to the current owner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerUpdate {
    /// The worker.
    pub worker: WorkerName,
    /// Boot of the worker; a change means that nothing from before the restart runs.
    pub boot: BootId,
    /// All running tasks if the report is full. The owner requests a full report in its
    /// first contact with a worker, so that it knows what runs there before it uses it.
    pub tasks: Option<Vec<RunningTask>>,
    /// Request slots in use on the worker.
    pub slots_used: u32,
    /// Whether the VM is about to leave.
    pub leaving: bool,
    /// When the owner requested the report, on the owner's clock. Grants and starts sent
    /// later may be missing from the report.
    pub sent_at: ClockMillis,
}

/// A request that needs a slot on a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SlotRequest {
    /// Number by which the decision refers to the request.
    pub ticket: TicketNumber,
    /// Queue, from which team, class and queue limit follow.
    pub queue: QueueName,
    /// Latest instant at which a grant is still of use.
    pub start_by: ClockMillis,
    /// Workers on which earlier attempts failed.
    pub avoid: WorkerList,
}

/// How a task ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndKind {
    /// The task completed successfully.
    Done,
    /// The task failed by itself.
    Failed,
    /// The task was stopped by an order or because its worker's lease expired.
    Stopped,
    /// The task was checkpointed and can continue on another worker.
    Checkpointed,
}

/// An event that a cell handles.
#[derive(Clone, Debug, PartialEq)]
pub enum CellEvent {
    /// A new configuration is in force.
    Config(Arc<ObjectSet>),
    /// The allotment of a team to this domain changed; a team without one may run nothing.
    Allotment {
        /// The team.
        team: TeamName,
        /// The most that the team may use in the domain.
        amounts: ResourceAmounts,
    },
    /// A worker reported to the current owner. Ends of tasks that came with the report
    /// must be sent first; otherwise a task that is done would be started again.
    WorkerReported(WorkerUpdate),
    /// A worker has not reported for a while; nothing new is placed on it.
    WorkerSilent(WorkerName),
    /// A worker's lease has surely expired: nothing runs there, and its tasks may restart
    /// on other workers.
    WorkerLost(WorkerName),
    /// The platform announced that a worker's VM will be removed.
    WorkerLeaving(WorkerName),
    /// A stored job is to run in this domain.
    JobSubmitted(Arc<JobRecord>),
    /// A job was cancelled.
    JobCancelled(JobId),
    /// A worker confirmed a start.
    StartConfirmed {
        /// The task.
        task: TaskId,
        /// Number of the attempt.
        attempt: u32,
    },
    /// A worker refused a start; nothing of the attempt ran.
    StartRefused {
        /// The task.
        task: TaskId,
        /// Number of the attempt.
        attempt: u32,
    },
    /// A task ended on its worker.
    TaskEnded {
        /// The task.
        task: TaskId,
        /// Number of the attempt.
        attempt: u32,
        /// Worker on which it ran.
        worker: WorkerName,
        /// How it ended.
        end: EndKind,
    },
    /// A request needs a slot.
    RequestArrived(SlotRequest),
    /// A granted request ended or was refused by the worker, or a waiting one was withdrawn.
    RequestEnded {
        /// The request.
        ticket: TicketNumber,
        /// Whether the worker answered; false counts against the worker's health.
        healthy: bool,
    },
    /// Whether no task may be started now, because the last confirmation of the
    /// configuration is too old.
    StartsHeld(bool),
    /// Time has passed.
    Tick,
}

/// Why a worker was chosen, for the log line of the decision.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PlacementReason {
    /// The rule that chose, such as `best-fit`.
    pub rule: &'static str,
    /// Number of workers considered.
    pub considered: u32,
    /// Considered workers that did not have enough free.
    pub full: u32,
    /// Workers not considered because they take no work, such as silent, leaving or
    /// quarantined ones.
    pub unavailable: u32,
    /// Considered workers that the work avoids because an earlier attempt failed there.
    pub avoided: u32,
}

/// A decision of a cell.
#[derive(Clone, Debug, PartialEq)]
pub enum CellDecision {
    /// Start a task.
    StartTask {
        /// The task.
        task: TaskId,
        /// Number of the attempt, from 1.
        attempt: u32,
        /// Worker on which it starts.
        worker: WorkerName,
        /// Team for which it counts.
        team: TeamName,
        /// What to reserve.
        amounts: ResourceAmounts,
        /// The job, for its payload.
        job: Arc<JobRecord>,
        /// Why this worker was chosen.
        reason: PlacementReason,
    },
    /// Stop or checkpoint a task.
    StopTask {
        /// The task.
        task: TaskId,
        /// Worker on which it runs.
        worker: WorkerName,
        /// Whether the task saves its state first.
        checkpoint: bool,
        /// Why it stops, for the log, such as `domain-out`.
        reason: &'static str,
    },
    /// Send a request to a worker, on which a slot is reserved for it.
    GrantRequest {
        /// The request.
        ticket: TicketNumber,
        /// Worker that serves it.
        worker: WorkerName,
        /// Team for which it counts.
        team: TeamName,
        /// Why this worker was chosen.
        reason: PlacementReason,
    },
    /// Refuse a request; nothing of it ran.
    RefuseRequest {
        /// The request.
        ticket: TicketNumber,
        /// Why it is refused.
        kind: ErrorKind,
    },
    /// Write a job's record, because of progress or its final state.
    JobChanged {
        /// The job.
        job: JobId,
        /// Its state.
        state: JobState,
        /// Indices of the tasks that are done.
        done: Vec<u32>,
    },
    /// Move a job to another domain, because this one is out.
    MoveJob(JobId),
    /// Request more allotment for a team whose work waits for nothing else.
    RequestAllotment {
        /// The team.
        team: TeamName,
        /// What the waiting work would use beyond the allotment.
        amounts: ResourceAmounts,
    },
}
