//! Jobs with the states of their tasks, and the order in which ready jobs are served.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use model::job::JobRecord;
use model::name::JobId;
use model::object::{ClassKind, UrgencyLevel};
use model::time::ClockMillis;
use smallvec::SmallVec;

use crate::catalog::urgency_rank;
use crate::hold::{HoldId, TaskClass};
use crate::index::WorkerIndex;
use crate::map::{FixedMap, FixedSet};
use crate::team::TeamIndex;
use crate::usage::UsageEstimate;
use crate::worker::RackIndex;

/// Ended jobs that are remembered, so that late events about them start nothing;
/// about five days of jobs at the size of docs/design.md, section 1.4.
const MAX_REMEMBERED_ENDED_JOBS: usize = 65_536;

/// State of one task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TaskStage {
    Waiting,
    Running(HoldId),
    Done,
}

/// One task of a job, with its state and attempts.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TaskEntry {
    pub(crate) stage: TaskStage,
    /// Highest attempt number that was used.
    pub(crate) attempt: u32,
}

/// A job that has not ended, with the states of its tasks.
#[derive(Clone, Debug)]
pub(crate) struct JobEntry {
    pub(crate) record: Arc<JobRecord>,
    /// Position in the order of arrival.
    pub(crate) arrival: u64,
    pub(crate) team: TeamIndex,
    /// `None` while the configuration lacks the job's queue or team.
    pub(crate) class: Option<TaskClass>,
    /// Whether no task may start yet, because its tasks may already run on workers
    /// that have not reported.
    pub(crate) awaits_reports: bool,
    pub(crate) tasks: Vec<TaskEntry>,
    /// Indices of tasks to start; may include some that do not wait any more.
    pub(crate) pending: VecDeque<u32>,
    /// Number of waiting tasks.
    pub(crate) waiting: u32,
    /// Number of tasks that are done.
    pub(crate) done: u32,
    /// Attempts of running tasks, by task index.
    pub(crate) running: BTreeMap<u32, HoldId>,
    /// Workers on which attempts failed, by task index.
    pub(crate) failed_workers: FixedMap<u32, SmallVec<[WorkerIndex; 6]>>,
    /// Until when a task that was preempted is not preempted again, by task index.
    pub(crate) protected_until: FixedMap<u32, ClockMillis>,
    /// Number of running tasks on each rack.
    pub(crate) tasks_by_rack: FixedMap<RackIndex, u32>,
    pub(crate) usage: UsageEstimate,
    /// Whether tasks are done that no progress record lists yet.
    pub(crate) has_unsaved_progress: bool,
    pub(crate) progress_saved_at: Option<ClockMillis>,
    pub(crate) gang_tried_at: Option<ClockMillis>,
    /// Team and urgency rank under which the job is listed as ready.
    ready_position: Option<(TeamIndex, usize)>,
}

impl JobEntry {
    pub(crate) fn new(
        record: Arc<JobRecord>,
        arrival: u64,
        team: TeamIndex,
        attempt_base: u32,
    ) -> Self {
        let task = TaskEntry { stage: TaskStage::Waiting, attempt: attempt_base };
        let mut tasks = vec![task; record.spec.tasks as usize];
        for index in &record.done {
            if let Some(task) = tasks.get_mut(*index as usize) {
                task.stage = TaskStage::Done;
            }
        }
        let is_waiting = |index: &u32| tasks[*index as usize].stage == TaskStage::Waiting;
        let pending: VecDeque<u32> = (0..record.spec.tasks).filter(is_waiting).collect();
        let waiting = u32::try_from(pending.len()).unwrap_or(u32::MAX);
        Self {
            done: record.spec.tasks - waiting,
            arrival,
            team,
            class: None,
            awaits_reports: false,
            tasks,
            pending,
            waiting,
            running: BTreeMap::new(),
            failed_workers: FixedMap::default(),
            protected_until: FixedMap::default(),
            tasks_by_rack: FixedMap::default(),
            usage: UsageEstimate::default(),
            has_unsaved_progress: false,
            progress_saved_at: None,
            gang_tried_at: None,
            ready_position: None,
            record,
        }
    }

    pub(crate) fn is_gang(&self) -> bool {
        self.class.is_some_and(|class| class.kind == ClassKind::Gang)
    }

    /// Returns the next task to start; drops entries of `pending` that do not wait any more.
    pub(crate) fn next_waiting(&mut self) -> Option<u32> {
        while let Some(index) = self.pending.front().copied() {
            if self.tasks[index as usize].stage == TaskStage::Waiting {
                return Some(index);
            }
            self.pending.pop_front();
        }
        None
    }

    /// Records that a task runs as the attempt `hold`.
    pub(crate) fn set_running(&mut self, index: u32, hold: HoldId, rack: RackIndex, attempt: u32) {
        let task = &mut self.tasks[index as usize];
        if task.stage == TaskStage::Waiting {
            self.waiting -= 1;
        }
        *task = TaskEntry { stage: TaskStage::Running(hold), attempt: task.attempt.max(attempt) };
        self.running.insert(index, hold);
        *self.tasks_by_rack.entry(rack).or_insert(0) += 1;
    }

