//! Placement of waiting steps by rank, within free capacity, team limits and advice.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use arcstr::ArcStr;
use model::name::{QueueName, TeamName, WorkerName};
use model::resource::ResourceAmounts;
use smallvec::SmallVec;

use crate::advice::{CallAmounts, CallKind};
use crate::config::{PlanConfig, QueueRule};
use crate::decision::{AdviceRequest, PlanDecision, StartOrder};
use crate::job::{JobSpec, StepKey, StepSpec, TaskKey};
use crate::order::{JobRank, RankClass};
use crate::planner::Planner;
use crate::state::{AdviceState, JobState, RunPhase, RunState, SharingKind, WorkerState};

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
/// Most gangs for which workers are reserved at the same time; more would idle the fleet.
const MAX_RESERVED_GANGS: usize = 3;
/// Fewest gangs that may have an advice request in flight at the same time.
const MIN_GANG_ADVICE_REQUESTS: usize = 8;
/// Workers of a pool for each further gang that may have an advice request in flight. With more
/// requests, the calls queue up, and the free capacity that they were made for is gone when they
/// are answered; with fewer, the gangs of a large pool wait for calls while workers are idle.
const WORKERS_PER_GANG_ADVICE_REQUEST: usize = 16;
/// Answers that a gang could not use, after which workers are reserved for it whatever its rank.
/// One such gang at a time: without a reservation, smaller tasks use the capacity of its workers
/// during each of its calls.
const UNUSED_ANSWERS_TO_RESERVE: u32 = 2;
/// Longest time for which workers are reserved for such a gang, in milliseconds.
const MAX_RESERVATION_MS: u64 = 15_000;
/// Time for which a step counts as waiting for its call after a decision has found so, in
/// milliseconds. One that waits for capacity must not keep the others from their part of the calls.
const MAX_DELAY_AGE_MS: u64 = 300;
/// Weight of a step that starts in the average number of calls that the steps of its queue need.
const CALLS_PER_START_GAIN: f64 = 0.1;
/// Part of the time of the calls, while some have to wait, that goes to the step which has waited
/// longest. Without it, less useful steps would wait for as long as more useful ones come.
const AGED_CALL_SHARE: f64 = 0.25;
/// Most time of calls that is saved up for steps that have waited long, in milliseconds.
const MAX_AGED_CALL_MS: f64 = 2_000.0;
/// Most searches of one decision for workers to request advice about. Each looks at all workers of
/// the pool; a decision that makes hundreds delays the starts that it has already decided.
const MAX_ADVICE_SEARCHES_PER_DECISION: usize = 24;
/// Most attempts of one decision to reserve workers for a gang. Each looks at all workers.
const MAX_RESERVATION_ATTEMPTS: usize = 12;
/// Least time between two advice requests for one step, or between two searches that find no
/// worker to request advice about, in milliseconds.
const ADVICE_REQUEST_INTERVAL_MS: u64 = 60;

/// A worker that can run tasks of a step.
#[derive(Clone, Debug)]
struct WorkerCandidate {
    name: WorkerName,
    /// Free capacity, less the tasks placed here in this pass.
    free: ResourceAmounts,
    /// Whether the worker is on the rack that holds the data of the step.
    near_data: bool,
    /// Whether fillers run here; they would slow a latency-sensitive service.
    has_fillers: bool,
    rack: Option<ArcStr>,
    /// Whether a member of the gang failed there; others are preferred.
    avoided: bool,
    /// Ticket for the step; empty if it needs no advice.
    ticket: ArcStr,
    /// Tasks of the step that may still be placed here under [`StepSpec::max_per_worker`].
    remaining_tasks: u32,
    /// Advice requests in flight that name the worker.
    open_advice_requests: u32,
}

impl WorkerCandidate {
    /// Returns how many tasks of the step can be placed here.
    fn placeable_tasks(&self, occupied: ResourceAmounts) -> u32 {
        fit_count(self.free, occupied).min(self.remaining_tasks)
    }

    /// Subtracts one task from what can be placed here.
    fn place_task(&mut self, occupied: ResourceAmounts) {
        self.free = self.free.minus(occupied);
        self.remaining_tasks -= 1;
    }
}

/// Returns how often `amounts` fits into `free`.
fn fit_count(free: ResourceAmounts, amounts: ResourceAmounts) -> u32 {
    let ratios = free
        .as_array()
        .into_iter()
        .zip(amounts.as_array())
        .filter(|(_, amount)| *amount > 0)
        .map(|(free, amount)| free / amount);
    ratios.min().unwrap_or(u64::from(u32::MAX)).try_into().unwrap_or(u32::MAX)
}

