//! State of jobs, steps, tasks, runs and workers in the planner.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

use arcstr::ArcStr;
use model::name::{JobId, TeamName, WorkerName};
use model::resource::ResourceAmounts;
use smallvec::SmallVec;

use crate::drain::DepartureSpan;
use crate::job::{JobSpec, StepSpec, TaskKey};
use crate::pace::RunSpeed;
use crate::progress::{JobStatus, RemainingRuns};
use crate::ranges::IndexRanges;
use crate::speed::{StepWork, WorkerSpeed};
use crate::stall::IdleMark;
use crate::worker::WorkerInfo;

/// A job that is unfinished, or whose final status is not stored yet.
#[derive(Debug)]
pub(crate) struct JobState {
    pub(crate) spec: Arc<JobSpec>,
    /// When the job was submitted, on the planner's clock.
    pub(crate) submitted_ms: u64,
    pub(crate) status: JobStatus,
    /// Open occurrences: those that were due and are not among [`Self::done_occurrences`].
    pub(crate) occurrences: BTreeMap<u32, OccurrenceState>,
    /// Occurrences of a scheduled job of which all tasks are done.
    pub(crate) done_occurrences: IndexRanges,
    /// Number of the first occurrence that this owner has not opened: it is not due yet, or too
    /// many are open.
    pub(crate) next_occurrence: u32,
    /// Runs that may be present after the end of the job.
    pub(crate) remaining: Option<RemainingRuns>,
    /// Whether the team had used up its share when it submitted the job.
    pub(crate) beyond_share: bool,
    /// Workers against which failures of the job count.
    pub(crate) blamed_workers: SmallVec<[WorkerName; 2]>,
    /// Time objective in milliseconds from the submission; `None` until it is computed
    /// from the rules of the queue.
    pub(crate) objective_ms: Option<u64>,
}

/// One occurrence of a job that has become due.
#[derive(Debug)]
pub(crate) struct OccurrenceState {
    pub(crate) steps: Vec<StepState>,
}

/// One step of one occurrence.
#[derive(Debug)]
pub(crate) struct StepState {
    pub(crate) tasks: Vec<TaskState>,
    /// Number of tasks that are not done.
    pub(crate) unfinished: u32,
    /// Number of tasks that are not done and of which no run may be present.
    pub(crate) waiting: u32,
    pub(crate) advice: AdviceState,
    /// Whether the known workers could run the step; none if it is not known.
    pub(crate) servability: Option<Servability>,
    /// Since when workers that the step could use are withheld from it, on the planner's clock; none
    /// if they are not.
    pub(crate) withheld_since_ms: Option<u64>,
    /// Saved progress of a gang, from which every member resumes.
    pub(crate) gang_saved: ArcStr,
    /// Durations of the step's runs, from which the speeds of workers are learned.
    pub(crate) work: StepWork,
}

impl StepState {
    /// Returns how many runs of a gang have failed. Several members of one run may end failed, in
    /// reports to different owners; the run counts once.
    pub(crate) fn failed_gang_runs(&self) -> usize {
        let runs = self.tasks.iter().flat_map(|task| &task.failed_runs);
        runs.collect::<BTreeSet<_>>().len()
    }

    /// Returns whether it is known that no worker can run the step now or once its runs have ended.
    pub(crate) fn is_unservable(&self, worker_changes: u64, service_ends: u64) -> bool {
        let known = self.servability.filter(|known| known.holds(worker_changes, service_ends));
        known.is_some_and(|known| !known.is_servable)
    }
}

/// Whether the known workers could run a step once their runs have ended, but for those of services,
/// and the changes up to which that is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Servability {
    pub(crate) is_servable: bool,
    /// [`Planner::worker_changes`](crate::planner::Planner) when that was found.
    pub(crate) worker_changes: u64,
    /// [`Planner::service_ends`](crate::planner::Planner) when that was found; none if services do
    /// not matter for it.
    pub(crate) service_ends: Option<u64>,
}

impl Servability {
    /// Returns whether nothing has changed that it depends on.
    pub(crate) fn holds(self, worker_changes: u64, service_ends: u64) -> bool {
        self.worker_changes == worker_changes
            && self.service_ends.is_none_or(|known| known == service_ends)
    }
}

