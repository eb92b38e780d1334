//! Placement of gangs, which start as a whole, and the workers that are reserved for them.

use std::cmp::Reverse;
use std::collections::BTreeSet;
use std::sync::Arc;

use arcstr::ArcStr;
use model::name::WorkerName;

use crate::candidate::WorkerCandidate;
use crate::capacity;
use crate::config::QueueRule;
use crate::job::{JobSpec, StepKey, StepSpec, TaskKey};
use crate::order::JobRank;
use crate::place::PlacementPass;
use crate::planner::Planner;
use crate::suitability::{self, SpeedNeed};

/// Longest time for which workers are reserved for such a gang, in milliseconds.
const MAX_RESERVATION_MS: u64 = 15_000;

impl Planner {
    /// Starts a gang if all of it fits; otherwise requests advice and reserves workers for it.
    pub(crate) fn place_gang(
        &mut self,
        rank: JobRank,
        key: &StepKey,
        spec: &Arc<JobSpec>,
        rule: &QueueRule,
        allowed_tasks: u32,
        pass: &mut PlacementPass,
    ) {
        let step = &spec.steps[key.step as usize];
        let all_waiting = self.step_mut(key).is_some_and(|state| state.waiting == step.count);
        if !all_waiting || allowed_tasks < step.count {
            return;
        }
        let mut candidates = self.start_candidates(key, step, rule, pass);
        let avoided = self.avoided_by_gang(key);
        for candidate in &mut candidates {
            candidate.avoided = avoided.contains(&candidate.name);
        }
        if let Some(places) = pack_gang(step, &candidates) {
            let run = self.next_gang_run(key);
            if let Some(state) = self.step_mut(key) {
                state.advice.unused_answers = 0;
                state.advice.reserving_since_ms = None;
            }
            for (index, (name, ticket)) in (0_u32..).zip(places) {
                let task = TaskKey { step: key.clone(), index };
                self.start_task(&task, spec, &name, ticket, Some(run));
            }
            return;
        }
        if !self.check_servable(key, step, rule) {
            return;
        }
        if rule.advice.is_some() && pass.may_request_gang_advice(&rule.pool) {
            self.request_advice_within_capacity(key, step, rule, step.count, pass);
        }
        let others = pass.reserved.clone();
        if rule.advice.is_some()
            && let Some(state) = self.step_mut(key)
            && state.advice.requested_ms.is_some()
        {
            pass.gang_advice_requests += 1;
            pass.reserved.extend(state.advice.reserved_workers.iter().cloned());
        }
        let is_reserving = pass.reserving_gang.as_ref() == Some(key);
        if is_reserving || pass.may_reserve(rank) {
            pass.reservation_attempts += 1;
            let need = pass.speed_need;
            if self.reserve_workers(key, step, rule, need, &mut pass.reserved) {
                pass.reserved_gangs += usize::from(!is_reserving);
            }
        }
        let own = pass.reserved.difference(&others).cloned().collect();
        pass.own_reserved.insert(key.clone(), own);
    }

    /// Ends the reservation of a gang that has not started for a long time after this decision: its
    /// workers may be busy for good, and other gangs wait for theirs.
    pub(crate) fn limit_reservation(&mut self, key: &StepKey) {
        let now = self.now_ms;
        let Some(state) = self.step_mut(key) else { return };
        let since_ms = *state.advice.reserving_since_ms.get_or_insert(now);
        if now.saturating_sub(since_ms) >= MAX_RESERVATION_MS {
            state.advice.reserving_since_ms = None;
            state.advice.unused_answers = 0;
        }
    }

    /// Returns the workers on which a member of a gang has failed.
    pub(crate) fn avoided_by_gang(&self, key: &StepKey) -> BTreeSet<WorkerName> {
        let tasks = self.step_state(key).into_iter().flat_map(|state| &state.tasks);
        tasks.flat_map(|task| task.avoided.iter().cloned()).collect()
    }

