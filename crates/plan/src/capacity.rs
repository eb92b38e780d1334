//! Free capacity of pools and labels, limits of teams, and whether a step can run at all.

use std::collections::BTreeMap;

use arcstr::ArcStr;
use model::name::TeamName;
use model::resource::ResourceAmounts;

use crate::config::QueueRule;
use crate::job::{JobSpec, StepKey, StepSpec};
use crate::place::PlacementPass;
use crate::planner::Planner;
use crate::state::{Servability, WorkerState};

/// Free capacity of the workers of one pool.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct PoolCapacity {
    /// Decisions since the capacity was computed.
    pub(crate) decisions: usize,
    /// Workers on which tasks may be started.
    pub(crate) workers: usize,
    /// Capacity of these workers, whether free or not.
    pub(crate) total: ResourceAmounts,
    /// Capacity of these workers that runs occupy.
    pub(crate) occupied: ResourceAmounts,
    /// Largest free amount of each resource on any worker.
    pub(crate) largest_free: ResourceAmounts,
    /// Free capacity of all workers, less what steps earlier in the pass claimed for their
    /// advice requests.
    pub(crate) unclaimed: ResourceAmounts,
}

impl PoolCapacity {
    /// Returns whether runs occupy less than half of each resource.
    pub(crate) fn is_mostly_free(&self) -> bool {
        let amounts = self.occupied.as_array().into_iter().zip(self.total.as_array());
        amounts.filter(|(_, total)| *total > 0).all(|(occupied, total)| 2 * occupied < total)
    }
}

impl Planner {
    /// Returns whether tasks may be started on a worker now.
    pub(crate) fn can_start_on(&self, worker: &WorkerState) -> bool {
        worker.quarantined_until_ms <= self.now_ms
            && !worker.starts_held
            && self.is_schedulable(worker)
    }

    /// Returns whether tasks may be started on a worker now, or after its quarantine or hold.
    pub(crate) fn is_schedulable(&self, worker: &WorkerState) -> bool {
        worker.incarnation.is_some()
            && !worker.silent
            && !worker.deregistered
            && !worker.info.draining
            && !self.config.domains_out.contains(&worker.info.domain)
    }

    /// Computes the free capacity of a pool from all its workers.
    pub(crate) fn scan_pool(&self, pool: &ArcStr) -> PoolCapacity {
        let usable = self
            .workers
            .values()
            .filter(|worker| worker.info.pool == *pool && self.can_start_on(worker));
        usable.fold(PoolCapacity::default(), |capacity, worker| PoolCapacity {
            decisions: 0,
            workers: capacity.workers + 1,
            total: capacity.total.plus(worker.info.capacity),
            occupied: capacity.occupied.plus(worker.occupied),
            largest_free: capacity.largest_free.max(worker.free()),
            unclaimed: capacity.unclaimed.plus(worker.free()),
        })
    }

    /// Returns the capacity of the registered workers of a pool, whether they can be used now or not.
    pub(crate) fn registered_capacity(&self, pool: &ArcStr) -> ResourceAmounts {
        self.workers
            .values()
            .filter(|worker| worker.info.pool == *pool && !worker.deregistered)
            .fold(ResourceAmounts::ZERO, |sum, worker| sum.plus(worker.info.capacity))
    }

    /// Computes the free capacity of the workers of a pool that have a label.
    pub(crate) fn scan_label(&self, (pool, label): &(ArcStr, ArcStr)) -> ResourceAmounts {
        self.workers
            .values()
            .filter(|worker| worker.info.pool == *pool && worker.info.labels.contains(label))
            .filter(|worker| self.can_start_on(worker))
            .fold(ResourceAmounts::ZERO, |sum, worker| sum.plus(worker.free()))
    }

    /// Returns how many more tasks of a step the team's limit allows.
    pub(crate) fn remaining_team_tasks(
        &mut self,
        spec: &JobSpec,
        step: &StepSpec,
        pass: &mut PlacementPass,
    ) -> u32 {
        let Some(team) = &spec.team else { return u32::MAX };
        let unreported_usage =
            pass.unreported_usage.get_or_insert_with(|| self.count_unreported_usage());
        let unreported = unreported_usage.get(team).copied().unwrap_or_default();
        let claimed = pass.team_claims.get(team).copied().unwrap_or_default();
        self.count_team_tasks(team, step, unreported.plus(claimed))
    }

    /// Returns how many more tasks of a step the limit of a team allows beside its known runs and
    /// `further` use.
    pub(crate) fn count_team_tasks(
        &self,
        team: &TeamName,
        step: &StepSpec,
        further: ResourceAmounts,
    ) -> u32 {
        let limit = self.team_limit(team);
        let used = self.team_usage.get(team).copied().unwrap_or_default();
        fit_count(limit.minus(used).minus(further), step.amounts)
    }

    /// Returns what each team may use on workers that have not reported to this owner, and counts
    /// the jobs that are examined for it.
    fn count_unreported_usage(&mut self) -> BTreeMap<TeamName, ResourceAmounts> {
        if !self.unreported_workers.is_empty() {
            self.examined_jobs += self.inherited_jobs.len() as u64;
        }
        self.sum_unreported_usage()
    }