/// Decisions after which the free capacity of a pool is computed again from all its workers.
/// In between, a step may look in vain for capacity that was just taken, which costs less than
/// going through all workers after each decision.
const DECISIONS_PER_POOL_SCAN: usize = 16;

/// Free capacity of the workers of one pool.
#[derive(Clone, Copy, Debug, Default)]
struct PoolCapacity {
    /// Decisions since the capacity was computed.
    decisions: usize,
    /// Workers on which tasks may be started.
    workers: usize,
    /// Largest free amount of each resource on any worker.
    largest_free: ResourceAmounts,
    /// Free capacity of all workers, less what steps earlier in the pass claimed for their
    /// advice requests.
    unclaimed: ResourceAmounts,
}

/// A step with tasks that wait for a start.
#[derive(Debug)]
struct WaitingStep<'a> {
    rank: JobRank,
    key: StepKey,
    spec: Arc<JobSpec>,
    rule: &'a QueueRule,
    /// Whether a ticket of the step may be used now.
    has_tickets: bool,
    /// Whether an advice request of the step is in flight.
    is_requested: bool,
    /// Whether no known worker can ever run the step.
    is_unservable: bool,
    /// Expected duration of its next call for advice, in milliseconds; 0 if it needs none.
    call_ms: f64,
    /// Since when its call waits for those of other steps; none if it does not wait now.
    delayed_since_ms: Option<u64>,
    /// Answers that the step, if it is a gang, could not use.
    unused_answers: u32,
}

/// State of one pass over the waiting steps.
#[derive(Debug, Default)]
struct PlacementPass {
    /// Free capacity by pool, computed when the first step of a pool is placed.
    pools: BTreeMap<ArcStr, PoolCapacity>,
    /// Unclaimed capacity of the workers with a label, by pool and label, computed when the first
    /// step that asks for the label requests advice.
    labelled: BTreeMap<(ArcStr, ArcStr), ResourceAmounts>,
    /// Workers that are reserved for gangs earlier in the pass.
    reserved: BTreeSet<WorkerName>,
    /// Number of gangs for which workers are reserved until they fit.
    reserved_gangs: usize,
    /// Number of attempts to reserve workers for a gang.
    reservation_attempts: usize,
    /// Number of gangs with an advice request in flight.
    gang_advice_requests: usize,
    /// Number of searches for workers to request advice about.
    advice_searches: usize,
    /// Gang for which workers are reserved whatever its rank.
    reserving_gang: Option<StepKey>,
    /// Steps whose calls go first because they have waited longest: one for each kind of call.
    aged_steps: SmallVec<[StepKey; 2]>,
    /// Capacity by pool that is neither claimed nor needed by steps whose calls are delayed.
    undelayed: BTreeMap<ArcStr, ResourceAmounts>,
    /// What each team may use on workers that have not reported, computed when the first step
    /// of a team is placed; starts in the pass do not change it.
    unreported_usage: Option<BTreeMap<TeamName, ResourceAmounts>>,
}

impl PlacementPass {
    /// Returns true if nothing can be done for a step in this pass: no worker can run it, or it has
    /// no ticket, earlier steps have claimed the capacity for which it would request some, and no
    /// workers would be reserved for it. Under overload that holds for most of thousands of steps.
    fn is_hopeless(&self, waiting: &WaitingStep<'_>) -> bool {
        let WaitingStep { rank, key, spec, rule, has_tickets, is_requested, is_unservable, .. } =
            waiting;
        if *is_unservable {
            return true;
        }
        let step = &spec.steps[key.step as usize];
        let Some(capacity) = self.pools.get(&rule.pool) else { return false };
        let may_reserve = step.gang && (*is_requested || self.may_reserve(*rank));
        let may_request = self.advice_searches < MAX_ADVICE_SEARCHES_PER_DECISION
            && step.occupied_amounts().fits_in(capacity.unclaimed);
        rule.advice.is_some() && !has_tickets && !may_reserve && !may_request
    }

    /// Returns whether workers may be reserved for one more gang.
    fn may_reserve(&self, rank: JobRank) -> bool {
        rank.class == RankClass::OnTime
            && self.reserved_gangs < MAX_RESERVED_GANGS
            && self.reservation_attempts < MAX_RESERVATION_ATTEMPTS
    }

