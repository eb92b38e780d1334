//! Runs that stand still on a worker that answers.
//!
//! Such a run holds its capacity until something else ends it. It is stopped and its task starts
//! elsewhere. The measurements are rough and a run that is judged wrongly loses its work, so that
//! it takes two reports without any use of the processor.

use std::collections::BTreeMap;

use arcstr::ArcStr;
use model::name::{JobId, WorkerName};

use crate::job::{StepKey, TaskKey};
use crate::planner::Planner;
use crate::report::{MAX_BLAMED_WORKERS, QUARANTINE_MS};
use crate::state::{RunPhase, RunState};
use crate::worker::{PresentRun, RunReport};

/// Reason of stop orders for runs that stand still.
pub const STOP_REASON: &str = "stalled";

/// Least time between the first and the last report of a stalled run, in milliseconds. A report
/// covers the last 500 ms, and may be some 100 ms under way.
const MIN_IDLE_MS: u64 = 900;
/// Time after its confirmed start within which a run may be idle, in milliseconds: the report's
/// 500 ms may cover time before the start.
const START_GRACE_MS: u64 = 1_000;
/// The same for a run that resumes: restoring its progress takes up to 600 ms on the deployments
/// that state the most.
const RESUME_GRACE_MS: u64 = 2_000;
/// Oldest report that is evidence, in milliseconds from its request: the longest poll and the
/// margin of its timeout. An owner that was suspended reads older ones.
const MAX_REPORT_AGE_MS: u64 = 2_400;
/// Time for which a report of processor use shows that a pool's workers measure it, in
/// milliseconds.
const MEASUREMENT_VALID_MS: u64 = 10_000;
/// Speed of a run that is not held back, in per cent.
const FULL_SPEED_PERCENT: u32 = 100;
/// Stops of one task, or of one gang, as stalled. A task that uses no processor on three workers
/// works that way, and would otherwise never end.
const MAX_STALLED_RUNS: u32 = 3;
/// Jobs with a stalled run on a worker, without a success in between, after which it gets no
/// starts.
const STALLED_JOBS_TO_QUARANTINE: usize = 2;
/// Part of a pool's workers that may get no starts because of stalled runs, as its inverse.
const POOL_PER_QUARANTINED: usize = 10;

/// First report in which a present run was idle since it last was not.
#[derive(Clone, Debug)]
pub(crate) struct IdleMark {
    run: u32,
    since_ms: u64,
    saved: ArcStr,
    /// Whether the run may wait for others: a member of a gang that has used the processor may
    /// have done its part, and the members end together.
    may_wait: bool,
}

impl IdleMark {
    fn is_long(&self, now_ms: u64) -> bool {
        now_ms >= self.since_ms + MIN_IDLE_MS
    }
}

/// What is known about stalled runs beyond a single worker.
#[derive(Debug, Default)]
pub(crate) struct StallRecord {
    /// When a worker of each pool last reported that a task used the processor.
    used_ms: BTreeMap<ArcStr, u64>,
    /// Workers that get no starts because of stalled runs, until these times.
    quarantined: BTreeMap<WorkerName, u64>,
}

impl Planner {
    /// Finds the stalled runs in a report that was requested at `sent_ms`, and orders their stops.
    pub(crate) fn stop_stalled_runs(
        &mut self,
        name: &WorkerName,
        report: &RunReport,
        sent_ms: u64,
    ) {
        if !self.options.features.early_moves {
            return;
        }
        if self.now_ms.saturating_sub(sent_ms) > MAX_REPORT_AGE_MS {
            // The report may have shown the runs at work since they were marked.
            if let Some(worker) = self.workers.get_mut(name) {
                worker.idle_runs.clear();
            }
            return;
        }
        self.record_processor_use(name, report);
        let stalled = self.find_stalled_runs(name, report);
        for (index, task) in stalled.iter().enumerate() {
            let is_first_of_step = stalled[..index].iter().all(|other| other.step != task.step);
            let is_counted = is_first_of_step || !self.is_gang(&task.step);
            self.record_stall(name, task, is_counted);
        }
        for task in &stalled {
            self.stop_run(name, task, STOP_REASON);
            self.stop_gang_members(task);
        }
    }