    /// Returns what each team may use on workers that have not reported to this owner.
    ///
    /// Only tasks of inherited jobs can run there that are not done and have no known run, and runs
    /// of finished jobs that are being stopped. Together they use no more than the capacity of these
    /// workers.
    pub(crate) fn sum_unreported_usage(&self) -> BTreeMap<TeamName, ResourceAmounts> {
        let mut usage: BTreeMap<TeamName, ResourceAmounts> = BTreeMap::new();
        if self.unreported_workers.is_empty() {
            return usage;
        }
        let capacity = self
            .unreported_workers
            .keys()
            .map(|name| {
                let worker = self.workers.get(name);
                worker.map_or(self.largest_inherited, |worker| worker.info.capacity)
            })
            .fold(ResourceAmounts::ZERO, ResourceAmounts::plus);
        for job in self.inherited_jobs.iter().filter_map(|id| self.jobs.get(id)) {
            let Some(team) = &job.spec.team else { continue };
            let waiting = usage.entry(team.clone()).or_default();
            for occurrence in job.occurrences.values() {
                for (spec, state) in job.spec.steps.iter().zip(&occurrence.steps) {
                    *waiting = waiting.plus(spec.amounts.times(u64::from(state.waiting)));
                }
            }
        }
        for remaining in self.remaining_runs.values() {
            let Some(team) = &remaining.team else { continue };
            let present = usage.entry(team.clone()).or_default();
            for (amounts, count) in &remaining.steps {
                *present = present.plus(amounts.times(u64::from(*count)));
            }
        }
        for waiting in usage.values_mut() {
            *waiting = waiting.min(capacity);
        }
        usage
    }

    /// Checks whether the known workers could run a step, or a whole gang, if they were all in use and
    /// free but for services, and keeps the result. A step that they cannot run is passed over until a
    /// worker has changed or, where that would help, a run of a service has ended.
    pub(crate) fn check_servable(
        &mut self,
        key: &StepKey,
        step: &StepSpec,
        rule: &QueueRule,
    ) -> bool {
        let (worker_changes, service_ends) = (self.worker_changes, self.service_ends);
        let Some(state) = self.step_state(key) else { return false };
        let known = state.servability.filter(|known| known.holds(worker_changes, service_ends));
        if let Some(known) = known {
            return known.is_servable;
        }
        let ineligible = &state.advice.ineligible;
        let workers = self
            .workers
            .values()
            .filter(|worker| is_suitable(step, rule, worker))
            .filter(|worker| !ineligible.contains(&worker.info.name));
        let (mut possible, mut possible_without_services) = (0_u32, 0_u32);
        for worker in workers {
            possible = possible.saturating_add(possible_tasks(step, worker));
            let tasks = max_tasks(step, worker.info.capacity);
            possible_without_services = possible_without_services.saturating_add(tasks);
        }
        let needed = if step.gang { step.count } else { 1 };
        let is_servable = possible >= needed;
        let is_blocked_by_services = !is_servable && possible_without_services >= needed;
        let service_ends = is_blocked_by_services.then_some(service_ends);
        if let Some(state) = self.step_mut(key) {
            state.servability = Some(Servability { is_servable, worker_changes, service_ends });
        }
        is_servable
    }
}

/// Returns how often `amounts` fits into `free`.
pub(crate) fn fit_count(free: ResourceAmounts, amounts: ResourceAmounts) -> u32 {
    let ratios = free
        .as_array()
        .into_iter()
        .zip(amounts.as_array())
        .filter(|(_, amount)| *amount > 0)
        .map(|(free, amount)| free / amount);
    ratios.min().unwrap_or(u64::from(u32::MAX)).try_into().unwrap_or(u32::MAX)
}

/// Returns whether a worker has what a step asks for, apart from capacity.
pub(crate) fn is_suitable(step: &StepSpec, rule: &QueueRule, worker: &WorkerState) -> bool {
    worker.info.pool == rule.pool
        && step.label.as_ref().is_none_or(|label| worker.info.labels.contains(label))
}

/// Returns the pool and the label of the workers that a step asks for; none without a label.
pub(crate) fn label_key(step: &StepSpec, rule: &QueueRule) -> Option<(ArcStr, ArcStr)> {
    step.label.as_ref().map(|label| (rule.pool.clone(), label.clone()))
}

/// Returns how many tasks of a step a suitable worker could run once its runs have ended, but for
/// those of services.
pub(crate) fn possible_tasks(step: &StepSpec, worker: &WorkerState) -> u32 {
    max_tasks(step, worker.releasable())
}

/// Returns how many tasks of a step fit into the free capacity of one worker.
pub(crate) fn max_tasks(step: &StepSpec, free: ResourceAmounts) -> u32 {
    let max_per_worker = if step.max_per_worker == 0 { u32::MAX } else { step.max_per_worker };
    fit_count(free, step.occupied_amounts()).min(max_per_worker)
}
