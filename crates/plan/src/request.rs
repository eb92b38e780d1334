//! Advice requests: which step may ask, and about which workers.

use std::cmp::Reverse;
use std::sync::Arc;

use model::name::{QueueName, WorkerName};
use model::resource::ResourceAmounts;

use crate::advice::CallKind;
use crate::candidate::WorkerCandidate;
use crate::capacity;
use crate::config::QueueRule;
use crate::decision::{AdviceRequest, PlanDecision};
use crate::job::{JobSpec, StepKey, StepSpec, TaskKey};
use crate::place::{MAX_ADVICE_SEARCHES_PER_DECISION, PlacementPass, WaitingStep};
use crate::planner::Planner;
use crate::state::AdviceState;
use crate::suitability::SpeedMatch;

/// Most workers that one advice request may name.
const MAX_ADVICE_WORKERS: usize = 100;
/// Capacity of the workers in an advice request, relative to what the step needs. Other
/// steps take some of it before the answer arrives.
const ADVICE_CAPACITY_FACTOR: f64 = 1.3;
/// Share of eligible workers that is assumed before a queue's first answer.
const INITIAL_ELIGIBLE_SHARE: f64 = 0.5;
/// Smallest share of eligible workers that is assumed, however few the answers named.
const MIN_ELIGIBLE_SHARE: f64 = 0.05;
/// Fewest workers in a gang's first advice request, if there are as many candidates, so that
/// it needs no second request when free capacity moves to other workers.
const MIN_GANG_ADVICE_WORKERS: usize = 30;
/// Weight of a step that starts in the average number of calls that the steps of its queue need.
const CALLS_PER_START_GAIN: f64 = 0.1;
/// Part of the time of the calls, while some have to wait, that goes to the step which has waited
/// longest. Without it, less useful steps would wait for as long as more useful ones come.
const AGED_CALL_SHARE: f64 = 0.25;
/// Most time of calls that is saved up for steps that have waited long, in milliseconds.
const MAX_AGED_CALL_MS: f64 = 2_000.0;
/// Least time between two advice requests for one step, or between two searches that find no
/// worker to request advice about, in milliseconds.
const ADVICE_REQUEST_INTERVAL_MS: u64 = 60;
/// Most workers that a call for a step that is no gang is assumed to name.
const MAX_EXPECTED_WORKERS: usize = 30;

impl Planner {
    /// Returns true if a step can do nothing but request advice, and its call has to wait for
    /// those of other steps; counts the call then.
    pub(crate) fn is_call_delayed(
        &mut self,
        waiting: &WaitingStep<'_>,
        pass: &mut PlacementPass,
    ) -> bool {
        let WaitingStep { rank, key, spec, rule, call_ms, .. } = waiting;
        let step = &spec.steps[key.step as usize];
        let may_start = rule.advice.is_none() || waiting.has_tickets || waiting.is_requested;
        if may_start || waiting.is_unservable {
            return false;
        }
        let capacity =
            *pass.pools.entry(rule.pool.clone()).or_insert_with(|| self.scan_pool(&rule.pool));
        let is_reserving =
            step.gang && (pass.reserving_gang.as_ref() == Some(key) || pass.may_reserve(*rank));
        let usable = if capacity.workers == 0 {
            // Nothing can be started yet, as after a takeover, but the calls will be needed.
            self.registered_capacity(&rule.pool)
        } else if is_reserving || self.call_queue.may_queue(rule.priority, *call_ms) {
            return false;
        } else {
            capacity.unclaimed
        };
        let undelayed = pass.undelayed.entry(rule.pool.clone()).or_insert(usable);
        self.count_delayed_call(key, step, rule, *call_ms, undelayed);
        true
    }

