//! Jobs with the state of their tasks, and the jobs that wait.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use model::job::JobRecord;
use model::name::JobId;
use model::object::{ClassKind, UrgencyLevel};
use model::time::ClockMillis;
use smallvec::SmallVec;

use crate::catalog::rank;
use crate::hold::{HoldId, TaskClass};
use crate::index::WorkerIndex;
use crate::map::{FixedMap, FixedSet};
use crate::team::TeamIndex;
use crate::usage::UsageEstimate;
use crate::worker::RackIndex;

/// Ended jobs that are remembered, so that late notices of them start nothing;
/// about five days of jobs at the design size.
const MAX_REMEMBERED_ENDED_JOBS: usize = 65_536;

/// Where one task stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TaskStage {
    Waiting,
    Running(HoldId),
    Done,
}

/// One task of a job.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TaskEntry {
    pub(crate) stage: TaskStage,
    /// Highest attempt that was used.
    pub(crate) attempt: u32,
}

/// One job.
#[derive(Clone, Debug)]
pub(crate) struct JobEntry {
    pub(crate) record: Arc<JobRecord>,
    pub(crate) arrival: u64,
    pub(crate) team: TeamIndex,
    /// Unknown while the configuration has no queue for the job.
    pub(crate) class: Option<TaskClass>,
    /// Whether its tasks may run on workers that have not reported.
    pub(crate) awaits_reports: bool,
    pub(crate) tasks: Vec<TaskEntry>,
    /// Tasks to start; may list some that do not wait any more.
    pub(crate) pending: VecDeque<u32>,
    pub(crate) waiting: u32,
    pub(crate) done: u32,
    pub(crate) running: BTreeMap<u32, HoldId>,
    pub(crate) failed_workers: FixedMap<u32, SmallVec<[WorkerIndex; 6]>>,
    pub(crate) protected_until: FixedMap<u32, ClockMillis>,
    pub(crate) tasks_by_rack: FixedMap<RackIndex, u32>,
    pub(crate) usage: UsageEstimate,
    pub(crate) has_unsaved_progress: bool,
    pub(crate) progress_saved_at: Option<ClockMillis>,
    pub(crate) gang_tried_at: Option<ClockMillis>,
    /// Where the job is listed as ready.
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

    /// Returns the next task to start and drops entries that do not wait any more.
    pub(crate) fn next_waiting(&mut self) -> Option<u32> {
        while let Some(index) = self.pending.front().copied() {
            if self.tasks[index as usize].stage == TaskStage::Waiting {
                return Some(index);
            }
            self.pending.pop_front();
        }
        None
    }

    pub(crate) fn set_running(&mut self, index: u32, hold: HoldId, rack: RackIndex, attempt: u32) {
        let task = &mut self.tasks[index as usize];
        if task.stage == TaskStage::Waiting {
            self.waiting -= 1;
        }
        *task = TaskEntry { stage: TaskStage::Running(hold), attempt: task.attempt.max(attempt) };
        self.running.insert(index, hold);
        *self.tasks_by_rack.entry(rack).or_insert(0) += 1;
    }

    /// Takes a task off its worker; it waits again unless it ended well.
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

    /// Marks a waiting task as ended well.
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

/// All jobs, and which of them have tasks to start.
#[derive(Clone, Debug, Default)]
pub(crate) struct JobTable {
    pub(crate) jobs: FixedMap<JobId, JobEntry>,
    /// Ready jobs by team and urgency, in order of arrival.
    ready: Vec<[BTreeMap<u64, JobId>; 3]>,
    /// Number of ready jobs by urgency.
    ready_count: [usize; 3],
    /// Tasks that workers reported before their job was submitted.
    pub(crate) orphans: FixedMap<JobId, Vec<HoldId>>,
    /// Tasks that ended well before their job was submitted.
    pub(crate) early_completions: FixedMap<JobId, Vec<u32>>,
    /// Jobs that wait for all workers to report.
    pub(crate) awaiting_reports: Vec<JobId>,
    ended: FixedSet<JobId>,
    ended_order: VecDeque<JobId>,
    arrivals: u64,
}

impl JobTable {
    pub(crate) fn next_arrival(&mut self) -> u64 {
        self.arrivals += 1;
        self.arrivals
    }

    /// Remembers a task that ended well before its job was submitted.
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

    /// Lists the job as ready if it has tasks to start, and only then.
    pub(crate) fn refresh(&mut self, id: &JobId) {
        let Self { jobs, ready, ready_count, .. } = self;
        let Some(job) = jobs.get_mut(id) else { return };
        let position = match job.class {
            Some(class) if job.waiting > 0 && !job.awaits_reports => {
                Some((job.team, rank(class.urgency)))
            }
            _ => None,
        };
        if job.ready_position == position {
            return;
        }
        if let Some((team, level)) = job.ready_position {
            ready[team.0 as usize][level].remove(&job.arrival);
            ready_count[level] -= 1;
        }
        if let Some((team, level)) = position {
            let position = team.0 as usize;
            if ready.len() <= position {
                ready.resize_with(position + 1, Default::default);
            }
            ready[position][level].insert(job.arrival, id.clone());
            ready_count[level] += 1;
        }
        job.ready_position = position;
    }

    fn remove_from_ready(&mut self, job: &mut JobEntry) {
        let Some((team, level)) = job.ready_position.take() else { return };
        if self.ready[team.0 as usize][level].remove(&job.arrival).is_some() {
            self.ready_count[level] -= 1;
        }
    }

    pub(crate) fn ready_len(&self, urgency: UrgencyLevel) -> usize {
        self.ready_count[rank(urgency)]
    }

    /// Returns the ready jobs of a team in order of arrival.
    pub(crate) fn ready(
        &self,
        team: TeamIndex,
        level: usize,
    ) -> impl Iterator<Item = (u64, &JobId)> {
        let lists = self.ready.get(team.0 as usize);
        let list = lists.map(|lists| &lists[level]);
        list.into_iter().flatten().map(|(arrival, job)| (*arrival, job))
    }
}
