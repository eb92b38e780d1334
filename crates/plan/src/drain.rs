//! Workers that are about to leave, and moving runs off them in time.
//!
//! Whatever runs on a worker when it leaves is lost, and its task starts elsewhere only once the
//! lease of the worker has surely ended. A run that is stopped before resumes elsewhere at once.

use std::cmp::Reverse;
use std::collections::BTreeSet;

use model::name::WorkerName;

use crate::job::TaskKey;
use crate::planner::Planner;
use crate::state::{RunPhase, RunState, WorkerState};

/// Reason of stop orders for runs that are moved off a worker which leaves.
pub const STOP_REASON: &str = "worker-leaves";

/// Time before the earliest departure at which runs that save their progress are stopped, in
/// milliseconds: the longest time that a worker takes for a stop (900 ms on the deployments that
/// state the most), one decision (100 ms), and the order and the report of the end.
const STOP_LEAD_MS: u64 = 1_200;
/// Time before the latest departure from which no order is sent any more, in milliseconds: the
/// order, the stop and the report of the end would not be done before the worker has left.
const MIN_ORDER_MS: u64 = 300;
/// Delay between the end of a run and its report, in milliseconds.
const REPORT_DELAY_MS: f64 = 150.0;
/// Factor on the expected remaining time within which a run surely ends. Declared durations have
/// a spread of 0.5 to 0.9, and a lost run costs several times what a moved one does.
const SURE_END_FACTOR: f64 = 2.0;
/// Factor on the expected remaining time within which a run surely does not end.
const SURE_WORK_FACTOR: f64 = 0.5;
/// Expected remaining time of a run that has lasted longer than expected, as a part of the time
/// that it has lasted.
const OVERDUE_FACTOR: f64 = 1.0 / 3.0;
/// Part of the work of a run that resumes from saved progress which is expected to be left.
const RESUMED_PART: f64 = 0.5;
/// Shortest time between two examinations of the runs on workers that leave, in milliseconds.
const EXAMINE_INTERVAL_MS: u64 = 50;

/// Bounds of the time at which a worker leaves, on the planner's clock.
///
/// A registration does not say when it was written, so that its age is known within bounds only.
/// Those of several registrations are narrowed down together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct DepartureSpan {
    pub(crate) earliest_ms: u64,
    pub(crate) latest_ms: u64,
}

impl DepartureSpan {
    /// Returns what both spans allow, or the later one if the worker has changed its mind.
    fn narrow(self, later: Self) -> Self {
        let both = Self {
            earliest_ms: self.earliest_ms.max(later.earliest_ms),
            latest_ms: self.latest_ms.min(later.latest_ms),
        };
        if both.earliest_ms <= both.latest_ms { both } else { later }
    }
}

/// Workers that are about to leave.
#[derive(Debug, Default)]
pub(crate) struct LeavingWorkers {
    names: BTreeSet<WorkerName>,
    /// Time before which their runs are not examined again.
    next_examination_ms: u64,
}

impl LeavingWorkers {
    /// Removes a worker that has left, or that stays.
    pub(crate) fn remove(&mut self, name: &WorkerName) {
        self.names.remove(name);
    }
}

/// A run to be moved, with what decides which of several is moved first.
struct EarlyMove {
    priority: u32,
    elapsed_ms: u64,
    worker: WorkerName,
    task: TaskKey,
}

impl Planner {
    /// Records when a draining worker leaves, by its registration as it was set last: read at
    /// `read_ms`, and written at most `max_age_ms` before.
    pub fn record_departure(&mut self, name: &WorkerName, read_ms: u64, max_age_ms: u64) {
        let Some(worker) = self.workers.get_mut(name) else { return };
        let info = &worker.info;
        let Some(remaining_ms) = info.remaining_ms.filter(|_| info.draining) else {
            worker.departure = None;
            self.leaving_workers.remove(name);
            return;
        };
        let latest_ms = read_ms.saturating_add(remaining_ms);
        let span = DepartureSpan { earliest_ms: latest_ms.saturating_sub(max_age_ms), latest_ms };
        worker.departure = Some(worker.departure.map_or(span, |known| known.narrow(span)));
        if self.leaving_workers.names.insert(name.clone()) {
            self.leaving_workers.next_examination_ms = 0;
        }
    }

    /// Returns how many workers are about to leave at a known time.
    #[must_use]
    pub fn leaving_worker_count(&self) -> usize {
        self.leaving_workers.names.len()
    }