    /// Counts a call that has to wait, if there is capacity that the step could use, and records
    /// since when it waits.
    pub(crate) fn count_delayed_call(
        &mut self,
        key: &StepKey,
        step: &StepSpec,
        rule: &QueueRule,
        call_ms: f64,
        undelayed: &mut ResourceAmounts,
    ) {
        let occupied = step.occupied_amounts();
        let now = self.now_ms;
        let Some(queue) = self.jobs.get(&key.job).map(|job| job.spec.queue.clone()) else { return };
        let expected_ms = self.expected_calls_ms(&queue, call_ms);
        let Some(state) = self.step_mut(key) else { return };
        let tasks = capacity::fit_count(*undelayed, occupied).min(state.waiting);
        if tasks == 0 || (step.gang && tasks < step.count) {
            return;
        }
        state.advice.delayed_since_ms.get_or_insert(now);
        state.advice.delayed_at_ms = now;
        *undelayed = undelayed.minus(occupied.times(u64::from(tasks)));
        self.delayed_calls.add(rule.priority, CallKind::of(call_ms), expected_ms);
    }

    /// Returns whether advice may be requested for a step now.
    pub(crate) fn can_request_advice(&self, key: &StepKey, rule: &QueueRule) -> bool {
        rule.advice.is_some()
            && self.step_state(key).is_some_and(|state| {
                state.advice.requested_ms.is_none() && state.advice.next_request_ms <= self.now_ms
            })
    }

    /// Requests advice for as many tasks as the unclaimed capacity allows.
    ///
    /// Under overload, requests for all waiting tasks would keep the advice service busy
    /// with tickets that expire before there is capacity to use them.
    ///
    /// The step claims only capacity of workers about which it can ask: one that waits for busy
    /// workers, or for workers that do not exist, leaves the rest to the steps behind it.
    pub(crate) fn request_advice_within_capacity(
        &mut self,
        key: &StepKey,
        step: &StepSpec,
        rule: &QueueRule,
        needed_tasks: u32,
        pass: &mut PlacementPass,
    ) {
        if let Some(key) = capacity::label_key(step, rule)
            && !pass.labelled.contains_key(&key)
        {
            let unclaimed = self.scan_label(&key);
            pass.labelled.insert(key, unclaimed);
        }
        let claimable_tasks = pass.claimable_tasks(step, rule, needed_tasks);
        if claimable_tasks == 0 {
            self.check_servable(key, step, rule);
            return;
        }
        if self.can_request_advice(key, rule) {
            let call_ms = estimate_call_ms(step, rule);
            if !self.call_queue.may_queue(rule.priority, call_ms) {
                let unclaimed = pass.pools.get(&rule.pool).map(|capacity| capacity.unclaimed);
                let unclaimed = unclaimed.unwrap_or(ResourceAmounts::ZERO);
                let undelayed = pass.undelayed.entry(rule.pool.clone()).or_insert(unclaimed);
                self.count_delayed_call(key, step, rule, call_ms, undelayed);
                return;
            }
            if pass.advice_searches >= MAX_ADVICE_SEARCHES_PER_DECISION {
                return;
            }
            pass.advice_searches += 1;
            let candidates = self.all_candidates(key, step, rule, pass);
            let is_reserving = pass.reserving_gang.as_ref() == Some(key);
            if is_reserving && self.awaits_eligible_workers(key, step, rule, &candidates) {
                return;
            }
            let is_aged = pass.aged_steps.contains(key);
            self.request_advice(key, step, rule, &candidates, claimable_tasks, is_aged);
        }
        let claimed_tasks = self.step_state(key).map_or(0, |state| state.advice.claimed_tasks);
        pass.claim_capacity(step, rule, claimable_tasks.min(claimed_tasks));
    }

