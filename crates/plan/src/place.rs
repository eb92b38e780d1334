//! Placement of waiting steps by rank, within free capacity, team limits and advice.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use arcstr::ArcStr;
use model::name::{TeamName, WorkerName};
use model::resource::ResourceAmounts;
use smallvec::SmallVec;

use crate::advice::{CallAmounts, CallKind};
use crate::capacity::{self, PoolCapacity};
use crate::config::{PlanConfig, QueueRule};
use crate::decision::{PlanDecision, StartOrder};
use crate::job::{JobSpec, StepKey, StepSpec, TaskKey};
use crate::order::{JobRank, RankClass};
use crate::pace::RunSpeed;
use crate::planner::Planner;
use crate::request;
use crate::state::{JobState, RunPhase, RunState, SharingKind};
use crate::suitability::SpeedNeed;

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
/// Time for which a step counts as waiting for its call after a decision has found so, in
/// milliseconds. One that waits for capacity must not keep the others from their part of the calls.
const MAX_DELAY_AGE_MS: u64 = 300;
/// Most searches of one decision for workers to request advice about. Each looks at all workers of
/// the pool; a decision that makes hundreds delays the starts that it has already decided.
pub(crate) const MAX_ADVICE_SEARCHES_PER_DECISION: usize = 24;
/// Most attempts of one decision to reserve workers for a gang. Each looks at all workers.
const MAX_RESERVATION_ATTEMPTS: usize = 12;

/// Decisions after which the free capacity of a pool is computed again from all its workers.
/// In between, a step may look in vain for capacity that was just taken, which costs less than
/// going through all workers after each decision.
const DECISIONS_PER_POOL_SCAN: usize = 16;

/// A step with tasks that wait for a start.
#[derive(Debug)]
pub(crate) struct WaitingStep<'a> {
    pub(crate) rank: JobRank,
    pub(crate) key: StepKey,
    pub(crate) spec: Arc<JobSpec>,
    pub(crate) rule: &'a QueueRule,
    /// Whether a ticket of the step may be used now.
    pub(crate) has_tickets: bool,
    /// Whether an advice request of the step is in flight.
    pub(crate) is_requested: bool,
    /// Whether no known worker can ever run the step.
    pub(crate) is_unservable: bool,
    /// Expected duration of its next call for advice, in milliseconds; 0 if it needs none.
    pub(crate) call_ms: f64,
    /// Since when its call waits for those of other steps; none if it does not wait now.
    pub(crate) delayed_since_ms: Option<u64>,
    /// Answers that the step, if it is a gang, could not use.
    pub(crate) unused_answers: u32,
}

/// State of one pass over the waiting steps.
#[derive(Debug, Default)]
pub(crate) struct PlacementPass {
    /// Free capacity by pool, computed when the first step of a pool is placed.
    pub(crate) pools: BTreeMap<ArcStr, PoolCapacity>,
    /// Unclaimed capacity of the workers with a label, by pool and label, computed when the first
    /// step that asks for the label requests advice.
    pub(crate) labelled: BTreeMap<(ArcStr, ArcStr), ResourceAmounts>,
    /// Workers that are reserved for gangs earlier in the pass.
    pub(crate) reserved: BTreeSet<WorkerName>,
    /// Those of them that are reserved for each gang.
    pub(crate) own_reserved: BTreeMap<StepKey, BTreeSet<WorkerName>>,
    /// Number of gangs for which workers are reserved until they fit.
    pub(crate) reserved_gangs: usize,
    /// Number of attempts to reserve workers for a gang.
    pub(crate) reservation_attempts: usize,
    /// Number of gangs with an advice request in flight.
    pub(crate) gang_advice_requests: usize,
    /// Number of searches for workers to request advice about.
    pub(crate) advice_searches: usize,
    /// Gang for which workers are reserved whatever its rank.
    pub(crate) reserving_gang: Option<StepKey>,
    /// Steps whose calls go first because they have waited longest: one for each kind of call.
    pub(crate) aged_steps: SmallVec<[StepKey; 2]>,
    /// Capacity by pool that is neither claimed nor needed by steps whose calls are delayed.
    pub(crate) undelayed: BTreeMap<ArcStr, ResourceAmounts>,
    /// What each team may use on workers that have not reported, computed when the first step
    /// of a team is placed; starts in the pass do not change it.
    pub(crate) unreported_usage: Option<BTreeMap<TeamName, ResourceAmounts>>,
    /// What steps that were examined for preemption claimed of their teams' limits.
    pub(crate) team_claims: BTreeMap<TeamName, ResourceAmounts>,
    /// How fast workers have to be for the step that is being placed; none if all are equal.
    pub(crate) speed_need: Option<SpeedNeed>,
    /// Whether the step that is being placed may start on workers that are withheld from others.
    pub(crate) may_use_withheld: bool,
    /// Number of searches for workers that are withheld from a step.
    pub(crate) withheld_searches: usize,
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

    /// Returns whether the step that is being placed has to leave a worker to a gang.
    pub(crate) fn is_withheld(&self, name: &WorkerName) -> bool {
        !self.may_use_withheld && self.reserved.contains(name)
    }