    /// Records that the workers of a pool measure the use of the processor. Where they do not,
    /// every run seems idle.
    fn record_processor_use(&mut self, name: &WorkerName, report: &RunReport) {
        let is_used = report.running.iter().any(|present| {
            let step = self.step_spec(&present.task.step);
            present.measurement > 0 && step.is_some_and(|step| !step.service)
        });
        let Some(worker) = self.workers.get(name).filter(|_| is_used) else { return };
        let now = self.now_ms;
        if let Some(used_ms) = self.stalls.used_ms.get_mut(&worker.info.pool) {
            *used_ms = now;
        } else {
            self.stalls.used_ms.insert(worker.info.pool.clone(), now);
        }
    }

    /// Marks the idle runs of a report, and returns those that have been idle long enough.
    fn find_stalled_runs(&mut self, name: &WorkerName, report: &RunReport) -> Vec<TaskKey> {
        let now = self.now_ms;
        let idle: Vec<_> = report
            .running
            .iter()
            .filter(|present| self.is_idle(name, present))
            .map(|present| (present, self.may_wait(name, &present.task)))
            .collect();
        let Some(worker) = self.workers.get_mut(name) else { return Vec::new() };
        if idle.is_empty() && worker.idle_runs.is_empty() {
            return Vec::new();
        }
        let mut earlier = std::mem::take(&mut worker.idle_runs);
        for (present, may_wait) in idle {
            let is_same = |mark: &IdleMark| mark.run == present.run && mark.saved == present.saved;
            let mark = earlier.remove(&present.task).filter(is_same).unwrap_or_else(|| IdleMark {
                run: present.run,
                since_ms: now,
                saved: present.saved.clone(),
                may_wait,
            });
            worker.idle_runs.insert(present.task.clone(), mark);
        }
        let Some(worker) = self.workers.get(name) else { return Vec::new() };
        let used_ms = self.stalls.used_ms.get(&worker.info.pool);
        if used_ms.is_none_or(|used_ms| now > used_ms + MEASUREMENT_VALID_MS) {
            return Vec::new();
        }
        let idle = || worker.idle_runs.iter().filter(|(_, mark)| mark.is_long(now));
        let is_judged = |task: &TaskKey| self.stalled_runs(task) < MAX_STALLED_RUNS;
        // A run that may wait is judged only beside a run of another job that should not. One that
        // has used up its stops works without the processor, and is no sign of a hanging worker.
        let is_beside_stalled = |task: &TaskKey| {
            idle().any(|(other, mark)| {
                other.step.job != task.step.job && !mark.may_wait && is_judged(other)
            })
        };
        let stalled = idle()
            .filter(|(task, mark)| is_judged(task) && (!mark.may_wait || is_beside_stalled(task)));
        stalled.map(|(task, _)| task.clone()).collect()
    }

    /// Returns whether a present run should be at work and used no processor time.
    ///
    /// Members of a gang may wait for those that have not started.
    fn is_idle(&self, name: &WorkerName, present: &PresentRun) -> bool {
        if present.measurement > 0 || present.speed_percent != FULL_SPEED_PERCENT {
            return false;
        }
        let Some(step) = self.step_spec(&present.task.step) else { return false };
        if step.service || step.filler || step.amounts.cpu_millis == 0 {
            return false;
        }
        if step.gang {
            return self.is_gang_at_work(&present.task.step);
        }
        let run = self.workers.get(name).and_then(|worker| worker.runs.get(&present.task));
        run.is_some_and(|run| run.run == present.run && self.is_at_work(run))
    }

    /// Returns whether a run may be idle because it waits for other members of its gang.
    fn may_wait(&self, name: &WorkerName, task: &TaskKey) -> bool {
        let run = self.workers.get(name).and_then(|worker| worker.runs.get(task));
        self.is_gang(&task.step) && run.is_none_or(|run| run.was_busy)
    }

    fn is_gang(&self, key: &StepKey) -> bool {
        self.step_spec(key).is_some_and(|spec| spec.gang)
    }

