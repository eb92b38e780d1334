//! What a cell is told and what it decides.

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

/// A short list of workers.
pub type WorkerList = SmallVec<[WorkerName; 4]>;

/// A task that runs on a worker, as its report lists it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunningTask {
    /// The task.
    pub task: TaskId,
    /// Number of the attempt.
    pub attempt: u32,
    /// Team that it counts to.
    pub team: TeamName,
    /// What is reserved for it.
    pub amounts: ResourceAmounts,
    /// What it was measured to use, some seconds ago.
    pub usage: ResourceAmounts,
}

/// A report of a worker under the present authority.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerUpdate {
    /// The worker.
    pub worker: WorkerName,
    /// Its boot; another boot than before means that nothing of before runs.
    pub boot: BootId,
    /// All running tasks, if the report was full. The sender asks for a full
    /// report in its first contact, so that capacity is known before it is used.
    pub tasks: Option<Vec<RunningTask>>,
    /// Request slots in use on the worker.
    pub slots_used: u32,
    /// Whether the VM is about to leave.
    pub leaving: bool,
    /// Start of the exchange that brought the report, on the owner's clock.
    /// Grants and starts sent after it may be missing from the report.
    pub sent_at: ClockMillis,
}

/// A request that asks for a slot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SlotRequest {
    /// Number under which the decision is returned.
    pub ticket: TicketNumber,
    /// Queue; gives team, class and bound.
    pub queue: QueueName,
    /// Latest instant at which a grant is still of use.
    pub start_by: ClockMillis,
    /// Workers on which earlier attempts failed.
    pub avoid: WorkerList,
}

/// How a task ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndKind {
    /// The task ended well.
    Done,
    /// The task failed by itself.
    Failed,
    /// The task was stopped on order or with its worker's lease.
    Stopped,
    /// The task was checkpointed and can go on elsewhere.
    Checkpointed,
}

/// Something that a cell is told.
#[derive(Clone, Debug, PartialEq)]
pub enum CellEvent {
    /// A new configuration is in force.
    Config(Arc<ObjectSet>),
    /// What the domain may run of a team changed; teams without one may run nothing.
    Allotment {
        /// The team.
        team: TeamName,
        /// What the domain may run at most.
        amounts: ResourceAmounts,
    },
    /// A worker reported under the present authority. Ends of tasks that came with
    /// the report are told before it, so that no ended task is started again.
    WorkerReported(WorkerUpdate),
    /// A worker has not reported for a while; nothing new is placed on it.
    WorkerSilent(WorkerName),
    /// A worker's lease has surely expired: nothing runs there, tasks may restart elsewhere.
    WorkerLost(WorkerName),
    /// The platform's list says that a worker is leaving.
    WorkerLeaving(WorkerName),
    /// A durable job is to be run by this domain.
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
    /// A worker refused a start, so that nothing of the attempt ran.
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
    /// A request asks for a slot.
    RequestArrived(SlotRequest),
    /// A granted request has ended or was refused by the worker, or a waiting one is not wanted any more.
    RequestEnded {
        /// The request.
        ticket: TicketNumber,
        /// Whether the worker answered; false counts against the worker's health.
        healthy: bool,
    },
    /// Whether no task may be started at present, because the configuration
    /// has not been confirmed for too long.
    StartsHeld(bool),
    /// Time has passed.
    Tick,
}

/// Why a worker was chosen, for the decision's log line.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PlacementReason {
    /// The rule that decided, such as `best-fit`.
    pub rule: &'static str,
    /// Workers considered.
    pub considered: u32,
    /// Of those, passed over because not enough was free.
    pub full: u32,
    /// Passed over because silent, leaving or quarantined.
    pub unavailable: u32,
    /// Passed over because an earlier attempt failed there.
    pub avoided: u32,
}

/// Something that a cell decides.
#[derive(Clone, Debug, PartialEq)]
pub enum CellDecision {
    /// Start a task.
    StartTask {
        /// The task.
        task: TaskId,
        /// Number of the attempt, from 1.
        attempt: u32,
        /// Where.
        worker: WorkerName,
        /// Team that it counts to.
        team: TeamName,
        /// What to reserve.
        amounts: ResourceAmounts,
        /// The job, for its payload.
        job: Arc<JobRecord>,
        /// Why there.
        reason: PlacementReason,
    },
    /// Stop or checkpoint a task.
    StopTask {
        /// The task.
        task: TaskId,
        /// Where it runs.
        worker: WorkerName,
        /// Whether its state is saved first.
        checkpoint: bool,
        /// Why, for the log, such as `domain-out`.
        reason: &'static str,
    },
    /// Let a request run.
    GrantRequest {
        /// The request.
        ticket: TicketNumber,
        /// Where.
        worker: WorkerName,
        /// Team that it counts to.
        team: TeamName,
        /// Why there.
        reason: PlacementReason,
    },
    /// Refuse a request; nothing of it ran.
    RefuseRequest {
        /// The request.
        ticket: TicketNumber,
        /// Why.
        kind: ErrorKind,
    },
    /// A job's record changed and must be written: progress, or its final state.
    JobChanged {
        /// The job.
        job: JobId,
        /// Its state.
        state: JobState,
        /// Indices of the tasks that have ended well.
        done: Vec<u32>,
    },
    /// A job is better run by another domain, since this one is out.
    MoveJob(JobId),
    /// Work of a team waits for allotment only.
    RequestAllotment {
        /// The team.
        team: TeamName,
        /// What would be used beyond the allotment.
        amounts: ResourceAmounts,
    },
}
