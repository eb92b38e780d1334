//! How long the runs of a queue take beside what their callers declared.
//!
//! Declared durations are rough. The median of the ratio between work and estimate, by queue,
//! corrects what a whole queue gets wrong; it does not tell which of its jobs is the long one.

use std::collections::BTreeMap;

use model::name::{QueueName, WorkerName};

use crate::job::TaskKey;
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

/// Running median of the ratio of one queue.
#[derive(Clone, Copy, Debug)]
struct RatioMedian {
    /// Natural logarithm of the ratio.
    log_ratio: f64,
    step: f64,
}

/// Typical ratio between the work of runs and their declared durations, by queue.
#[derive(Clone, Debug, Default)]
pub struct DurationTable {
    medians: BTreeMap<QueueName, RatioMedian>,
}

impl DurationTable {
    /// Records the work of a run, in milliseconds on a worker of the usual speed.
    #[expect(clippy::cast_precision_loss, reason = "runs take hours at most")]
    pub fn record(&mut self, queue: &QueueName, estimate_ms: u64, work_ms: f64) {
        if estimate_ms == 0 || work_ms <= 0.0 {
            return;
        }
        let ratio = (work_ms / estimate_ms as f64).clamp(1.0 / MAX_RATIO, MAX_RATIO);
        let median = self
            .medians
            .entry(queue.clone())
            .or_insert(RatioMedian { log_ratio: ratio.ln(), step: INITIAL_STEP });
        let difference = ratio.ln() - median.log_ratio;
        median.log_ratio += difference.clamp(-median.step, median.step);
        median.step = (median.step * STEP_DECAY).max(MIN_STEP);
    }

    /// Returns the expected work of a run with this estimate, in milliseconds on a worker of the
    /// usual speed. It is the estimate until a run of the queue has ended.
    #[must_use]
    #[expect(clippy::cast_precision_loss, reason = "runs take hours at most")]
    pub fn expected_ms(&self, queue: &QueueName, estimate_ms: u64) -> f64 {
        let ratio = self.medians.get(queue).map_or(1.0, |median| median.log_ratio.exp());
        estimate_ms as f64 * ratio
    }
}

impl Planner {
    /// Records how long a run took that has done its task from the beginning.
    ///
    /// The members of a gang end together and count once.
    #[expect(clippy::cast_precision_loss, reason = "runs take hours at most")]
    pub(crate) fn record_duration(&mut self, _worker: &WorkerName, end: &EndedRun, run: &RunState) {
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
        let elapsed_ms = self.now_ms.saturating_sub(started_ms) as f64;
        self.durations.record(&job.spec.queue, spec.estimate_ms, elapsed_ms);
    }
}
