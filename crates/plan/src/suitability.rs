//! Which workers are fast enough for a step, and the learning of speeds from its runs.

use std::collections::BTreeMap;

use arcstr::ArcStr;
use model::name::{QueueName, WorkerName};
use smallvec::SmallVec;

use crate::candidate::WorkerCandidate;
use crate::config::QueueRule;
use crate::gang::PackFunction;
use crate::job::{JobSpec, StepSpec, TaskKey};
use crate::order::{self, RankClass};
use crate::place::WaitingStep;
use crate::planner::Planner;
use crate::speed::{RunTime, SpeedChanges, SpeedClass, SpeedTable, StepWork, WorkerSpeed};

/// Factor on the expected duration of a run. A step is done with its longest task: nine of ten
/// steps of 3 to 25 tasks whose durations spread by 0.15 to 0.2 end within this.
const RUN_TIME_MARGIN: f64 = 1.4;
/// Time between the decision and the start of the run, and between its end and the report of it,
/// in milliseconds.
const START_AND_REPORT_MS: u64 = 100;
/// Part of a step's tasks, as a divisor, that may be unfinished when its work is derived. The work
/// of the others is known to be longer, which is enough for the median; waiting for the last task
/// would take as long as a straggler.
const UNFINISHED_DIVISOR: usize = 4;

/// How fast workers have to be for the tasks of a step.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct SpeedNeed {
    /// Least factor on the usual speed with which the step is expected to be in time; 0 if the
    /// speed does not matter.
    pub(crate) least_factor: f64,
}

/// Place of a worker in the order of preference by speed; smaller comes first.
pub(crate) type SpeedOrder = (bool, i8);

impl SpeedNeed {
    /// Returns whether a worker is fast enough.
    pub(crate) fn is_met_by(self, speed: WorkerSpeed) -> bool {
        speed.factor >= self.least_factor
    }

    /// Returns where a worker comes in the order of preference: the slowest first that is fast
    /// enough, then the fastest of the others.
    ///
    /// Work that is late anyway takes the slowest workers, so that the fast ones stay free.
    pub(crate) fn order(self, speed: WorkerSpeed) -> SpeedOrder {
        if self.is_met_by(speed) { (false, speed.level) } else { (true, -speed.level) }
    }

    /// Returns how well the speed of a worker matches the need.
    ///
    /// That most workers are equally good spreads the advice requests over them. Requests that
    /// named the slowest or the fastest first would get tickets for the same capacity.
    pub(crate) fn match_with(self, speed: WorkerSpeed) -> SpeedMatch {
        let usual_is_enough = self.least_factor <= 1.0;
        if !self.is_met_by(speed) {
            SpeedMatch::TooSlow
        } else if usual_is_enough && speed.level > 0 {
            SpeedMatch::Quicker
        } else {
            SpeedMatch::Good
        }
    }
}

/// How well the speed of a worker matches what a step needs; the best comes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum SpeedMatch {
    /// Fast enough, and not faster than usual where usual workers are fast enough.
    Good,
    /// Faster than usual where usual workers are fast enough.
    Quicker,
    /// Too slow for the step to be in time.
    TooSlow,
}

impl Planner {
    /// Returns how fast workers have to be for the tasks of a step so that its job is in time, or
    /// before nobody waits for it any more if it is late. Returns `None` on a fleet of equal workers.
    ///
    /// The job's due time, a call for advice that has to come first, and the declared duration of
    /// the later steps leave the step an amount of time. A service has no end, and answers its users
    /// at the speed of its worker. For other work, every worker is fast enough.
    #[expect(clippy::cast_precision_loss, reason = "times are days at most")]
    pub(crate) fn speed_need(&self, waiting: &WaitingStep<'_>) -> Option<SpeedNeed> {
        let WaitingStep { rank, key, spec, rule, .. } = waiting;
        if self.speeds.is_uniform() {
            return None;
        }
        let step = &spec.steps[key.step as usize];
        if step.service {
            return Some(SpeedNeed { least_factor: 1.0 });
        }
        let due_ms = match rank.class {
            RankClass::OnTime | RankClass::Deferrable => rank.due_ms,
            RankClass::Late => {
                let objective_ms = order::objective_ms(spec, rule);
                rank.due_ms + (order::EXPIRED_OBJECTIVE_FACTOR - 1) * objective_ms
            }
            RankClass::BeyondShare | RankClass::Expired => return Some(SpeedNeed::default()),
        };
        let call_ms = if waiting.has_tickets { 0.0 } else { waiting.call_ms };
        let later_ms = later_path_ms(spec, rule, key.step as usize);
        let left_ms = due_ms.saturating_sub(self.now_ms + later_ms + START_AND_REPORT_MS);
        let left_ms = (left_ms as f64 - call_ms).max(1.0);
        let least_factor = |work_ms: f64, left_ms: f64| work_ms * RUN_TIME_MARGIN / left_ms;
        if let Some(log_ms) = self.step_state(key).and_then(|state| state.work.log_ms) {
            return Some(SpeedNeed { least_factor: least_factor(log_ms.exp(), left_ms) });
        }
        let expected_ms = self.durations.expected_ms(&spec.queue, step.estimate_ms);
        let expected = least_factor(expected_ms, left_ms);
        // The due time follows from the estimate, which may be far off. A step whose work is that
        // of most of its queue is in time as well, with the due time that this work deserves.
        let typical = self.durations.typical_ms(&spec.queue).map_or(0.0, |typical_ms| {
            let added_ms = rule.stretch * (typical_ms - step.estimate_ms as f64);
            least_factor(typical_ms, (left_ms + added_ms).max(1.0))
        });
        Some(SpeedNeed { least_factor: expected.max(typical.min(1.0)) })
    }

