//! A small fake of a worker: tasks that progress on a virtual clock.

use std::collections::BTreeMap;

use model::name::{BootId, TaskId, WorkerName};
use model::resource::ResourceAmounts;
use model::time::ClockMillis;
use policy::event::{EndKind, RunningTask, WorkerUpdate};

/// Milliseconds by which measured use lags.
const USAGE_DELAY_MS: u64 = 3_000;

/// A task on a fake worker.
#[derive(Clone, Debug)]
pub struct SimulatedTask {
    /// Position of the job in the workload.
    pub job_index: usize,
    /// What the cell reserves.
    pub running: RunningTask,
    /// What it really uses.
    pub actual_usage: ResourceAmounts,
    /// Milliseconds of work left.
    pub remaining_ms: f64,
    /// Milliseconds of work at the start of this attempt.
    pub attempt_work_ms: f64,
    /// How it ends by itself.
    pub end_kind: EndKind,
    /// Whether it was told to stop.
    pub is_stopping: bool,
    /// Start, in milliseconds.
    pub started_at_ms: u64,
}

/// A fake worker. Its tasks share its processors: when they use more than
/// there is, all of them slow down. When memory is exhausted, tasks fail.
#[derive(Clone, Debug)]
pub struct SimulatedWorker {
    /// Position of its domain.
    pub cell_index: usize,
    /// Name.
    pub name: WorkerName,
    /// What it offers.
    pub capacity: ResourceAmounts,
    /// Tasks that run.
    pub tasks: BTreeMap<TaskId, SimulatedTask>,
    /// Ends that were not reported yet.
    pub unreported_ends: Vec<(TaskId, u32, EndKind)>,
    /// Requests that run.
    pub running_requests: u32,
    /// What a request uses.
    pub request_usage: ResourceAmounts,
    /// Number of the last change; events of an earlier one are void.
    pub schedule_version: u64,
    speed: f64,
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

    /// Returns what tasks and requests would use if there were enough.
    #[must_use]
    pub fn demand(&self) -> ResourceAmounts {
        let request_usage = self.request_usage.times(u64::from(self.running_requests));
        self.tasks.values().fold(request_usage, |sum, task| sum.plus(task.actual_usage))
    }

    /// Lets the tasks progress until `now_ms`.
    #[expect(clippy::cast_precision_loss, reason = "a run is far shorter than 2^52 ms")]
    pub fn advance_tasks(&mut self, now_ms: u64) {
        let progress_ms = (now_ms - self.advanced_at_ms) as f64 * self.speed;
        self.advanced_at_ms = now_ms;
        for task in self.tasks.values_mut() {
            task.remaining_ms -= progress_ms;
        }
    }

    /// Removes the tasks that are finished by now.
    pub fn take_finished(&mut self) -> Vec<SimulatedTask> {
        let finished = self.tasks.values().filter(|task| task.remaining_ms < 0.5);
        let mut finished: Vec<TaskId> = finished.map(|task| task.running.task.clone()).collect();
        finished.sort();
        finished.iter().filter_map(|task| self.tasks.remove(task)).collect()
    }

    /// Removes tasks until the others have enough memory, those first that are
    /// furthest above their reservation.
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

    /// Sets the speed after a change and returns the instant of the next end.
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

    /// Returns a full report as the owner receives it.
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