    /// Returns whether one more gang may have an advice request in flight.
    fn may_request_gang_advice(&self, pool: &ArcStr) -> bool {
        let workers = self.pools.get(pool).map_or(0, |capacity| capacity.workers);
        let max_requests = MIN_GANG_ADVICE_REQUESTS.max(workers / WORKERS_PER_GANG_ADVICE_REQUEST);
        self.gang_advice_requests < max_requests
    }

    /// Returns for how many of `needed_tasks` tasks of a step there is unclaimed capacity: all or
    /// none of a gang.
    fn claimable_tasks(&self, step: &StepSpec, rule: &QueueRule, needed_tasks: u32) -> u32 {
        let occupied = step.occupied_amounts();
        let fit = |unclaimed: &ResourceAmounts| fit_count(*unclaimed, occupied);
        let in_pool = self.pools.get(&rule.pool).map_or(0, |capacity| fit(&capacity.unclaimed));
        let labelled = label_key(step, rule).and_then(|key| self.labelled.get(&key));
        let tasks = needed_tasks.min(in_pool).min(labelled.map_or(u32::MAX, fit));
        if step.gang && tasks < step.count { 0 } else { tasks }
    }

    /// Claims unclaimed capacity for `tasks` tasks of a step.
    fn claim_capacity(&mut self, step: &StepSpec, rule: &QueueRule, tasks: u32) {
        let claimed = step.occupied_amounts().times(u64::from(tasks));
        let in_pool = self.pools.get_mut(&rule.pool).map(|capacity| &mut capacity.unclaimed);
        let labelled = label_key(step, rule).and_then(|key| self.labelled.get_mut(&key));
        for unclaimed in in_pool.into_iter().chain(labelled) {
            *unclaimed = unclaimed.minus(claimed);
        }
    }
}

impl Planner {
    /// Places the tasks of all waiting steps, in the order of their ranks.
    pub(crate) fn place_waiting_steps(&mut self) {
        let config = self.config.clone();
        let mut steps = self.waiting_steps(&config);
        steps.sort_unstable_by(|left, right| {
            left.rank.cmp(&right.rank).then_with(|| left.key.cmp(&right.key))
        });
        let mut pass = PlacementPass::default();
        let is_delayed = !self.delayed_calls.is_empty();
        self.delayed_calls.clear();
        self.put_first(&mut steps, &mut pass);
        for step in steps {
            if self.is_call_delayed(&step, &mut pass) {
                continue;
            }
            if !pass.is_hopeless(&step) {
                self.examined_steps += 1;
                self.place_step(&step, &mut pass);
            }
        }
        if !is_delayed && self.delayed_calls.is_empty() {
            self.aged_call_ms = CallAmounts::default();
        }
    }

    /// Moves the steps to the front that would otherwise wait for as long as more useful ones come:
    /// the gang that could not use most answers, and the step whose call is delayed longest.
    fn put_first(&mut self, steps: &mut [WaitingStep<'_>], pass: &mut PlacementPass) {
        for kind in [CallKind::Long, CallKind::Short] {
            let oldest = (0..steps.len())
                .filter(|index| {
                    CallKind::of(steps[*index].call_ms) == kind && !steps[*index].is_requested
                })
                .filter_map(|index| Some((steps[index].delayed_since_ms?, index)))
                .min();
            if let Some((_, index)) = oldest
                && steps[index].call_ms <= self.aged_call_ms.get(kind)
            {
                pass.aged_steps.push(steps[index].key.clone());
                steps[..=index].rotate_right(1);
            }
        }
        let has_unused_answers = |step: &WaitingStep<'_>| {
            step.spec.steps[step.key.step as usize].gang
                && !step.is_unservable
                && step.unused_answers >= UNUSED_ANSWERS_TO_RESERVE
        };
        let reserving = (0..steps.len())
            .filter(|index| has_unused_answers(&steps[*index]))
            .max_by_key(|index| (steps[*index].unused_answers, Reverse(*index)));
        if let Some(index) = reserving {
            let key = steps[index].key.clone();
            self.limit_reservation(&key);
            pass.reserving_gang = Some(key);
            steps[..=index].rotate_right(1);
        }
    }

    /// Ends the reservation of a gang that has not started for a long time after this decision: its
    /// workers may be busy for good, and other gangs wait for theirs.
    fn limit_reservation(&mut self, key: &StepKey) {
        let now = self.now_ms;
        let Some(state) = self.step_mut(key) else { return };
        let since_ms = *state.advice.reserving_since_ms.get_or_insert(now);
        if now.saturating_sub(since_ms) >= MAX_RESERVATION_MS {
            state.advice.reserving_since_ms = None;
            state.advice.unused_answers = 0;
        }
    }