    /// Orders the stops of runs that would be lost with workers which leave, those of urgent
    /// queues first and among them those with the most work done.
    pub(crate) fn move_leaving_runs(&mut self) {
        let leaving = &mut self.leaving_workers;
        if !self.options.features.early_moves
            || leaving.names.is_empty()
            || self.now_ms < leaving.next_examination_ms
        {
            return;
        }
        leaving.next_examination_ms = self.now_ms + EXAMINE_INTERVAL_MS;
        let mut moves = self.find_early_moves();
        moves.sort_by(|left, right| {
            let order = |run: &EarlyMove| (run.priority, Reverse(run.elapsed_ms));
            order(left).cmp(&order(right))
        });
        for EarlyMove { worker, task, .. } in moves {
            if self.step_spec(&task.step).is_some_and(|spec| spec.gang) {
                self.stop_gang(&task.step, STOP_REASON);
            } else {
                self.stop_run(&worker, &task, STOP_REASON);
            }
        }
    }

    /// Returns the runs that have to be moved now. Nothing is ordered on a worker that does not
    /// answer, or that has too little time left.
    fn find_early_moves(&self) -> Vec<EarlyMove> {
        let mut moves = Vec::new();
        for name in &self.leaving_workers.names {
            let Some(worker) = self.workers.get(name).filter(|worker| !worker.silent) else {
                continue;
            };
            let Some(span) = worker.departure else { continue };
            if self.now_ms + MIN_ORDER_MS >= span.latest_ms {
                continue;
            }
            let running = worker.runs.iter().filter(|(_, run)| run.phase == RunPhase::Running);
            moves
                .extend(running.filter_map(|(task, run)| self.early_move(worker, span, task, run)));
        }
        moves
    }

    /// Returns a run as one to be moved; `None` if it may stay for now.
    ///
    /// A run that saves its progress loses nothing by a stop. It uses the worker for as long as
    /// the stop is in time, and stays if it surely ends. One that starts from zero elsewhere is
    /// moved only if it surely cannot end, and then at once. Past its expected end it may end at any
    /// time.
    #[expect(clippy::cast_precision_loss, reason = "times are far below 2^53 ms")]
    fn early_move(
        &self,
        worker: &WorkerState,
        span: DepartureSpan,
        task: &TaskKey,
        run: &RunState,
    ) -> Option<EarlyMove> {
        let job = self.jobs.get(&task.step.job)?;
        let step = job.spec.steps.get(task.step.step as usize)?;
        if step.service {
            return None;
        }
        let now = self.now_ms;
        let elapsed_ms =
            run.started_ms.or(run.confirmed_ms).map_or(0, |since| now.saturating_sub(since));
        let speed = if step.gang { self.gang_speed(&task.step) } else { worker.speed.factor };
        let work_ms = self.durations.expected_ms(&job.spec.queue, step.estimate_ms);
        let expected_ms = expected_duration_ms(work_ms / speed, run);
        let left_ms = expected_remaining_ms(expected_ms, elapsed_ms);
        let is_overdue = elapsed_ms as f64 > expected_ms;
        let is_moved = if step.checkpoint {
            let surely_ended_ms = now as f64 + left_ms * SURE_END_FACTOR + REPORT_DELAY_MS;
            now + STOP_LEAD_MS >= span.earliest_ms && surely_ended_ms > span.earliest_ms as f64
        } else {
            !is_overdue && now as f64 + left_ms * SURE_WORK_FACTOR > span.latest_ms as f64
        };
        let priority =
            self.config.queues.get(&job.spec.queue).map_or(u32::MAX, |rule| rule.priority);
        is_moved.then(|| EarlyMove {
            priority,
            elapsed_ms,
            worker: worker.info.name.clone(),
            task: task.clone(),
        })
    }
}

/// Returns the expected duration of a run, in milliseconds. Runs of its kind that start from the
/// beginning take `whole_ms` on its worker.
fn expected_duration_ms(whole_ms: f64, run: &RunState) -> f64 {
    if run.is_resumed { whole_ms * RESUMED_PART } else { whole_ms }
}

/// Returns the expected time until a run ends that has lasted for `elapsed_ms` of the expected
/// duration, in milliseconds.
#[expect(clippy::cast_precision_loss, reason = "times are far below 2^53 ms")]
fn expected_remaining_ms(expected_ms: f64, elapsed_ms: u64) -> f64 {
    let elapsed_ms = elapsed_ms as f64;
    (expected_ms - elapsed_ms).max(elapsed_ms * OVERDUE_FACTOR)
}
