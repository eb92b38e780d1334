//! A simulated worker, whose tasks progress on the virtual clock.

use std::collections::BTreeMap;

use model::name::{BootId, TaskId, WorkerName};
use model::resource::ResourceAmounts;
use model::time::ClockMillis;
use policy::event::{EndKind, RunningTask, WorkerUpdate};

/// Milliseconds from the start of a task until reports contain its measured usage.
const USAGE_DELAY_MS: u64 = 3_000;

/// A task that runs on a simulated worker.
#[derive(Clone, Debug)]
pub struct SimulatedTask {
    /// Index of the job in the trace.
    pub job_index: usize,
    /// The task as reports list it, with what the cell reserves for it.
    pub running: RunningTask,
    /// What it really uses, which differs from what is reserved.
    pub actual_usage: ResourceAmounts,
    /// Milliseconds of work left at full speed.
    pub remaining_ms: f64,
    /// Milliseconds of work left when this attempt started.
    pub attempt_work_ms: f64,
    /// How it ends unless it is stopped.
    pub end_kind: EndKind,
    /// Whether it was ordered to stop.
    pub is_stopping: bool,
    /// When it started, on the virtual clock.
    pub started_at_ms: u64,
}

/// A simulated worker, whose tasks and requests share its processors and memory.
///
/// All tasks slow down alike when they use more than the worker has. When memory
/// is exhausted, tasks fail.
#[derive(Clone, Debug)]
pub struct SimulatedWorker {
    /// Index of its domain and of the cell that decides for the domain.
    pub cell_index: usize,
    /// Name in the configuration.
    pub name: WorkerName,
    /// What it offers.
    pub capacity: ResourceAmounts,
    /// Tasks that run or are being stopped.
    pub tasks: BTreeMap<TaskId, SimulatedTask>,
    /// Ended tasks that were not reported yet, with attempt and kind of end.
    pub unreported_ends: Vec<(TaskId, u32, EndKind)>,
    /// Number of requests that run.
    pub running_requests: u32,
    /// What each running request uses.
    pub request_usage: ResourceAmounts,
    /// Incremented when the next end is computed anew; an event that was scheduled
    /// under an older value is ignored.
    pub schedule_version: u64,
    /// Progress of the tasks relative to full speed, at most 1.
    speed: f64,
    /// Instant up to which the progress of the tasks is accounted for.
    advanced_at_ms: u64,
}

impl SimulatedWorker {
    /// Creates an idle worker.
    #[must_use]
    pub fn new(cell_index: usize, name: WorkerName, capacity: ResourceAmounts) -> Self {
        Self {
            cell_index,
            name,
            capacity,
            tasks: BTreeMap::new(),
            unreported_ends: Vec::new(),
            running_requests: 0,
            request_usage: ResourceAmounts::ZERO,
            schedule_version: 0,
            speed: 1.0,
            advanced_at_ms: 0,
        }
    }

    /// Returns what tasks and requests would use if the worker had enough.
    #[must_use]
    pub fn demand(&self) -> ResourceAmounts {
        let request_usage = self.request_usage.times(u64::from(self.running_requests));
        self.tasks.values().fold(request_usage, |sum, task| sum.plus(task.actual_usage))
    }

    /// Accounts for the progress of the tasks up to `now_ms`.
    #[expect(clippy::cast_precision_loss, reason = "a run is far shorter than 2^52 ms")]
    pub fn advance_tasks(&mut self, now_ms: u64) {
        let progress_ms = (now_ms - self.advanced_at_ms) as f64 * self.speed;
        self.advanced_at_ms = now_ms;
        for task in self.tasks.values_mut() {
            task.remaining_ms -= progress_ms;
        }
    }

    /// Removes and returns the tasks that have no work left.
    pub fn take_finished(&mut self) -> Vec<SimulatedTask> {
        let finished = self.tasks.values().filter(|task| task.remaining_ms < 0.5);
        let mut finished: Vec<TaskId> = finished.map(|task| task.running.task.clone()).collect();
        finished.sort();
        finished.iter().filter_map(|task| self.tasks.remove(task)).collect()
    }

    /// Removes and returns tasks until the others have enough memory.
    ///
    /// The task that exceeds its reserved memory most is removed first.
    pub fn take_oom_victims(&mut self) -> Vec<SimulatedTask> {
        let mut victims = Vec::new();
        while self.demand().memory_mb > self.capacity.memory_mb {
            let excess = |task: &SimulatedTask| {
                task.actual_usage.memory_mb.saturating_sub(task.running.amounts.memory_mb)
            };
            let victim = self.tasks.iter().max_by_key(|(_, task)| excess(task));
            let Some(task) = victim.map(|(task, _)| task.clone()) else { break };
            victims.extend(self.tasks.remove(&task));
        }
        victims
    }

    /// Updates the speed after a change and returns when the next task ends, if any.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "instants are positive and far below 2^52"
    )]
    pub fn schedule_next_end(&mut self) -> Option<u64> {
        self.schedule_version += 1;
        self.speed = 1.0 / self.demand().dominant_share(self.capacity).max(1.0);
        let remaining_ms =
            self.tasks.values().map(|task| task.remaining_ms).min_by(f64::total_cmp)?;
        Some(self.advanced_at_ms + (remaining_ms.max(0.0) / self.speed).ceil() as u64)
    }

    /// Returns the report of everything that runs, as the owner of the domain receives it.
    #[must_use]
    pub fn build_report(&self, now_ms: u64) -> WorkerUpdate {
        let running_tasks = self.tasks.values().map(|task| {
            let usage = if now_ms - task.started_at_ms < USAGE_DELAY_MS {
                ResourceAmounts::ZERO
            } else {
                task.actual_usage
            };
            RunningTask { usage, ..task.running.clone() }
        });
        WorkerUpdate {
            worker: self.name.clone(),
            boot: BootId::from("boot"),
            tasks: Some(running_tasks.collect()),
            slots_used: self.running_requests,
            leaving: false,
            sent_at: ClockMillis(now_ms),
        }
    }
}