    /// Reserves enough workers for a gang, so that steps later in the pass leave them alone.
    ///
    /// Chooses those that are fast enough and have the most free processor time. Returns false, and
    /// reserves none, if there are not enough.
    pub(crate) fn reserve_workers(
        &self,
        key: &StepKey,
        step: &StepSpec,
        rule: &QueueRule,
        need: Option<SpeedNeed>,
        reserved: &mut BTreeSet<WorkerName>,
    ) -> bool {
        let Some(state) = self.step_state(key) else {
            return false;
        };
        let mut workers: Vec<_> = self
            .workers
            .values()
            .filter(|worker| {
                capacity::is_suitable(step, rule, worker) && self.is_schedulable(worker)
            })
            .filter(|worker| !reserved.contains(&worker.info.name))
            .filter(|worker| {
                rule.advice.is_none() || state.advice.eligible.contains_key(&worker.info.name)
            })
            .collect();
        workers.sort_by_key(|worker| {
            let is_too_slow = need.is_some_and(|need| !need.is_met_by(worker.speed));
            (is_too_slow, Reverse(worker.free().cpu_millis))
        });
        let mut reservable_tasks = 0_u32;
        let mut names = Vec::new();
        for worker in workers {
            if reservable_tasks >= step.count {
                break;
            }
            reservable_tasks =
                reservable_tasks.saturating_add(capacity::possible_tasks(step, worker));
            names.push(worker.info.name.clone());
        }
        let is_enough = reservable_tasks >= step.count;
        if is_enough {
            reserved.extend(names);
        }
        is_enough
    }

    /// Returns the run number that all members of a gang share in its next run.
    pub(crate) fn next_gang_run(&mut self, key: &StepKey) -> u32 {
        let first_run = self.first_run;
        let Some(state) = self.step_mut(key) else { return first_run };
        let last_run = state.tasks.iter().map(|task| task.last_run).max().unwrap_or(0);
        (last_run + 1).max(first_run)
    }
}

/// Returns a worker and its ticket for each member of a gang; `None` if the gang does not fit.
///
/// A gang that should share a rack is placed on one rack if one has the capacity. A gang is as fast
/// as its slowest member, so it is placed on workers of similar speed where the speeds differ. One
/// that reads data from a rack is not: reading them from elsewhere costs it more than any speed.
pub(crate) fn pack_gang(
    step: &StepSpec,
    candidates: &[WorkerCandidate],
) -> Option<Vec<(WorkerName, ArcStr)>> {
    let is_uniform = candidates.windows(2).all(|pair| pair[0].speed.level == pair[1].speed.level);
    let packs: &[PackFunction] =
        if step.same_rack { &[pack_on_rack, pack_tasks] } else { &[pack_tasks] };
    packs.iter().find_map(|pack| {
        if is_uniform || step.data_rack.is_some() {
            return pack(step, candidates.iter().collect());
        }
        suitability::find_gang_group(step, candidates, *pack)
    })
}

/// A way to place all tasks of a gang on some workers.
pub(crate) type PackFunction =
    fn(&StepSpec, Vec<&WorkerCandidate>) -> Option<Vec<(WorkerName, ArcStr)>>;

/// Packs all tasks of a step onto candidates of one rack; returns `None` if no rack has room.
#[expect(clippy::needless_pass_by_value, reason = "a PackFunction, of which the other sorts them")]
fn pack_on_rack(
    step: &StepSpec,
    candidates: Vec<&WorkerCandidate>,
) -> Option<Vec<(WorkerName, ArcStr)>> {
    let racks: BTreeSet<_> =
        candidates.iter().filter_map(|candidate| candidate.rack.clone()).collect();
    racks.into_iter().find_map(|rack| {
        let inside = candidates.iter().filter(|candidate| candidate.rack.as_ref() == Some(&rack));
        pack_tasks(step, inside.copied().collect())
    })
}

/// Packs all tasks of a step onto the candidates, those on which no member failed, near the data,
/// of the preferred speed and with the least free processor time first; returns `None` if they do
/// not fit.
fn pack_tasks(
    step: &StepSpec,
    mut candidates: Vec<&WorkerCandidate>,
) -> Option<Vec<(WorkerName, ArcStr)>> {
    let occupied = step.occupied_amounts();
    candidates.sort_by_key(|candidate| {
        let WorkerCandidate { avoided, near_data, speed_order, free, .. } = candidate;
        (*avoided, !near_data, *speed_order, free.cpu_millis)
    });
    let count = step.count as usize;
    let mut places = Vec::with_capacity(count);
    for candidate in candidates {
        let placeable = candidate.placeable_tasks(occupied) as usize;
        let place = (candidate.name.clone(), candidate.ticket.clone());
        places.extend(std::iter::repeat_n(place, placeable.min(count - places.len())));
    }
    (places.len() == count).then_some(places)
}