    /// Returns true if a step can do nothing but request advice, and its call has to wait for
    /// those of other steps; counts the call then.
    fn is_call_delayed(&mut self, waiting: &WaitingStep<'_>, pass: &mut PlacementPass) -> bool {
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
    fn count_delayed_call(
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
        let tasks = fit_count(*undelayed, occupied).min(state.waiting);
        if tasks == 0 || (step.gang && tasks < step.count) {
            return;
        }
        state.advice.delayed_since_ms.get_or_insert(now);
        state.advice.delayed_at_ms = now;
        *undelayed = undelayed.minus(occupied.times(u64::from(tasks)));
        self.delayed_calls.add(rule.priority, CallKind::of(call_ms), expected_ms);
    }

    /// Returns whether tasks may be started on a worker now.
    fn can_start_on(&self, worker: &WorkerState) -> bool {
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
    fn scan_pool(&self, pool: &ArcStr) -> PoolCapacity {
        let usable = self
            .workers
            .values()
            .filter(|worker| worker.info.pool == *pool && self.can_start_on(worker));
        usable.fold(PoolCapacity::default(), |capacity, worker| PoolCapacity {
            decisions: 0,
            workers: capacity.workers + 1,
            largest_free: capacity.largest_free.max(worker.free()),
            unclaimed: capacity.unclaimed.plus(worker.free()),
        })
    }

    /// Returns the capacity of the registered workers of a pool, whether they can be used now or not.
    fn registered_capacity(&self, pool: &ArcStr) -> ResourceAmounts {
        self.workers
            .values()
            .filter(|worker| worker.info.pool == *pool && !worker.deregistered)
            .fold(ResourceAmounts::ZERO, |sum, worker| sum.plus(worker.info.capacity))
    }

    /// Computes the free capacity of the workers of a pool that have a label.
    fn scan_label(&self, (pool, label): &(ArcStr, ArcStr)) -> ResourceAmounts {
        self.workers
            .values()
            .filter(|worker| worker.info.pool == *pool && worker.info.labels.contains(label))
            .filter(|worker| self.can_start_on(worker))
            .fold(ResourceAmounts::ZERO, |sum, worker| sum.plus(worker.free()))
    }

    /// Returns the steps with tasks that may start, with the ranks of their jobs.
    fn waiting_steps<'a>(&mut self, config: &'a PlanConfig) -> Vec<WaitingStep<'a>> {
        let mut steps = Vec::new();
        for (id, job) in &mut self.jobs {
            if job.status.is_final() || self.inherited_jobs.contains(id) {
                continue;
            }
            let waiting = ready_steps(job);
            if waiting.is_empty() {
                continue;
            }
            let Some(rule) = config.queues.get(&job.spec.queue) else { continue };
            let rank = job.rank(rule, self.now_ms);
            for (occurrence, step) in waiting {
                let state = job
                    .occurrences
                    .get(&occurrence)
                    .and_then(|occurrence| occurrence.steps.get(step as usize));
                steps.push(WaitingStep {
                    rank,
                    key: StepKey { job: id.clone(), occurrence, step },
                    spec: job.spec.clone(),
                    rule,
                    has_tickets: state
                        .is_some_and(|state| state.advice.tickets_expire_ms > self.now_ms),
                    is_requested: state.is_some_and(|state| state.advice.requested_ms.is_some()),
                    is_unservable: state.is_some_and(|state| {
                        state.servability == Some((self.worker_changes, false))
                    }),
                    call_ms: estimate_call_ms(&job.spec.steps[step as usize], rule),
                    delayed_since_ms: state
                        .filter(|state| {
                            self.now_ms <= state.advice.delayed_at_ms + MAX_DELAY_AGE_MS
                        })
                        .and_then(|state| state.advice.delayed_since_ms),
                    unused_answers: state.map_or(0, |state| state.advice.unused_answers),
                });
            }
        }
        steps
    }

