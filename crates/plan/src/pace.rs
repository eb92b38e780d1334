//! Pace of fillers beside services with a target for their tail response time.
//!
//! How much a filler slows a service is not known beforehand and changes within seconds, so a filler
//! starts slowly and is sped up for as long as the tail stays well below the target. It stands still
//! as soon as the tail comes close to the target, and is then allowed less than before. What a worker
//! reports is compared with what was ordered, so that a lost or late order is sent again, also by a
//! later owner.

use model::name::WorkerName;

use crate::decision::{PaceOrder, PlanDecision};
use crate::job::TaskKey;
use crate::planner::Planner;
use crate::state::{RunPhase, SharingKind, WorkerState};
use crate::worker::RunReport;

/// Speed of a run that is not slowed, in per cent.
const FULL_PERCENT: u32 = 100;
/// Speed at which a filler starts beside a service, and by which it is sped up at a time, in per cent.
const PACE_STEP_PERCENT: u32 = 20;
/// Speed that a filler may always get while the tail is low, in per cent.
const MIN_CEILING_PERCENT: u32 = 5;
/// Tail response time from which fillers stand still, in per cent of the target. The platform's rules
/// allow some seconds above the target, and a report comes about every two seconds.
const MAX_TAIL_PERCENT: u32 = 85;
/// Tail response time up to which fillers may start beside a service or be sped up, in per cent of the
/// target.
const SAFE_TAIL_PERCENT: u32 = 65;

/// How fast a run should work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct RunSpeed {
    /// Wanted speed, in per cent of full speed.
    wanted: u32,
    /// Highest speed that it may get beside a service, in per cent.
    ceiling: u32,
}

impl RunSpeed {
    /// Returns the speed of a run that starts, which may slow services.
    pub(crate) const fn at_start(is_slowing: bool) -> Self {
        let wanted = if is_slowing { PACE_STEP_PERCENT } else { FULL_PERCENT };
        Self { wanted, ceiling: FULL_PERCENT }
    }

    /// Returns the speed of a run that an earlier owner has started.
    pub(crate) const fn reported(percent: u32) -> Self {
        Self { wanted: percent, ceiling: FULL_PERCENT }
    }

    /// Follows the tail of the services beside the run, in per cent of their targets. The run is sped
    /// up only from the speed that it is `reported` to have.
    fn follow_tail(&mut self, tail_percent: u32, reported: u32) {
        if tail_percent >= MAX_TAIL_PERCENT {
            if self.wanted > 0 {
                self.ceiling = (self.wanted / 2).max(MIN_CEILING_PERCENT);
            }
            self.wanted = 0;
        } else if tail_percent <= SAFE_TAIL_PERCENT && self.wanted == reported {
            self.wanted = (self.wanted + PACE_STEP_PERCENT).min(self.ceiling);
        }
    }
}

impl WorkerState {
    /// Returns whether fillers may start beside the services here.
    pub(crate) fn has_safe_tail(&self) -> bool {
        self.tail_percent.is_some_and(|tail| tail <= SAFE_TAIL_PERCENT)
    }
}

impl Planner {
    /// Orders the pace of the fillers on a worker from its report.
    pub(crate) fn pace_fillers(&mut self, name: &WorkerName, report: &RunReport) {
        let tail_percent = self.measure_tail(name, report);
        let Some(worker) = self.workers.get_mut(name) else { return };
        worker.tail_percent = tail_percent;
        if worker.filler_runs == 0 {
            return;
        }
        let has_services = worker.sensitive_runs > 0;
        for present in &report.running {
            let Some(run) = worker.runs.get_mut(&present.task) else { continue };
            let is_paced = run.sharing == SharingKind::Filler && run.phase == RunPhase::Running;
            if !is_paced || run.run != present.run {
                continue;
            }
            if !has_services {
                run.speed = RunSpeed::at_start(false);
            } else if let Some(tail) = tail_percent {
                run.speed.follow_tail(tail, present.speed_percent);
            }
            if run.speed.wanted != present.speed_percent {
                self.decisions.push(PlanDecision::Pace(PaceOrder {
                    worker: name.clone(),
                    task: present.task.clone(),
                    run: run.run,
                    percent: run.speed.wanted,
                }));
            }
        }
    }

    /// Orders the pace of a run that has started, if it is not to work at full speed.
    pub(crate) fn pace_started_run(&mut self, name: &WorkerName, task: &TaskKey) {
        let run = self.workers.get(name).and_then(|worker| worker.runs.get(task));
        if let Some(run) = run
            && run.speed.wanted != FULL_PERCENT
        {
            let (run, percent) = (run.run, run.speed.wanted);
            let order = PaceOrder { worker: name.clone(), task: task.clone(), run, percent };
            self.decisions.push(PlanDecision::Pace(order));
        }
    }

    /// Returns the highest tail response time of the services in a report, in per cent of their targets.
    fn measure_tail(&self, name: &WorkerName, report: &RunReport) -> Option<u32> {
        let worker = self.workers.get(name).filter(|worker| worker.sensitive_runs > 0)?;
        let tails = report.running.iter().filter_map(|present| {
            let run = worker.runs.get(&present.task)?;
            let is_measured =
                run.sharing == SharingKind::LatencySensitive && present.measurement > 0;
            let target_ms = self.step_spec(&present.task.step)?.tail_target_ms;
            let percent = present.measurement.saturating_mul(100) / u64::from(target_ms.max(1));
            is_measured.then(|| u32::try_from(percent).unwrap_or(u32::MAX))
        });
        tails.max()
    }
}
