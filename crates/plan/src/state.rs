//! What the planner remembers of jobs, steps, tasks and workers.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

use arcstr::ArcStr;
use model::name::{TeamName, WorkerName};
use model::resource::ResourceAmounts;
use smallvec::SmallVec;

use crate::job::{JobSpec, StepSpec, TaskKey};
use crate::progress::JobStatus;
use crate::worker::WorkerInfo;

/// A job that is not over, or whose final state is not yet stored.
#[derive(Debug)]
pub(crate) struct JobState {
    pub(crate) spec: Arc<JobSpec>,
    /// When the job was submitted, on the planner's clock.
    pub(crate) arrived_ms: u64,
    pub(crate) status: JobStatus,
    pub(crate) occurrences: BTreeMap<u32, OccurrenceState>,
    /// First occurrence that was not yet due.
    pub(crate) next_occurrence: u32,
    /// Whether the job came on top of its team's share.
    pub(crate) beyond_share: bool,
    /// Objective in milliseconds; none until the queue is known.
    pub(crate) objective_ms: Option<u64>,
}

/// One occurrence that is not done.
#[derive(Debug)]
pub(crate) struct OccurrenceState {
    pub(crate) steps: Vec<StepState>,
}

/// Tasks of one step of one occurrence.
#[derive(Debug)]
pub(crate) struct StepState {
    pub(crate) tasks: Vec<TaskState>,
    /// Tasks that are not done.
    pub(crate) unfinished: u32,
    /// Tasks that are neither done nor have a run.
    pub(crate) waiting: u32,
    pub(crate) advice: AdviceState,
    /// Saved progress of a gang; it holds for every member.
    pub(crate) gang_saved: ArcStr,
}

/// One task.
#[derive(Clone, Debug, Default)]
pub(crate) struct TaskState {
    pub(crate) done: bool,
    /// Runs that counted as failed; their ends may be listed again, in any order.
    pub(crate) failed_runs: SmallVec<[u32; 2]>,
    /// Highest run that was used.
    pub(crate) last_run: u32,
    pub(crate) saved: ArcStr,
    /// Runs that may be present.
    pub(crate) runs: SmallVec<[(WorkerName, u32); 1]>,
    /// Workers on which a run failed.
    pub(crate) avoided: SmallVec<[WorkerName; 2]>,
}

impl TaskState {
    pub(crate) fn is_waiting(&self) -> bool {
        !self.done && self.runs.is_empty()
    }
}

/// What the advice service said about a step.
#[derive(Debug, Default)]
pub(crate) struct AdviceState {
    pub(crate) requested_ms: Option<u64>,
    /// No question before this instant.
    pub(crate) next_request_ms: u64,
    pub(crate) eligible: BTreeMap<WorkerName, IssuedTicket>,
    pub(crate) ineligible: BTreeSet<WorkerName>,
    /// Workers whose room is kept for a gang while their tickets are on the way.
    pub(crate) reserved_workers: Vec<WorkerName>,
}

/// A ticket and when it stops being accepted.
#[derive(Clone, Debug)]
pub(crate) struct IssuedTicket {
    pub(crate) text: ArcStr,
    pub(crate) expires_ms: u64,
}

/// Where a run is in its life.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RunPhase {
    /// The start was sent and not answered.
    Starting,
    /// The worker has the run.
    Running,
    /// A stop was ordered.
    Stopping,
}

/// How a run gets along with others on its worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SharingKind {
    /// It neither disturbs nor is disturbed beyond its size.
    Plain,
    /// It uses what others leave and slows those that serve.
    Filler,
    /// It serves users and has a target for its tail.
    LatencySensitive,
}

impl SharingKind {
    pub(crate) fn of(step: &StepSpec) -> Self {
        if step.filler {
            Self::Filler
        } else if step.tail_target_ms > 0 {
            Self::LatencySensitive
        } else {
            Self::Plain
        }
    }
}

/// A run that may be present on a worker.
#[derive(Clone, Debug)]
pub(crate) struct RunState {
    pub(crate) run: u32,
    pub(crate) phase: RunPhase,
    /// When the worker confirmed the start or the stop; a report that was asked
    /// for later lists the run, or the run is not there.
    pub(crate) confirmed_ms: Option<u64>,
    /// What the run takes of the worker.
    pub(crate) occupied: ResourceAmounts,
    /// What the run counts against the team's limit.
    pub(crate) charged: ResourceAmounts,
    pub(crate) team: Option<TeamName>,
    /// Whether the stop was sent.
    pub(crate) stop_sent: bool,
    /// How the run gets along with others on its worker.
    pub(crate) sharing: SharingKind,
}

/// A worker and what may run there.
#[derive(Debug)]
pub(crate) struct WorkerState {
    pub(crate) info: WorkerInfo,
    /// Start of the life that reported; none before the first report.
    pub(crate) incarnation: Option<u64>,
    /// Whether the worker's registration is gone.
    pub(crate) deregistered: bool,
    /// Whether calls to the worker fail at present.
    pub(crate) silent: bool,
    pub(crate) runs: BTreeMap<TaskKey, RunState>,
    pub(crate) occupied: ResourceAmounts,
    /// Highest end that was counted.
    pub(crate) last_counted_end: u64,
    /// Highest end that may be acknowledged.
    pub(crate) ack_up_to: u64,
    /// Open questions to the advice service that name the worker.
    pub(crate) open_advice_requests: u32,
    /// First failures of tasks here since the last success.
    pub(crate) first_failures: u32,
    /// No start before this instant.
    pub(crate) quarantined_until: u64,
}

impl WorkerState {
    pub(crate) fn new(info: WorkerInfo) -> Self {
        Self {
            info,
            incarnation: None,
            deregistered: false,
            silent: false,
            runs: BTreeMap::new(),
            occupied: ResourceAmounts::ZERO,
            counted_end: 0,
            stored_end: 0,
            open_advice_requests: 0,
            strikes: 0,
            quarantined_until: 0,
        }
    }

    /// Tells whether a run of this kind is present.
    pub(crate) fn has_run_of_kind(&self, kind: SharingKind) -> bool {
        self.runs.values().any(|run| run.sharing == kind)
    }

    /// Returns what is free.
    pub(crate) fn free(&self) -> ResourceAmounts {
        self.info.capacity.minus(self.occupied)
    }
}

/// Ends that wait for the progress of their jobs to be stored.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PendingAcks {
    /// Worker, start of its life, and number of the end.
    pub ends: VecDeque<(WorkerName, u64, u64)>,
}