    /// Records the duration of a done run of a step whose tasks end one by one.
    pub(crate) fn record_run_time(
        &mut self,
        worker: &WorkerName,
        task: &TaskKey,
        queue: &QueueName,
        elapsed_ms: f64,
    ) {
        let Some(spec) = self.step_spec(&task.step) else { return };
        let estimate_ms = spec.estimate_ms;
        let Some(state) = self.step_mut(&task.step) else { return };
        let run = RunTime { worker: worker.clone(), log_ms: elapsed_ms.max(1.0).ln() };
        if let Some(log_work) = state.work.log_ms {
            if state.work.only_worker.as_ref() == Some(worker) {
                return;
            }
            let others = state.tasks.len() - 1;
            self.speeds.record_run(worker, run.log_ms, log_work, others);
            self.apply_speed(worker);
            self.apply_usual_speed();
            return;
        }
        state.work.ended.push(run);
        let unfinished = state.unfinished as usize;
        if unfinished * UNFINISHED_DIVISOR > state.tasks.len() {
            return;
        }
        let mut runs = std::mem::take(&mut state.work.ended);
        let others = state.tasks.iter().zip(0_u32..).filter(|(_, index)| *index != task.index);
        let present =
            others.filter(|(task, _)| !task.done).filter_map(|(task, _)| task.runs.first());
        let present: Vec<_> = present
            .map(|(name, _)| RunTime { worker: name.clone(), log_ms: f64::INFINITY })
            .collect();
        // Estimates of workers that are gone would never be removed.
        runs.retain(|run| self.workers.contains_key(&run.worker));
        let ended = runs.len();
        runs.extend(present);
        let is_single = runs.iter().all(|run| run.worker == *worker);
        let log_work = self.speeds.record_step(&runs);
        if is_single && self.durations.has_runs(queue) {
            let expected_ms = self.durations.expected_ms(queue, estimate_ms).max(1.0);
            self.speeds.record_run(worker, runs[ended / 2].log_ms, expected_ms.ln(), 0);
        }
        for run in &runs {
            self.apply_speed(&run.worker);
        }
        self.apply_usual_speed();
        runs.truncate(ended);
        if let Some(state) = self.step_mut(&task.step) {
            // Without a comparison, later runs of the step may still allow one.
            let kept = if log_work.is_some() { Vec::new() } else { runs };
            let only_worker = is_single.then(|| worker.clone());
            state.work = StepWork { ended: kept, log_ms: log_work, only_worker };
        }
    }

    /// Takes over the speeds of registered workers that an earlier owner has learned, in per mille of
    /// the usual speed.
    pub fn restore_speeds(&mut self, speeds: &BTreeMap<WorkerName, u32>) {
        if !self.options.features.worker_speed {
            return;
        }
        for (name, per_mille) in speeds {
            if self.workers.contains_key(name) {
                self.speeds.restore(name, *per_mille);
                self.apply_speed(name);
            }
        }
        self.speeds.update_quick_factor(self.workers.len());
    }

    /// Returns the learned speeds of the workers.
    #[must_use]
    pub const fn speeds(&self) -> &SpeedTable {
        &self.speeds
    }

