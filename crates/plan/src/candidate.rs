//! Workers that can run tasks of a step now, and the choice between them.

use arcstr::ArcStr;
use model::name::WorkerName;
use model::resource::ResourceAmounts;

use crate::capacity;
use crate::config::QueueRule;
use crate::job::{StepKey, StepSpec, TaskKey};
use crate::place::PlacementPass;
use crate::planner::Planner;
use crate::speed::WorkerSpeed;
use crate::state::WorkerState;
use crate::suitability::{SpeedMatch, SpeedOrder};

/// A worker that can run tasks of a step.
#[derive(Clone, Debug)]
#[expect(clippy::struct_excessive_bools, reason = "each is an independent criterion")]
pub(crate) struct WorkerCandidate {
    pub(crate) name: WorkerName,
    /// Free capacity, less the tasks placed here in this pass.
    pub(crate) free: ResourceAmounts,
    /// Whether the worker is on the rack that holds the data of the step.
    pub(crate) near_data: bool,
    /// Whether fillers run here; they would slow a latency-sensitive service.
    pub(crate) has_fillers: bool,
    /// Whether latency-sensitive services run here; a filler would slow them.
    pub(crate) has_sensitive_runs: bool,
    pub(crate) rack: Option<ArcStr>,
    /// Whether a member of the gang failed there; others are preferred.
    pub(crate) avoided: bool,
    /// Ticket for the step; empty if it needs no advice.
    pub(crate) ticket: ArcStr,
    /// Tasks of the step that may still be placed here under [`StepSpec::max_per_worker`].
    pub(crate) remaining_tasks: u32,
    /// Advice requests in flight that name the worker.
    pub(crate) open_advice_requests: u32,
    /// Learned speed of the worker.
    pub(crate) speed: WorkerSpeed,
    /// Preference by speed, for the step of the candidate.
    pub(crate) speed_order: SpeedOrder,
    /// How well its speed matches the step's need; none if all workers are equal.
    pub(crate) speed_match: Option<SpeedMatch>,
}

/// Place of a candidate in the order of preference for one task: workers where it failed, fillers
/// beside a service or the reverse, other racks than that of the data, the order by speed, free
/// processor time.
pub(crate) type PlacePreference = (bool, bool, bool, SpeedOrder, u64);

impl WorkerCandidate {
    /// Returns how many tasks of the step can be placed here.
    pub(crate) fn placeable_tasks(&self, occupied: ResourceAmounts) -> u32 {
        capacity::fit_count(self.free, occupied).min(self.remaining_tasks)
    }

    /// Returns where the worker comes in the order in which tasks of a step are placed; smaller comes
    /// first. `is_avoided` says whether the task has failed here.
    pub(crate) const fn preference(&self, step: &StepSpec, is_avoided: bool) -> PlacePreference {
        let is_disturbed = (step.tail_target_ms > 0 && self.has_fillers)
            || (step.filler && self.has_sensitive_runs);
        (is_avoided, is_disturbed, !self.near_data, self.speed_order, self.free.cpu_millis)
    }

    /// Subtracts one task from what can be placed here.
    pub(crate) fn place_task(&mut self, occupied: ResourceAmounts) {
        self.free = self.free.minus(occupied);
        self.remaining_tasks -= 1;
    }
}

impl Planner {
    /// Returns the workers on which tasks of a step may start now.
    ///
    /// For a step that needs advice, only workers with a ticket are examined, and those whose
    /// ticket is valid are returned. Under overload thousands of steps wait, and examining every
    /// worker for each of them at each decision would take the owner longer than the tasks run.
    pub(crate) fn start_candidates(
        &mut self,
        key: &StepKey,
        step: &StepSpec,
        rule: &QueueRule,
        pass: &PlacementPass,
    ) -> Vec<WorkerCandidate> {
        if rule.advice.is_none() {
            return self.all_candidates(key, step, rule, pass);
        }
        let Some(state) = self.step_state(key) else { return Vec::new() };
        if state.advice.tickets_expire_ms <= self.now_ms {
            return Vec::new();
        }
        let mut candidates = Vec::new();
        for (name, ticket) in &state.advice.eligible {
            if ticket.expires_ms > self.now_ms
                && let Some(worker) = self.workers.get(name)
                && let Some(candidate) = self.candidate(key, step, rule, worker, pass)
            {
                candidates.push(WorkerCandidate { ticket: ticket.text.clone(), ..candidate });
            }
        }
        self.examined += state.advice.eligible.len() as u64;
        candidates
    }