    /// Places tasks of one step as far as the team's limit and the free capacity allow.
    fn place_step(&mut self, waiting: &WaitingStep<'_>, pass: &mut PlacementPass) {
        let WaitingStep { rank, key, spec, rule, .. } = waiting;
        let step = &spec.steps[key.step as usize];
        let allowed_tasks = self.remaining_team_tasks(spec, step, pass);
        if allowed_tasks == 0 {
            return;
        }
        let capacity = match pass.pools.get(&rule.pool) {
            Some(capacity) => *capacity,
            None => self.scan_pool(&rule.pool),
        };
        pass.pools.insert(rule.pool.clone(), capacity);
        let may_fit = step.occupied_amounts().fits_in(capacity.largest_free);
        let before = self.decisions.len();
        if step.gang {
            self.place_gang(*rank, key, spec, rule, allowed_tasks, pass);
        } else if may_fit {
            self.place_tasks(key, spec, rule, allowed_tasks, pass);
        }
        let decisions = self.decisions.len() - before;
        if let Some(capacity) = pass.pools.get_mut(&rule.pool)
            && decisions > 0
        {
            capacity.decisions += decisions;
            if capacity.decisions >= DECISIONS_PER_POOL_SCAN {
                let measured = self.scan_pool(&rule.pool);
                *capacity = PoolCapacity {
                    unclaimed: measured.unclaimed.min(capacity.unclaimed),
                    ..measured
                };
            }
        }
    }

    /// Returns how many more tasks of a step the team's limit allows.
    fn remaining_team_tasks(
        &mut self,
        spec: &JobSpec,
        step: &StepSpec,
        pass: &mut PlacementPass,
    ) -> u32 {
        let Some(team) = &spec.team else { return u32::MAX };
        let unreported_usage =
            pass.unreported_usage.get_or_insert_with(|| self.sum_unreported_usage());
        let unreported = unreported_usage.get(team).copied().unwrap_or_default();
        let Some(rule) = self.config.teams.get(team) else { return 0 };
        let used = self.team_usage.get(team).copied().unwrap_or_default();
        fit_count(rule.limit.minus(used).minus(unreported), step.amounts)
    }