    /// Returns the number of registered workers by class.
    #[must_use]
    pub fn count_by_speed(&self) -> [(SpeedClass, usize); 3] {
        let slow = self.speeds.count_in_class(SpeedClass::Slow);
        let quick = self.speeds.count_in_class(SpeedClass::Quick);
        let usual = self.workers.len().saturating_sub(slow + quick);
        [(SpeedClass::Slow, slow), (SpeedClass::Usual, usual), (SpeedClass::Quick, quick)]
    }

    /// Returns the changes of workers' classes since the last call.
    pub fn take_speed_changes(&mut self) -> SpeedChanges {
        self.speeds.take_changes()
    }

    /// Copies the learned speed of a worker to its state, where placement finds it without a
    /// search.
    pub(crate) fn apply_speed(&mut self, name: &WorkerName) {
        let speed = self.speeds.worker_speed(name);
        if let Some(worker) = self.workers.get_mut(name) {
            worker.speed = speed;
        }
    }

    /// Corrects the usual speed from time to time, and copies all speeds if it has changed.
    fn apply_usual_speed(&mut self) {
        if self.speeds.shift_usual_speed(self.workers.len()) {
            for (name, worker) in &mut self.workers {
                worker.speed = self.speeds.worker_speed(name);
            }
        }
    }
}

/// Returns the declared work and the calls for advice of the steps that wait for a step, on the
/// longest path, in milliseconds.
fn later_path_ms(spec: &JobSpec, rule: &QueueRule, step: usize) -> u64 {
    let mut ends: SmallVec<[Option<u64>; 4]> = SmallVec::new();
    for (index, later) in spec.steps.iter().enumerate() {
        let before = later.after.iter().filter_map(|step| ends.get(*step as usize).copied());
        let start = before.flatten().max();
        ends.push(if index == step {
            Some(0)
        } else {
            start.map(|start_ms| start_ms + order::step_ms(later, rule))
        });
    }
    ends.into_iter().flatten().max().unwrap_or(0)
}

/// Candidates from which the members of a gang are chosen.
#[derive(Clone, Copy, Debug)]
struct GangGroup {
    slowest_level: i8,
    fastest_level: i8,
    /// Whether candidates are left out that are too slow for the gang to be in time.
    is_in_time: bool,
    /// Whether candidates are let in on which a member has failed.
    includes_avoided: bool,
}

impl GangGroup {
    fn contains(self, candidate: &WorkerCandidate) -> bool {
        (self.slowest_level..=self.fastest_level).contains(&candidate.speed.level)
            && (!self.is_in_time || !candidate.speed_order.0)
            && (self.includes_avoided || !candidate.avoided)
    }

    /// Places a gang on candidates of the group; returns `None` if they have too little room.
    fn pack(
        self,
        step: &StepSpec,
        candidates: &[WorkerCandidate],
        pack: PackFunction,
    ) -> Option<Vec<(WorkerName, ArcStr)>> {
        let occupied = step.occupied_amounts();
        let members = || candidates.iter().filter(|candidate| self.contains(candidate));
        let placeable = members().map(|candidate| candidate.placeable_tasks(occupied));
        let is_enough = placeable.fold(0_u32, u32::saturating_add) >= step.count;
        is_enough.then(|| pack(step, members().collect())).flatten()
    }
}

/// Places a gang on a group of candidates of similar speed: the slowest group with which it is in
/// time; without one, the group whose slowest member is the fastest. Candidates on which a member
/// has failed come in only if no group without them has room.
pub(crate) fn find_gang_group(
    step: &StepSpec,
    candidates: &[WorkerCandidate],
    pack: PackFunction,
) -> Option<Vec<(WorkerName, ArcStr)>> {
    let mut levels: SmallVec<[i8; 8]> =
        candidates.iter().map(|candidate| candidate.speed.level).collect();
    levels.sort_unstable();
    levels.dedup();
    let (slowest_level, fastest_level) = (*levels.first()?, *levels.last()?);
    [false, true].into_iter().find_map(|includes_avoided| {
        let all = GangGroup { slowest_level, fastest_level, is_in_time: false, includes_avoided };
        let in_time = GangGroup { is_in_time: true, ..all };
        let similar = levels.iter().map(|level| GangGroup {
            slowest_level: *level,
            fastest_level: level.saturating_add(1),
            ..in_time
        });
        let fastest = levels.iter().rev().map(|level| GangGroup { slowest_level: *level, ..all });
        similar.chain([in_time]).chain(fastest).find_map(|group| group.pack(step, candidates, pack))
    })
}