    /// Returns all workers on which a task of a step fits.
    pub(crate) fn all_candidates(
        &mut self,
        key: &StepKey,
        step: &StepSpec,
        rule: &QueueRule,
        pass: &PlacementPass,
    ) -> Vec<WorkerCandidate> {
        self.examined += self.workers.len() as u64;
        self.find_candidates(key, step, rule, pass)
    }

    /// Returns all workers on which a task of a step fits, without counting those examined.
    pub(crate) fn find_candidates(
        &self,
        key: &StepKey,
        step: &StepSpec,
        rule: &QueueRule,
        pass: &PlacementPass,
    ) -> Vec<WorkerCandidate> {
        let workers = self.workers.values();
        workers.filter_map(|worker| self.candidate(key, step, rule, worker, pass)).collect()
    }

    /// Returns a worker as a candidate for a step; `None` if no task of the step fits there.
    pub(crate) fn candidate(
        &self,
        key: &StepKey,
        step: &StepSpec,
        rule: &QueueRule,
        worker: &WorkerState,
        pass: &PlacementPass,
    ) -> Option<WorkerCandidate> {
        let name = &worker.info.name;
        let fits = step.occupied_amounts().fits_in(worker.free())
            && capacity::is_suitable(step, rule, worker)
            && self.can_start_on(worker)
            && !pass.is_withheld(name);
        let may_disturb = pass.may_use_withheld && worker.has_safe_tail();
        let disturbs = step.filler && worker.sensitive_runs > 0 && !may_disturb;
        if !fits || disturbs {
            return None;
        }
        let remaining_tasks = if step.max_per_worker == 0 {
            u32::MAX
        } else {
            let here = worker.runs.keys().filter(|task| task.step == *key).count();
            step.max_per_worker.saturating_sub(u32::try_from(here).unwrap_or(u32::MAX))
        };
        let speed = worker.speed;
        (remaining_tasks > 0).then(|| WorkerCandidate {
            name: name.clone(),
            free: worker.free(),
            near_data: step.data_rack.is_some() && step.data_rack.as_ref() == worker.info.rack(),
            has_fillers: worker.filler_runs > 0,
            has_sensitive_runs: worker.sensitive_runs > 0,
            rack: worker.info.rack().cloned(),
            avoided: false,
            ticket: ArcStr::default(),
            remaining_tasks,
            open_advice_requests: worker.open_advice_requests,
            speed,
            speed_order: pass.speed_need.map_or_else(SpeedOrder::default, |need| need.order(speed)),
            speed_match: pass.speed_need.map(|need| need.match_with(speed)),
        })
    }

    /// Returns the index of the candidate on which a task should start.
    ///
    /// Avoids workers where the task failed, then fillers beside a service or the reverse, then racks
    /// without the data; among the rest it takes the slowest that is fast enough, and among equally fast
    /// ones that with the least free processor time.
    pub(crate) fn choose_candidate(
        &mut self,
        task: &TaskKey,
        step: &StepSpec,
        candidates: &[WorkerCandidate],
    ) -> Option<usize> {
        let avoided = self.task_mut(task)?.avoided.clone();
        let occupied = step.occupied_amounts();
        candidates
            .iter()
            .enumerate()
            .filter(|(_, candidate)| candidate.placeable_tasks(occupied) > 0)
            .min_by_key(|(_, candidate)| {
                candidate.preference(step, avoided.contains(&candidate.name))
            })
            .map(|(index, _)| index)
    }
}