    /// Returns what each team may use on workers that have not reported to this owner.
    ///
    /// Only tasks of inherited jobs can run there that are not done and have no known run, and runs
    /// of finished jobs that are being stopped. Together they use no more than the capacity of these
    /// workers.
    fn sum_unreported_usage(&mut self) -> BTreeMap<TeamName, ResourceAmounts> {
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
        self.examined_jobs += self.inherited_jobs.len() as u64;
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

    /// Returns whether advice may be requested for a step now.
    fn can_request_advice(&self, key: &StepKey, rule: &QueueRule) -> bool {
        rule.advice.is_some()
            && self.step_state(key).is_some_and(|state| {
                state.advice.requested_ms.is_none() && state.advice.next_request_ms <= self.now_ms
            })
    }

    /// Returns the workers on which tasks of a step may start now.
    ///
    /// For a step that needs advice, only workers with a ticket are examined, and those whose
    /// ticket is valid are returned. Under overload thousands of steps wait, and examining every
    /// worker for each of them at each decision would take the owner longer than the tasks run.
    fn start_candidates(
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
    fn all_candidates(
        &mut self,
        key: &StepKey,
        step: &StepSpec,
        rule: &QueueRule,
        pass: &PlacementPass,
    ) -> Vec<WorkerCandidate> {
        self.examined += self.workers.len() as u64;
        let workers = self.workers.values();
        workers.filter_map(|worker| self.candidate(key, step, rule, worker, pass)).collect()
    }

    /// Returns a worker as a candidate for a step; `None` if no task of the step fits there.
    fn candidate(
        &self,
        key: &StepKey,
        step: &StepSpec,
        rule: &QueueRule,
        worker: &WorkerState,
        pass: &PlacementPass,
    ) -> Option<WorkerCandidate> {
        let name = &worker.info.name;
        let fits = step.occupied_amounts().fits_in(worker.free())
            && is_suitable(step, rule, worker)
            && self.can_start_on(worker)
            && !pass.reserved.contains(name);
        // How much a filler slows a service is not known beforehand.
        let disturbs = step.filler && worker.sensitive_runs > 0;
        if !fits || disturbs {
            return None;
        }
        let remaining_tasks = if step.max_per_worker == 0 {
            u32::MAX
        } else {
            let here = worker.runs.keys().filter(|task| task.step == *key).count();
            step.max_per_worker.saturating_sub(u32::try_from(here).unwrap_or(u32::MAX))
        };
        (remaining_tasks > 0).then(|| WorkerCandidate {
            name: name.clone(),
            free: worker.free(),
            near_data: step.data_rack.is_some() && step.data_rack.as_ref() == worker.info.rack(),
            has_fillers: worker.filler_runs > 0,
            rack: worker.info.rack().cloned(),
            avoided: false,
            ticket: ArcStr::default(),
            remaining_tasks,
            open_advice_requests: worker.open_advice_requests,
        })
    }

    /// Starts as many waiting tasks of a step as fit, and requests advice for the rest.
    fn place_tasks(
        &mut self,
        key: &StepKey,
        spec: &Arc<JobSpec>,
        rule: &QueueRule,
        allowed_tasks: u32,
        pass: &mut PlacementPass,
    ) {
        let step = &spec.steps[key.step as usize];
        let mut candidates = self.start_candidates(key, step, rule, pass);
        let mut placed = 0;
        let waiting_tasks =
            if candidates.is_empty() { Vec::new() } else { self.waiting_tasks(key) };
        for index in waiting_tasks {
            if placed == allowed_tasks {
                return;
            }
            let task = TaskKey { step: key.clone(), index };
            let Some(best) = self.choose_candidate(&task, step, &candidates) else { break };
            let candidate = &mut candidates[best];
            candidate.place_task(step.occupied_amounts());
            let (name, ticket) = (candidate.name.clone(), candidate.ticket.clone());
            self.start_task(&task, spec, &name, ticket, None);
            placed += 1;
        }
        let waiting = self.step_mut(key).map_or(0, |state| state.waiting);
        let needed_tasks = waiting.min(allowed_tasks - placed);
        if needed_tasks > 0 && rule.advice.is_some() {
            self.request_advice_within_capacity(key, step, rule, needed_tasks, pass);
        } else if candidates.is_empty() {
            self.check_servable(key, step, rule);
        }
    }

    /// Requests advice for as many tasks as the unclaimed capacity allows.
    ///
    /// Under overload, requests for all waiting tasks would keep the advice service busy
    /// with tickets that expire before there is capacity to use them.
    ///
    /// The step claims only capacity of workers about which it can ask: one that waits for busy
    /// workers, or for workers that do not exist, leaves the rest to the steps behind it.
    fn request_advice_within_capacity(
        &mut self,
        key: &StepKey,
        step: &StepSpec,
        rule: &QueueRule,
        needed_tasks: u32,
        pass: &mut PlacementPass,
    ) {
        if let Some(key) = label_key(step, rule)
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
    fn awaits_eligible_workers(
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
            .filter(|worker| is_suitable(step, rule, worker) && self.can_start_on(worker))
            .fold(0_u32, |sum, worker| sum.saturating_add(possible_tasks(step, worker)));
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
    fn expected_eligible_share(&self, key: &StepKey) -> f64 {
        let queue = self.jobs.get(&key.job).map(|job| &job.spec.queue);
        queue
            .and_then(|queue| self.eligible_share.get(queue).copied())
            .unwrap_or(INITIAL_ELIGIBLE_SHARE)
            .max(MIN_ELIGIBLE_SHARE)
    }

    /// Returns the indices of the tasks of a step that need a run.
    fn waiting_tasks(&self, key: &StepKey) -> Vec<u32> {
        self.step_state(key)
            .map(|step| {
                let waiting = |(task, index): (&crate::state::TaskState, u32)| {
                    task.is_waiting().then_some(index)
                };
                step.tasks.iter().zip(0_u32..).filter_map(waiting).collect()
            })
            .unwrap_or_default()
    }

    /// Returns the index of the candidate on which a task should start.
    ///
    /// Avoids workers where the task failed, then fillers beside a service, then racks without
    /// the data; among the rest it takes the one with the least free processor time.
    fn choose_candidate(
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
                let disturbed = step.tail_target_ms > 0 && candidate.has_fillers;
                (
                    avoided.contains(&candidate.name),
                    disturbed,
                    !candidate.near_data,
                    candidate.free.cpu_millis,
                )
            })
            .map(|(index, _)| index)
    }

    /// Starts a gang if all of it fits; otherwise requests advice and reserves workers for it.
    fn place_gang(
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
        if let Some(places) = pack_gang(step, candidates) {
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
            if self.reserve_workers(key, step, rule, &mut pass.reserved) {
                pass.reserved_gangs += usize::from(!is_reserving);
            }
        }
    }

    /// Returns the workers on which a member of a gang has failed.
    fn avoided_by_gang(&self, key: &StepKey) -> BTreeSet<WorkerName> {
        let tasks = self.step_state(key).into_iter().flat_map(|state| &state.tasks);
        tasks.flat_map(|task| task.avoided.iter().cloned()).collect()
    }

    /// Reserves enough workers for a gang, so that steps later in the pass leave them alone.
    ///
    /// Chooses those with the most free processor time. Returns false, and reserves none, if there
    /// are not enough.
    fn reserve_workers(
        &self,
        key: &StepKey,
        step: &StepSpec,
        rule: &QueueRule,
        reserved: &mut BTreeSet<WorkerName>,
    ) -> bool {
        let Some(state) = self.step_state(key) else {
            return false;
        };
        let mut workers: Vec<_> = self
            .workers
            .values()
            .filter(|worker| is_suitable(step, rule, worker) && self.is_schedulable(worker))
            .filter(|worker| !reserved.contains(&worker.info.name))
            .filter(|worker| {
                rule.advice.is_none() || state.advice.eligible.contains_key(&worker.info.name)
            })
            .collect();
        workers.sort_by_key(|worker| Reverse(worker.free().cpu_millis));
        let mut reservable_tasks = 0_u32;
        let mut names = Vec::new();
        for worker in workers {
            if reservable_tasks >= step.count {
                break;
            }
            reservable_tasks = reservable_tasks.saturating_add(possible_tasks(step, worker));
            names.push(worker.info.name.clone());
        }
        let is_enough = reservable_tasks >= step.count;
        if is_enough {
            reserved.extend(names);
        }
        is_enough
    }

    /// Checks whether the known workers could run a step, or a whole gang, if they were all free and
    /// in use, and keeps the result. A step that they cannot run is passed over until a worker has
    /// changed.
    fn check_servable(&mut self, key: &StepKey, step: &StepSpec, rule: &QueueRule) -> bool {
        let changes = self.worker_changes;
        let Some(state) = self.step_state(key) else { return false };
        if let Some((checked, is_servable)) = state.servability
            && checked == changes
        {
            return is_servable;
        }
        let ineligible = &state.advice.ineligible;
        let possible_tasks = self
            .workers
            .values()
            .filter(|worker| is_suitable(step, rule, worker))
            .filter(|worker| !ineligible.contains(&worker.info.name))
            .fold(0_u32, |sum, worker| sum.saturating_add(possible_tasks(step, worker)));
        let is_servable = possible_tasks >= if step.gang { step.count } else { 1 };
        if let Some(state) = self.step_mut(key) {
            state.servability = Some((changes, is_servable));
        }
        is_servable
    }

    /// Stops the fillers on a worker on which a latency-sensitive service starts. They are
    /// placed again on other workers.
    fn stop_fillers(&mut self, name: &WorkerName) {
        let Some(worker) = self.workers.get(name) else { return };
        let fillers: Vec<_> = worker
            .runs
            .iter()
            .filter(|(_, run)| run.sharing == SharingKind::Filler)
            .map(|(task, _)| task.clone())
            .collect();
        for task in fillers {
            self.stop_run(name, &task, "service-starts");
        }
    }

    /// Returns the run number that all members of a gang share in its next run.
    fn next_gang_run(&mut self, key: &StepKey) -> u32 {
        let first_run = self.first_run;
        let Some(state) = self.step_mut(key) else { return first_run };
        let last_run = state.tasks.iter().map(|task| task.last_run).max().unwrap_or(0);
        (last_run + 1).max(first_run)
    }

    /// Orders the start of a task; `gang_run` is the run number that its gang shares.
    fn start_task(
        &mut self,
        task: &TaskKey,
        spec: &Arc<JobSpec>,
        name: &WorkerName,
        ticket: ArcStr,
        gang_run: Option<u32>,
    ) {
        let step = &spec.steps[task.step.step as usize];
        let first_run = self.first_run;
        if step.tail_target_ms > 0 {
            self.stop_fillers(name);
        }
        self.record_calls(task, spec);
        let Some(state) = self.step_mut(&task.step) else { return };
        let gang_saved = state.gang_saved.clone();
        let Some(task_state) = state.tasks.get(task.index as usize) else { return };
        let saved = if step.gang { gang_saved } else { task_state.saved.clone() };
        let run = gang_run.unwrap_or((task_state.last_run + 1).max(first_run));
        let state = RunState {
            run,
            phase: RunPhase::Starting,
            confirmed_ms: None,
            occupied: step.occupied_amounts(),
            charged: step.amounts,
            team: spec.team.clone(),
            stop_sent: false,
            sharing: SharingKind::of(step),
        };
        self.add_run(name, task, state);
        self.decisions.push(PlanDecision::Start(StartOrder {
            worker: name.clone(),
            task: task.clone(),
            run,
            job: spec.clone(),
            saved,
            ticket,
        }));
    }

    /// Takes the calls that a step has needed into the average of its queue, once it starts.
    fn record_calls(&mut self, task: &TaskKey, spec: &Arc<JobSpec>) {
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
    fn request_advice(
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
                // If all requests named the emptiest workers, they would get tickets for the
                // same capacity.
                (Reverse(is_eligible), candidate.open_advice_requests, Reverse(placeable), index)
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
        for (Reverse(is_eligible), _, Reverse(placeable), index) in ranked {
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
    fn charge_call(&mut self, priority: u32, duration_ms: f64, is_aged: bool) {
        let kind = CallKind::of(duration_ms);
        self.call_queue.pending.add_call(priority, duration_ms);
        let aged_ms = if is_aged { -duration_ms } else { duration_ms * AGED_CALL_SHARE };
        let saved_ms = self.aged_call_ms.get_mut(kind);
        *saved_ms = (*saved_ms + aged_ms).clamp(0.0, MAX_AGED_CALL_MS);
    }
}

/// Most workers that a call for a step that is no gang is assumed to name.
const MAX_EXPECTED_WORKERS: usize = 30;

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

/// Returns whether a worker has what a step asks for, apart from capacity.
fn is_suitable(step: &StepSpec, rule: &QueueRule, worker: &WorkerState) -> bool {
    worker.info.pool == rule.pool
        && step.label.as_ref().is_none_or(|label| worker.info.labels.contains(label))
}

/// Returns the pool and the label of the workers that a step asks for; none without a label.
fn label_key(step: &StepSpec, rule: &QueueRule) -> Option<(ArcStr, ArcStr)> {
    step.label.as_ref().map(|label| (rule.pool.clone(), label.clone()))
}

/// Returns how many tasks of a step a suitable worker could run if it were free.
fn possible_tasks(step: &StepSpec, worker: &WorkerState) -> u32 {
    let max_tasks = if step.max_per_worker == 0 { u32::MAX } else { step.max_per_worker };
    fit_count(worker.info.capacity, step.occupied_amounts()).min(max_tasks)
}

/// Returns the occurrences and indices of the steps whose waiting tasks may start.
fn ready_steps(job: &JobState) -> SmallVec<[(u32, u32); 2]> {
    let mut ready = SmallVec::new();
    for (number, occurrence) in &job.occurrences {
        for (index, step) in (0_u32..).zip(&occurrence.steps) {
            let done = |before: &u32| {
                occurrence.steps.get(*before as usize).is_none_or(|step| step.unfinished == 0)
            };
            if step.waiting > 0 && job.spec.steps[index as usize].after.iter().all(done) {
                ready.push((*number, index));
            }
        }
    }
    ready
}

/// Returns a worker and its ticket for each member of a gang; `None` if the gang does not fit.
///
/// A gang that should share a rack is placed on one rack if one has the capacity.
fn pack_gang(
    step: &StepSpec,
    candidates: Vec<WorkerCandidate>,
) -> Option<Vec<(WorkerName, ArcStr)>> {
    if step.same_rack {
        let racks: BTreeSet<_> =
            candidates.iter().filter_map(|candidate| candidate.rack.clone()).collect();
        let on_rack = racks.into_iter().find_map(|rack| {
            let inside =
                candidates.iter().filter(|candidate| candidate.rack.as_ref() == Some(&rack));
            pack_tasks(step, inside.cloned().collect())
        });
        if on_rack.is_some() {
            return on_rack;
        }
    }
    pack_tasks(step, candidates)
}

/// Packs all tasks of a step onto the candidates, those on which no member failed, near the data
/// and with the least free processor time first; returns `None` if they do not fit.
fn pack_tasks(
    step: &StepSpec,
    mut candidates: Vec<WorkerCandidate>,
) -> Option<Vec<(WorkerName, ArcStr)>> {
    let occupied = step.occupied_amounts();
    candidates.sort_by_key(|candidate| {
        (candidate.avoided, !candidate.near_data, candidate.free.cpu_millis)
    });
    let mut places = Vec::with_capacity(step.count as usize);
    for candidate in &mut candidates {
        while places.len() < step.count as usize && candidate.placeable_tasks(occupied) > 0 {
            candidate.place_task(occupied);
            places.push((candidate.name.clone(), candidate.ticket.clone()));
        }
    }
    (places.len() == step.count as usize).then_some(places)
}