    /// Returns whether the gang for which workers are reserved should wait for them before its next
    /// call: those that are known to be eligible are enough for it once they are free, and with the
    /// unknown ones that are free now it would probably not start.
    pub(crate) fn awaits_eligible_workers(
        &self,
        key: &StepKey,
        step: &StepSpec,
        rule: &QueueRule,
        candidates: &[WorkerCandidate],
    ) -> bool {
        let Some(state) = self.step_state(key) else { return false };
        let AdviceState { eligible, ineligible, .. } = &state.advice;
        let possible_tasks = eligible
            .keys()
            .filter_map(|name| self.workers.get(name))
            .filter(|worker| capacity::is_suitable(step, rule, worker) && self.can_start_on(worker))
            .fold(0_u32, |sum, worker| sum.saturating_add(capacity::possible_tasks(step, worker)));
        let occupied = step.occupied_amounts();
        let placeable_tasks = candidates
            .iter()
            .filter(|candidate| eligible.contains_key(&candidate.name))
            .fold(0_u32, |sum, candidate| sum.saturating_add(candidate.placeable_tasks(occupied)));
        let unknown_tasks = candidates
            .iter()
            .filter(|candidate| !eligible.contains_key(&candidate.name))
            .filter(|candidate| !ineligible.contains(&candidate.name))
            .take(MAX_ADVICE_WORKERS)
            .map(|candidate| f64::from(candidate.placeable_tasks(occupied).min(step.count)))
            .sum::<f64>();
        let expected_tasks =
            f64::from(placeable_tasks) + unknown_tasks * self.expected_eligible_share(key);
        possible_tasks >= step.count
            && placeable_tasks < step.count
            && expected_tasks < f64::from(step.count) * ADVICE_CAPACITY_FACTOR
    }

    /// Returns the share of unknown workers that is expected to be eligible for a step.
    pub(crate) fn expected_eligible_share(&self, key: &StepKey) -> f64 {
        let queue = self.jobs.get(&key.job).map(|job| &job.spec.queue);
        queue
            .and_then(|queue| self.eligible_share.get(queue).copied())
            .unwrap_or(INITIAL_ELIGIBLE_SHARE)
            .max(MIN_ELIGIBLE_SHARE)
    }

    /// Takes the calls that a step has needed into the average of its queue, once it starts.
    pub(crate) fn record_calls(&mut self, task: &TaskKey, spec: &Arc<JobSpec>) {
        let Some(state) = self.step_mut(&task.step) else { return };
        state.advice.delayed_since_ms = None;
        let answers = std::mem::take(&mut state.advice.answers);
        if answers > 0 {
            let average = self.calls_per_start.entry(spec.queue.clone()).or_insert(1.0);
            *average += CALLS_PER_START_GAIN * (f64::from(answers) - *average);
        }
    }

    /// Returns the expected duration of all calls that a step needs until it starts, in
    /// milliseconds, where `call_ms` is that of one.
    pub(crate) fn expected_calls_ms(&self, queue: &QueueName, call_ms: f64) -> f64 {
        call_ms * self.calls_per_start.get(queue).copied().unwrap_or(1.0).max(1.0)
    }