/// One task of a step.
#[derive(Clone, Debug, Default)]
pub(crate) struct TaskState {
    pub(crate) done: bool,
    /// Runs that were counted as failed; workers may report their ends again, in any order.
    pub(crate) failed_runs: SmallVec<[u32; 2]>,
    /// Highest run number that was used.
    pub(crate) last_run: u32,
    /// Saved progress from which the next run resumes; empty for none.
    pub(crate) saved: ArcStr,
    /// Workers on which a run of the task may be present, with the run numbers.
    pub(crate) runs: SmallVec<[(WorkerName, u32); 1]>,
    /// Workers on which a run failed; others are preferred for the next run.
    pub(crate) avoided: SmallVec<[WorkerName; 2]>,
    /// Number of runs that were stopped as stalled; members of a gang that are stopped together
    /// count as one run, which is that of one of them.
    pub(crate) stalled_runs: u32,
}

impl TaskState {
    /// Returns whether the task needs a run: it is not done, and no run may be present.
    pub(crate) fn is_waiting(&self) -> bool {
        !self.done && self.runs.is_empty()
    }
}

/// Advice for a step: the answers so far and the request in flight.
#[derive(Debug, Default)]
pub(crate) struct AdviceState {
    /// When the request in flight was made; `None` if there is none.
    pub(crate) requested_ms: Option<u64>,
    /// Tasks for which the last search found free workers to ask about; their capacity is claimed
    /// until the next search.
    pub(crate) claimed_tasks: u32,
    /// Time before which no further request is made.
    pub(crate) next_request_ms: u64,
    /// Since when the step could make a request, but for the entries' calls for other steps; none
    /// if it has not waited for that since its last start.
    pub(crate) delayed_since_ms: Option<u64>,
    /// When a decision last found that the step waits for that.
    pub(crate) delayed_at_ms: u64,
    /// Answers since the last start of the step.
    pub(crate) answers: u32,
    /// Answers for a gang after which it did not fit on the workers that may run it.
    pub(crate) unused_answers: u32,
    /// Since when workers are reserved for the gang because of that.
    pub(crate) reserving_since_ms: Option<u64>,
    /// Time from which no ticket is used any more, on the planner's clock.
    pub(crate) tickets_expire_ms: u64,
    /// Workers that may run the step, with their tickets.
    pub(crate) eligible: BTreeMap<WorkerName, IssuedTicket>,
    /// Workers that may not run the step.
    pub(crate) ineligible: BTreeSet<WorkerName>,
    /// Eligible workers that are reserved for a gang while their tickets are renewed.
    pub(crate) reserved_workers: Vec<WorkerName>,
}

/// A ticket of the advice service, and when it is too old to be sent to a worker.
#[derive(Clone, Debug)]
pub(crate) struct IssuedTicket {
    pub(crate) text: ArcStr,
    /// Time from which the ticket is not used any more, on the planner's clock.
    pub(crate) expires_ms: u64,
}

/// Phase of a run, as far as the planner knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RunPhase {
    /// A start was ordered, and no answer has come.
    Starting,
    /// The worker has confirmed the run.
    Running,
    /// A stop was ordered.
    Stopping,
}

/// How a run competes with others on its worker for processor time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SharingKind {
    /// Neither slows other runs nor is slowed by them beyond what their sizes say.
    Plain,
    /// Uses idle processor time, and slows latency-sensitive services by doing so.
    Filler,
    /// Belongs to a service that has a target for its tail response time.
    LatencySensitive,
}