    /// Records that a task does not run any more; it waits again unless it is done.
    pub(crate) fn clear_running(&mut self, index: u32, rack: RackIndex, done: bool) {
        self.running.remove(&index);
        if let Some(count) = self.tasks_by_rack.get_mut(&rack) {
            *count -= 1;
            if *count == 0 {
                self.tasks_by_rack.remove(&rack);
            }
        }
        if done {
            self.tasks[index as usize].stage = TaskStage::Done;
            self.done += 1;
        } else {
            self.tasks[index as usize].stage = TaskStage::Waiting;
            self.waiting += 1;
            self.pending.push_front(index);
        }
    }

    /// Marks a waiting task as done; returns false if the task does not wait.
    pub(crate) fn set_done(&mut self, index: u32) -> bool {
        let Some(task) = self.tasks.get_mut(index as usize) else { return false };
        if task.stage != TaskStage::Waiting {
            return false;
        }
        task.stage = TaskStage::Done;
        self.waiting -= 1;
        self.done += 1;
        true
    }

    pub(crate) fn done_indices(&self) -> Vec<u32> {
        if self.done == 0 {
            return Vec::new();
        }
        let tasks = self.tasks.iter().enumerate();
        tasks
            .filter(|(_, task)| task.stage == TaskStage::Done)
            .map(|(index, _)| u32::try_from(index).unwrap_or(u32::MAX))
            .collect()
    }

    pub(crate) fn is_done(&self) -> bool {
        self.done as usize == self.tasks.len()
    }
}

/// All jobs that have not ended, and which of them have tasks to start.
#[derive(Clone, Debug, Default)]
pub(crate) struct JobTable {
    pub(crate) jobs: FixedMap<JobId, JobEntry>,
    /// Ready jobs by team and urgency, in order of arrival.
    ready: Vec<[BTreeMap<u64, JobId>; 3]>,
    /// Number of ready jobs by urgency.
    ready_count: [usize; 3],
    /// Running tasks that workers reported before their job was submitted.
    pub(crate) orphans: FixedMap<JobId, Vec<HoldId>>,
    /// Tasks that were done before their job was submitted.
    pub(crate) early_completions: FixedMap<JobId, Vec<u32>>,
    /// Jobs that wait for all workers to report.
    pub(crate) awaiting_reports: Vec<JobId>,
    /// Jobs that ended most recently.
    ended: FixedSet<JobId>,
    ended_order: VecDeque<JobId>,
    arrivals: u64,
}

impl JobTable {
    pub(crate) fn next_arrival(&mut self) -> u64 {
        self.arrivals += 1;
        self.arrivals
    }

    /// Records a task that was done before its job was submitted.
    pub(crate) fn record_early_completion(&mut self, job: &JobId, index: u32) {
        if self.early_completions.len() < MAX_REMEMBERED_ENDED_JOBS
            || self.early_completions.contains_key(job)
        {
            self.early_completions.entry(job.clone()).or_default().push(index);
        }
    }

    pub(crate) fn has_ended(&self, job: &JobId) -> bool {
        self.ended.contains(job)
    }

    pub(crate) fn ended_jobs(&self) -> impl Iterator<Item = &JobId> {
        self.ended_order.iter()
    }

    /// Records that a job has ended; forgets the oldest if there are too many.
    pub(crate) fn record_ended(&mut self, job: &JobId) {
        if !self.ended.insert(job.clone()) {
            return;
        }
        self.ended_order.push_back(job.clone());
        if self.ended_order.len() > MAX_REMEMBERED_ENDED_JOBS
            && let Some(oldest) = self.ended_order.pop_front()
        {
            self.ended.remove(&oldest);
        }
    }

    pub(crate) fn remove(&mut self, id: &JobId) -> Option<JobEntry> {
        let mut job = self.jobs.remove(id)?;
        self.remove_from_ready(&mut job);
        Some(job)
    }

    /// Updates whether and where the job is listed as ready: it is while it has tasks
    /// that may start.
    pub(crate) fn refresh_ready(&mut self, id: &JobId) {
        let Self { jobs, ready, ready_count, .. } = self;
        let Some(job) = jobs.get_mut(id) else { return };
        let position = match job.class {
            Some(class) if job.waiting > 0 && !job.awaits_reports => {
                Some((job.team, urgency_rank(class.urgency)))
            }
            _ => None,
        };
        if job.ready_position == position {
            return;
        }
        if let Some((team, rank)) = job.ready_position {
            ready[team.0 as usize][rank].remove(&job.arrival);
            ready_count[rank] -= 1;
        }
        if let Some((team, rank)) = position {
            let position = team.0 as usize;
            if ready.len() <= position {
                ready.resize_with(position + 1, Default::default);
            }
            ready[position][rank].insert(job.arrival, id.clone());
            ready_count[rank] += 1;
        }
        job.ready_position = position;
    }

    fn remove_from_ready(&mut self, job: &mut JobEntry) {
        let Some((team, rank)) = job.ready_position.take() else { return };
        if self.ready[team.0 as usize][rank].remove(&job.arrival).is_some() {
            self.ready_count[rank] -= 1;
        }
    }

    pub(crate) fn ready_len(&self, urgency: UrgencyLevel) -> usize {
        self.ready_count[urgency_rank(urgency)]
    }

    /// Returns the ready jobs of a team and urgency rank in order of arrival.
    pub(crate) fn ready_jobs(
        &self,
        team: TeamIndex,
        rank: usize,
    ) -> impl Iterator<Item = (u64, &JobId)> {
        let lists = self.ready.get(team.0 as usize);
        let list = lists.map(|lists| &lists[rank]);
        list.into_iter().flatten().map(|(arrival, job)| (*arrival, job))
    }
}
