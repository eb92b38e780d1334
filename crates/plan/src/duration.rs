//! How long the runs of a queue take beside what their callers declared.
//!
//! Declared durations are rough. The median of the ratio between work and estimate, by queue,
//! corrects what a whole queue gets wrong; it does not tell which of its jobs is the long one.

use std::collections::BTreeMap;

use model::name::{QueueName, WorkerName};

use crate::job::{StepKey, TaskKey};
use crate::planner::Planner;
use crate::state::RunState;
use crate::worker::{EndKind, EndedRun};

/// First step of the running median, in natural logarithms of the ratio.
const INITIAL_STEP: f64 = 0.25;
/// Smallest step, which bounds how fast the median follows a change.
const MIN_STEP: f64 = 0.02;
/// Factor on the step after each observation.
const STEP_DECAY: f64 = 0.98;
/// Largest accepted ratio between work and estimate, and the inverse of the smallest.
const MAX_RATIO: f64 = 100.0;

/// Running median of positive numbers.
#[derive(Clone, Copy, Debug)]
struct RunningMedian {
    /// Natural logarithm of the median.
    log_median: f64,
    step: f64,
}

impl RunningMedian {
    fn new(first: f64) -> Self {
        Self { log_median: first.ln(), step: INITIAL_STEP }
    }

    fn observe(&mut self, number: f64) {
        let difference = number.ln() - self.log_median;
        self.log_median += difference.clamp(-self.step, self.step);
        self.step = (self.step * STEP_DECAY).max(MIN_STEP);
    }

    fn get(self) -> f64 {
        self.log_median.exp()
    }
}

/// Durations of the runs of one queue.
#[derive(Clone, Copy, Debug)]
struct QueueDurations {
    /// Ratio between work and declared duration.
    ratio: RunningMedian,
    /// Work in milliseconds.
    work_ms: RunningMedian,
}

/// Typical ratio between the work of runs and their declared durations, by queue.
#[derive(Clone, Debug, Default)]
pub struct DurationTable {
    medians: BTreeMap<QueueName, QueueDurations>,
}

impl DurationTable {
    /// Records the work of a run, in milliseconds on a worker of the usual speed.
    #[expect(clippy::cast_precision_loss, reason = "runs take hours at most")]
    pub fn record(&mut self, queue: &QueueName, estimate_ms: u64, work_ms: f64) {
        if estimate_ms == 0 || work_ms <= 0.0 {
            return;
        }
        let ratio = (work_ms / estimate_ms as f64).clamp(1.0 / MAX_RATIO, MAX_RATIO);
        let queue = self.medians.entry(queue.clone()).or_insert_with(|| QueueDurations {
            ratio: RunningMedian::new(ratio),
            work_ms: RunningMedian::new(work_ms),
        });
        queue.ratio.observe(ratio);
        queue.work_ms.observe(work_ms);
    }

    /// Returns the median work of the queue's runs, in milliseconds on a worker of the usual speed;
    /// none until a run of the queue has ended.
    #[must_use]
    pub fn typical_ms(&self, queue: &QueueName) -> Option<f64> {
        self.medians.get(queue).map(|queue| queue.work_ms.get())
    }

    /// Returns whether a run of the queue has ended.
    #[must_use]
    pub fn has_runs(&self, queue: &QueueName) -> bool {
        self.medians.contains_key(queue)
    }

    /// Returns the expected work of a run with this estimate, in milliseconds on a worker of the
    /// usual speed. It is the estimate until a run of the queue has ended.
    #[must_use]
    #[expect(clippy::cast_precision_loss, reason = "runs take hours at most")]
    pub fn expected_ms(&self, queue: &QueueName, estimate_ms: u64) -> f64 {
        let ratio = self.medians.get(queue).map_or(1.0, |queue| queue.ratio.get());
        estimate_ms as f64 * ratio
    }
}

impl Planner {
    /// Records how long a run took that has done its task from the beginning.
    ///
    /// The members of a gang end together, with the slowest of them, and count once. Fillers run
    /// at the speed that other tasks leave them, so they say nothing about their worker.
    #[expect(clippy::cast_precision_loss, reason = "runs take hours at most")]
    pub(crate) fn record_duration(&mut self, worker: &WorkerName, end: &EndedRun, run: &RunState) {
        let Some(started_ms) = run.started_ms else { return };
        if end.kind != EndKind::Done || run.is_resumed {
            return;
        }
        let TaskKey { step, index } = &end.task;
        let Some(job) = self.jobs.get(&step.job) else { return };
        let Some(spec) = job.spec.steps.get(step.step as usize) else { return };
        if spec.gang && *index > 0 {
            return;
        }
        let (queue, estimate_ms) = (job.spec.queue.clone(), spec.estimate_ms);
        let (gang, compares) = (spec.gang, !spec.gang && !spec.filler && !spec.service);
        let elapsed_ms = self.now_ms.saturating_sub(started_ms) as f64;
        let speed = if gang { self.gang_speed(step) } else { self.speeds.speed(worker) };
        self.durations.record(&queue, estimate_ms, elapsed_ms * speed);
        if compares && self.options.features.worker_speed {
            self.record_run_time(worker, &end.task, &queue, elapsed_ms);
        }
    }

    /// Returns the speed of the slowest worker that runs a member of a gang.
    pub(crate) fn gang_speed(&self, key: &StepKey) -> f64 {
        let tasks = self.step_state(key).into_iter().flat_map(|state| &state.tasks);
        let workers =
            tasks.flat_map(|task| &task.runs).filter_map(|(name, _)| self.workers.get(name));
        let slowest = workers.map(|worker| worker.speed.factor).reduce(f64::min);
        slowest.unwrap_or(1.0)
    }
}