impl SharingKind {
    /// Returns the kind of the runs of a step.
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
#[expect(clippy::struct_excessive_bools, reason = "each is an independent fact about the run")]
pub(crate) struct RunState {
    /// Number of the run.
    pub(crate) run: u32,
    pub(crate) phase: RunPhase,
    /// When the worker confirmed the start or the stop. If a report that was requested
    /// later does not contain the run, the run is gone.
    pub(crate) confirmed_ms: Option<u64>,
    /// When the worker confirmed the start to this owner; none for a run of an earlier owner.
    pub(crate) started_ms: Option<u64>,
    /// Whether the run resumed from saved progress, or may have.
    pub(crate) is_resumed: bool,
    /// Whether the run has used the processor, or may have.
    pub(crate) was_busy: bool,
    /// Capacity of the worker that the run occupies.
    pub(crate) occupied: ResourceAmounts,
    /// Resources that the run uses up of the team's limit.
    pub(crate) charged: ResourceAmounts,
    pub(crate) team: Option<TeamName>,
    /// Whether a stop was ordered that has not failed.
    pub(crate) stop_sent: bool,
    /// How the run competes with others on its worker for processor time.
    pub(crate) sharing: SharingKind,
    /// Whether the run belongs to a service, so that it does not end by itself.
    pub(crate) is_service: bool,
    /// How fast the run should work.
    pub(crate) speed: RunSpeed,
}

/// A worker and the runs that may be present on it.
#[derive(Debug)]
pub(crate) struct WorkerState {
    pub(crate) info: WorkerInfo,
    /// Incarnation that reported last; `None` before the first report.
    pub(crate) incarnation: Option<u64>,
    /// Whether the worker's registration is gone.
    pub(crate) deregistered: bool,
    /// Whether the worker does not answer at present.
    pub(crate) silent: bool,
    /// Whether nothing may be started because a later owner would not know of it.
    pub(crate) starts_held: bool,
    pub(crate) runs: BTreeMap<TaskKey, RunState>,
    /// Capacity that the runs occupy together.
    pub(crate) occupied: ResourceAmounts,
    /// Capacity that the runs of services occupy together.
    pub(crate) service_occupied: ResourceAmounts,
    /// Number of runs that are neither of the next two kinds.
    pub(crate) plain_runs: u32,
    /// Number of runs that are fillers.
    pub(crate) filler_runs: u32,
    /// Number of runs of services with a target for their tail response time.
    pub(crate) sensitive_runs: u32,
    /// Highest end number of this incarnation that was counted.
    pub(crate) last_counted_end: u64,
    /// Highest end number of this incarnation that may be acknowledged.
    pub(crate) ack_up_to: u64,
    /// Advice requests in flight that name the worker.
    pub(crate) open_advice_requests: u32,
    /// Jobs whose failures here count against the worker, since its last success.
    pub(crate) failed_jobs: BTreeSet<JobId>,
    /// Time before which nothing is started on the worker.
    pub(crate) quarantined_until_ms: u64,
    /// Learned speed of the worker.
    pub(crate) speed: WorkerSpeed,
    /// Highest tail response time of the services here in the last report, in per cent of their
    /// targets; none if none was measured.
    pub(crate) tail_percent: Option<u32>,
    /// When the worker leaves; none if it does not drain, or has not said when it leaves.
    pub(crate) departure: Option<DepartureSpan>,
    /// Runs that used no processor time in the last report.
    pub(crate) idle_runs: BTreeMap<TaskKey, IdleMark>,
    /// Jobs whose stalled runs here count against the worker, since its last success.
    pub(crate) stalled_jobs: BTreeSet<JobId>,
}

impl WorkerState {
    pub(crate) fn new(info: WorkerInfo) -> Self {
        Self {
            info,
            incarnation: None,
            deregistered: false,
            silent: false,
            starts_held: false,
            runs: BTreeMap::new(),
            occupied: ResourceAmounts::ZERO,
            service_occupied: ResourceAmounts::ZERO,
            plain_runs: 0,
            filler_runs: 0,
            sensitive_runs: 0,
            last_counted_end: 0,
            ack_up_to: 0,
            open_advice_requests: 0,
            failed_jobs: BTreeSet::new(),
            quarantined_until_ms: 0,
            speed: WorkerSpeed::default(),
            tail_percent: None,
            departure: None,
            idle_runs: BTreeMap::new(),
            stalled_jobs: BTreeSet::new(),
        }
    }

    /// Adds a run; an earlier one of the same task is replaced.
    pub(crate) fn insert_run(&mut self, task: TaskKey, run: RunState) {
        self.remove_run(&task);
        self.occupied = self.occupied.plus(run.occupied);
        if run.is_service {
            self.service_occupied = self.service_occupied.plus(run.occupied);
        }
        *self.kind_count(run.sharing) += 1;
        self.runs.insert(task, run);
    }

    /// Removes the run of a task, if there is one, and returns it.
    pub(crate) fn remove_run(&mut self, task: &TaskKey) -> Option<RunState> {
        let run = self.runs.remove(task)?;
        self.occupied = self.occupied.minus(run.occupied);
        if run.is_service {
            self.service_occupied = self.service_occupied.minus(run.occupied);
        }
        *self.kind_count(run.sharing) -= 1;
        Some(run)
    }

    fn kind_count(&mut self, kind: SharingKind) -> &mut u32 {
        match kind {
            SharingKind::Plain => &mut self.plain_runs,
            SharingKind::Filler => &mut self.filler_runs,
            SharingKind::LatencySensitive => &mut self.sensitive_runs,
        }
    }

    /// Returns the capacity that no run occupies.
    pub(crate) fn free(&self) -> ResourceAmounts {
        self.info.capacity.minus(self.occupied)
    }

    /// Returns the capacity that is free, or becomes free when runs end by themselves: all but that
    /// of services, which run until their jobs are cancelled.
    pub(crate) fn releasable(&self) -> ResourceAmounts {
        self.info.capacity.minus(self.service_occupied)
    }
}

/// Run ends that may be acknowledged once the progress of their jobs is stored.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PendingAcks {
    /// Worker, its incarnation, and the number of the end.
    pub ends: VecDeque<(WorkerName, u64, u64)>,
}