    /// Requests advice on which workers may run `needed_tasks` tasks of a step.
    ///
    /// Eligible workers are named first, to renew their tickets; then unknown ones, the
    /// least requested and those with the most free capacity first.
    pub(crate) fn request_advice(
        &mut self,
        key: &StepKey,
        step: &StepSpec,
        rule: &QueueRule,
        candidates: &[WorkerCandidate],
        needed_tasks: u32,
        is_aged: bool,
    ) {
        let Some(cost) = rule.advice else { return };
        let eligible_share = self.expected_eligible_share(key);
        let now = self.now_ms;
        let Some(state) = self.step_mut(key) else { return };
        let occupied = step.occupied_amounts();
        // The candidates are in the order of their names, which decides between equal ones.
        let mut ranked: Vec<_> = candidates
            .iter()
            .enumerate()
            .filter(|(_, candidate)| !state.advice.ineligible.contains(&candidate.name))
            .map(|(index, candidate)| {
                let is_eligible = state.advice.eligible.contains_key(&candidate.name);
                let placeable = candidate.placeable_tasks(occupied).min(needed_tasks);
                let open_requests = candidate.open_advice_requests;
                // Once as many requests name a worker as tasks fit there, it is no better choice
                // than a worker of another speed.
                let is_in_demand = open_requests >= candidate.placeable_tasks(occupied);
                let speed_match = candidate.speed_match.map(|speed_match| {
                    if is_in_demand { SpeedMatch::TooSlow } else { speed_match }
                });
                // If all requests named the emptiest workers, they would get tickets for the
                // same capacity.
                let order = (speed_match, open_requests, Reverse(placeable));
                (Reverse(is_eligible), order, index)
            })
            .collect();
        if ranked.len() > MAX_ADVICE_WORKERS {
            ranked.select_nth_unstable(MAX_ADVICE_WORKERS);
            ranked.truncate(MAX_ADVICE_WORKERS);
        }
        ranked.sort_unstable();
        let wanted_tasks = f64::from(needed_tasks) * ADVICE_CAPACITY_FACTOR;
        let mut expected_tasks = 0.0;
        let mut free_tasks = 0_u32;
        let mut workers: Vec<WorkerName> = Vec::new();
        for (Reverse(is_eligible), (_, _, Reverse(placeable)), index) in ranked {
            let enough = expected_tasks >= wanted_tasks
                && (!step.gang || is_eligible || workers.len() >= MIN_GANG_ADVICE_WORKERS);
            if enough {
                break;
            }
            expected_tasks += f64::from(placeable) * if is_eligible { 1.0 } else { eligible_share };
            free_tasks = free_tasks.saturating_add(placeable);
            workers.push(candidates[index].name.clone());
        }
        state.advice.claimed_tasks = needed_tasks.min(free_tasks);
        state.advice.next_request_ms = now + ADVICE_REQUEST_INTERVAL_MS;
        // A gang that would not fit even if all workers were eligible has to wait for capacity.
        let gang_cannot_fit = step.gang && free_tasks < needed_tasks;
        if workers.is_empty() || gang_cannot_fit {
            self.check_servable(key, step, rule);
            return;
        }
        state.advice.requested_ms = Some(now);
        let is_renewal = workers.iter().all(|name| state.advice.eligible.contains_key(name));
        state.advice.reserved_workers =
            if step.gang && is_renewal { workers.clone() } else { Vec::new() };
        for name in &workers {
            if let Some(worker) = self.workers.get_mut(name) {
                worker.open_advice_requests += 1;
            }
        }
        self.open_advice_requests.insert(key.clone(), workers.clone());
        let duration_ms = cost.duration_ms(workers.len());
        self.charge_call(rule.priority, duration_ms, is_aged);
        self.decisions.push(PlanDecision::RequestAdvice(AdviceRequest {
            step: key.clone(),
            workers,
            duration_ms,
            priority: rule.priority,
        }));
    }

    /// Counts a request as queued, and accounts for the part of the calls that goes to the step
    /// which has waited longest.
    pub(crate) fn charge_call(&mut self, priority: u32, duration_ms: f64, is_aged: bool) {
        let kind = CallKind::of(duration_ms);
        self.call_queue.pending.add_call(priority, duration_ms);
        let aged_ms = if is_aged { -duration_ms } else { duration_ms * AGED_CALL_SHARE };
        let saved_ms = self.aged_call_ms.get_mut(kind);
        *saved_ms = (*saved_ms + aged_ms).clamp(0.0, MAX_AGED_CALL_MS);
    }
}

/// Returns the expected duration of the next call for a step, in milliseconds; 0 if it needs none.
pub(crate) fn estimate_call_ms(step: &StepSpec, rule: &QueueRule) -> f64 {
    let Some(cost) = rule.advice else { return 0.0 };
    let workers = if step.gang {
        MIN_GANG_ADVICE_WORKERS
    } else {
        // About half of the workers are eligible.
        (2 * step.count as usize).min(MAX_EXPECTED_WORKERS)
    };
    cost.duration_ms(workers)
}