    /// Returns whether the run of every member of a gang should be at work.
    fn is_gang_at_work(&self, key: &StepKey) -> bool {
        let Some(state) = self.step_state(key) else { return false };
        (0_u32..).zip(&state.tasks).all(|(index, task)| {
            let key = TaskKey { step: key.clone(), index };
            task.runs.iter().any(|(name, number)| {
                let run = self.workers.get(name).and_then(|worker| worker.runs.get(&key));
                run.is_some_and(|run| run.run == *number && self.is_at_work(run))
            })
        })
    }

    fn is_at_work(&self, run: &RunState) -> bool {
        let grace_ms = if run.is_resumed { RESUME_GRACE_MS } else { START_GRACE_MS };
        let since_ms = run.started_ms.or(run.confirmed_ms);
        run.phase == RunPhase::Running
            && since_ms.is_some_and(|since_ms| self.now_ms >= since_ms + grace_ms)
    }

    /// Returns how often a task, or its gang, was stopped as stalled.
    fn stalled_runs(&self, task: &TaskKey) -> u32 {
        let Some(state) = self.step_state(&task.step) else { return 0 };
        if self.is_gang(&task.step) {
            return state.tasks.iter().map(|task| task.stalled_runs).sum();
        }
        state.tasks.get(task.index as usize).map_or(0, |task| task.stalled_runs)
    }

    /// Records a stalled run of a task, which prefers other workers for its next one.
    ///
    /// The run counts towards the bound of stops if `is_counted`: of the members of a gang that are
    /// stopped together, one does.
    fn record_stall(&mut self, name: &WorkerName, task: &TaskKey, is_counted: bool) {
        let is_blamed = !self.is_gang_idle_elsewhere(name, task);
        let Some(state) = self.task_mut(task) else { return };
        state.stalled_runs += u32::from(is_counted);
        if is_blamed {
            if !state.avoided.contains(name) {
                state.avoided.push(name.clone());
            }
            self.blame_for_stall(name, &task.step.job);
        }
    }

    /// Returns whether a member of the gang is idle on another worker as well: it is not known
    /// which of them holds up the others.
    fn is_gang_idle_elsewhere(&self, name: &WorkerName, task: &TaskKey) -> bool {
        let Some(state) = self.step_state(&task.step) else { return false };
        if !self.is_gang(&task.step) {
            return false;
        }
        (0_u32..).zip(&state.tasks).any(|(index, member)| {
            let key = TaskKey { step: task.step.clone(), index };
            member.runs.iter().filter(|(other, _)| other != name).any(|(other, _)| {
                self.workers.get(other).is_some_and(|worker| worker.idle_runs.contains_key(&key))
            })
        })
    }

    /// Counts a stalled run against its worker, with the bounds that hold for failed runs.
    fn blame_for_stall(&mut self, name: &WorkerName, id: &JobId) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        let Some(worker) = self.workers.get_mut(name) else { return };
        if !job.blamed_workers.contains(name) {
            if job.blamed_workers.len() >= MAX_BLAMED_WORKERS {
                return;
            }
            job.blamed_workers.push(name.clone());
        }
        let is_counted = worker.stalled_jobs.insert(id.clone());
        if is_counted && worker.stalled_jobs.len() >= STALLED_JOBS_TO_QUARANTINE {
            self.quarantine_for_stalls(name);
        }
    }

    /// Gives a worker no starts for some time, unless too much of its pool gets none already.
    fn quarantine_for_stalls(&mut self, name: &WorkerName) {
        let now = self.now_ms;
        let Some(pool) = self.workers.get(name).map(|worker| worker.info.pool.clone()) else {
            return;
        };
        let in_pool = |other: &WorkerName| {
            self.workers.get(other).is_some_and(|worker| worker.info.pool == pool)
        };
        self.stalls.quarantined.retain(|_, until_ms| *until_ms > now);
        let others = self.stalls.quarantined.keys().filter(|other| *other != name);
        let quarantined = 1 + others.filter(|other| in_pool(other)).count();
        let members = self
            .workers
            .values()
            .filter(|worker| worker.info.pool == pool && !worker.deregistered)
            .count();
        if quarantined * POOL_PER_QUARANTINED > members {
            return;
        }
        let until_ms = now + QUARANTINE_MS;
        self.stalls.quarantined.insert(name.clone(), until_ms);
        if let Some(worker) = self.workers.get_mut(name) {
            worker.quarantined_until_ms = worker.quarantined_until_ms.max(until_ms);
        }
    }
}