    /// Returns whether workers may be reserved for one more gang.
    pub(crate) fn may_reserve(&self, rank: JobRank) -> bool {
        rank.class == RankClass::OnTime
            && self.reserved_gangs < MAX_RESERVED_GANGS
            && self.reservation_attempts < MAX_RESERVATION_ATTEMPTS
    }

    /// Returns whether one more gang may have an advice request in flight.
    pub(crate) fn may_request_gang_advice(&self, pool: &ArcStr) -> bool {
        let workers = self.pools.get(pool).map_or(0, |capacity| capacity.workers);
        let max_requests = MIN_GANG_ADVICE_REQUESTS.max(workers / WORKERS_PER_GANG_ADVICE_REQUEST);
        self.gang_advice_requests < max_requests
    }

    /// Returns for how many of `needed_tasks` tasks of a step there is unclaimed capacity: all or
    /// none of a gang.
    pub(crate) fn claimable_tasks(
        &self,
        step: &StepSpec,
        rule: &QueueRule,
        needed_tasks: u32,
    ) -> u32 {
        let occupied = step.occupied_amounts();
        let fit = |unclaimed: &ResourceAmounts| capacity::fit_count(*unclaimed, occupied);
        let in_pool = self.pools.get(&rule.pool).map_or(0, |capacity| fit(&capacity.unclaimed));
        let labelled = capacity::label_key(step, rule).and_then(|key| self.labelled.get(&key));
        let tasks = needed_tasks.min(in_pool).min(labelled.map_or(u32::MAX, fit));
        if step.gang && tasks < step.count { 0 } else { tasks }
    }

    /// Claims unclaimed capacity for `tasks` tasks of a step.
    pub(crate) fn claim_capacity(&mut self, step: &StepSpec, rule: &QueueRule, tasks: u32) {
        let claimed = step.occupied_amounts().times(u64::from(tasks));
        let in_pool = self.pools.get_mut(&rule.pool).map(|capacity| &mut capacity.unclaimed);
        let labelled = capacity::label_key(step, rule).and_then(|key| self.labelled.get_mut(&key));
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
        for step in &steps {
            if self.is_call_delayed(step, &mut pass) {
                continue;
            }
            if !pass.is_hopeless(step) {
                self.examined_steps += 1;
                self.place_step(step, &mut pass);
            }
        }
        self.reserved_workers = pass.reserved.len();
        self.forecast_room(&steps);
        self.preempt_runs(&steps, &config, &mut pass);
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

    /// Returns the steps with tasks that may start, with the ranks of their jobs.
    fn waiting_steps<'a>(&mut self, config: &'a PlanConfig) -> Vec<WaitingStep<'a>> {
        let mut steps = Vec::new();
        let quick_factor = self.speeds.quick_factor();
        for (id, job) in &mut self.jobs {
            if job.status.is_final() || self.inherited_jobs.contains(id) {
                continue;
            }
            let waiting = ready_steps(job);
            if waiting.is_empty() {
                continue;
            }
            let Some(rule) = config.queues.get(&job.spec.queue) else { continue };
            let rank = job.rank(rule, self.now_ms, quick_factor);
            let rank = self.room.weigh_rank(rank, job, rule, self.now_ms);
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
                        state.is_unservable(self.worker_changes, self.service_ends)
                    }),
                    call_ms: request::estimate_call_ms(&job.spec.steps[step as usize], rule),
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
        pass.speed_need = self.speed_need(waiting);
        pass.may_use_withheld = self.may_use_withheld_workers(key);
        let may_fit = step.occupied_amounts().fits_in(capacity.largest_free);
        let before = self.decisions.len();
        if step.gang {
            self.place_gang(*rank, key, spec, rule, allowed_tasks, pass);
        } else if may_fit {
            self.place_tasks(key, spec, rule, allowed_tasks, pass);
        }
        let decisions = self.decisions.len() - before;
        self.update_withheld_time(waiting, &capacity, pass);
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

    /// Returns the indices of the tasks of a step that need a run.
    pub(crate) fn waiting_tasks(&self, key: &StepKey) -> Vec<u32> {
        self.step_state(key)
            .map(|step| {
                let waiting = |(task, index): (&crate::state::TaskState, u32)| {
                    task.is_waiting().then_some(index)
                };
                step.tasks.iter().zip(0_u32..).filter_map(waiting).collect()
            })
            .unwrap_or_default()
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

    /// Orders the start of a task; `gang_run` is the run number that its gang shares.
    pub(crate) fn start_task(
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
        let worker = self.workers.get(name);
        let has_sensitive_runs = worker.is_some_and(|worker| worker.sensitive_runs > 0);
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
            started_ms: None,
            is_resumed: !saved.is_empty(),
            was_busy: false,
            occupied: step.occupied_amounts(),
            charged: step.amounts,
            team: spec.team.clone(),
            stop_sent: false,
            sharing: SharingKind::of(step),
            is_service: step.service,
            speed: RunSpeed::at_start(step.filler && has_sensitive_runs),
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
