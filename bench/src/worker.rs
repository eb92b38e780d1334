//! A small fake of a worker: tasks that progress on a virtual clock.

use std::collections::BTreeMap;

use model::name::{BootId, TaskId, WorkerName};
use model::resource::ResourceAmounts;
use model::time::ClockMillis;
use policy::event::{EndKind, RunningTask, WorkerUpdate};

/// Milliseconds by which measured use lags.
const USAGE_LAG_MS: u64 = 3_000;

/// A task on a fake worker.
#[derive(Clone, Debug)]
pub struct FakeTask {
    /// Position of the job in the workload.
    pub job: usize,
    /// What the cell reserves.
    pub running: RunningTask,
    /// What it really uses.
    pub actual: ResourceAmounts,
    /// Milliseconds of work left.
    pub left: f64,
    /// Milliseconds of work at the start of this attempt.
    pub total: f64,
    /// How it ends by itself.
    pub end: EndKind,
    /// Whether it was told to stop.
    pub stopping: bool,
    /// Start, in milliseconds.
    pub started_at: u64,
}

/// A fake worker. Its tasks share its processors: when they use more than
/// there is, all of them slow down. When memory is exhausted, tasks fail.
#[derive(Clone, Debug)]
pub struct FakeWorker {
    /// Position of its domain.
    pub cell: usize,
    /// Name.
    pub name: WorkerName,
    /// What it offers.
    pub capacity: ResourceAmounts,
    /// Tasks that run.
    pub tasks: BTreeMap<TaskId, FakeTask>,
    /// Ends that were not reported yet.
    pub ended: Vec<(TaskId, u32, EndKind)>,
    /// Requests that run.
    pub requests: u32,
    /// What a request uses.
    pub request: ResourceAmounts,
    /// Number of the last change; events of an earlier one are void.
    pub version: u64,
    rate: f64,
    advanced_at: u64,
}

impl FakeWorker {
    /// Creates an idle worker.
    #[must_use]
    pub fn new(cell: usize, name: WorkerName, capacity: ResourceAmounts) -> Self {
        Self {
            cell,
            name,
            capacity,
            tasks: BTreeMap::new(),
            ended: Vec::new(),
            requests: 0,
            request: ResourceAmounts::ZERO,
            version: 0,
            rate: 1.0,
            advanced_at: 0,
        }
    }

    /// Returns what tasks and requests would use if there were enough.
    #[must_use]
    pub fn load(&self) -> ResourceAmounts {
        let requests = self.request.times(u64::from(self.requests));
        self.tasks.values().fold(requests, |sum, task| sum.plus(task.actual))
    }

    /// Lets the tasks progress until `now`.
    #[expect(clippy::cast_precision_loss, reason = "a run is far shorter than 2^52 ms")]
    pub fn advance(&mut self, now: u64) {
        let work = (now - self.advanced_at) as f64 * self.rate;
        self.advanced_at = now;
        for task in self.tasks.values_mut() {
            task.left -= work;
        }
    }

    /// Removes the tasks that are done by now.
    pub fn take_done(&mut self) -> Vec<FakeTask> {
        let done = self.tasks.values().filter(|task| task.left < 0.5);
        let mut done: Vec<TaskId> = done.map(|task| task.running.task.clone()).collect();
        done.sort();
        done.iter().filter_map(|task| self.tasks.remove(task)).collect()
    }

    /// Removes tasks until the others have enough memory, those first that are
    /// furthest above their reservation.
    pub fn take_starved(&mut self) -> Vec<FakeTask> {
        let mut starved = Vec::new();
        while self.load().memory_mb > self.capacity.memory_mb {
            let excess = |task: &FakeTask| {
                task.actual.memory_mb.saturating_sub(task.running.amounts.memory_mb)
            };
            let worst = self.tasks.iter().max_by_key(|(_, task)| excess(task));
            let Some(task) = worst.map(|(task, _)| task.clone()) else { break };
            starved.extend(self.tasks.remove(&task));
        }
        starved
    }

    /// Sets the speed after a change and returns the instant of the next end.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "instants are positive and far below 2^52"
    )]
    pub fn next_end(&mut self) -> Option<u64> {
        self.version += 1;
        self.rate = 1.0 / self.load().dominant_share(self.capacity).max(1.0);
        let left = self.tasks.values().map(|task| task.left).min_by(f64::total_cmp)?;
        Some(self.advanced_at + (left.max(0.0) / self.rate).ceil() as u64)
    }

    /// Returns a full report as the owner receives it.
    #[must_use]
    pub fn report(&self, now: u64) -> WorkerUpdate {
        let listed = self.tasks.values().map(|task| {
            let usage = if now - task.started_at < USAGE_LAG_MS {
                ResourceAmounts::ZERO
            } else {
                task.actual
            };
            RunningTask { usage, ..task.running.clone() }
        });
        WorkerUpdate {
            worker: self.name.clone(),
            boot: BootId::from("boot"),
            tasks: Some(listed.collect()),
            slots_used: self.requests,
            leaving: false,
            sent_at: ClockMillis(now),
        }
    }
}
