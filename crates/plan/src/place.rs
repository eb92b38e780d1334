//! Placement of waiting steps, in order, under room, limits and advice.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use arcstr::ArcStr;
use model::name::{TeamName, WorkerName};
use model::resource::ResourceAmounts;
use smallvec::SmallVec;

use crate::config::QueueRule;
use crate::decision::{AdviceRequest, PlanDecision, StartOrder};
use crate::job::{JobSpec, StepKey, StepSpec, TaskKey};
use crate::order::{JobRank, RankClass};
use crate::planner::Planner;
use crate::state::{JobState, RunPhase, RunState, SharingKind, WorkerState};

/// Most workers that one call for advice may name.
const MAX_ADVICE_WORKERS: usize = 100;
/// Room that is asked about, relative to what a step needs: some of it is
/// taken by other work before the answer comes.
const ADVICE_CAPACITY_FACTOR: f64 = 1.3;
/// Share of good answers that is assumed before the first one.
const INITIAL_ELIGIBLE_SHARE: f64 = 0.5;
/// Workers that the first question of a gang names at least, so that the
/// question needs no second one when the room moves.
const MIN_GANG_ADVICE_WORKERS: usize = 30;
/// Gangs for which room is kept at the same time; more would idle the fleet.
const MAX_RESERVED_GANGS: usize = 3;
/// Gangs that may have a question open at the same time. With more, the calls
/// queue up, and the room that they found is gone when they are answered.
const MAX_GANG_ADVICE_REQUESTS: usize = 8;
/// Milliseconds between two questions about one step.
const ADVICE_REQUEST_INTERVAL_MS: u64 = 60;

/// A worker that may take tasks of a step.
#[derive(Clone, Debug)]
struct WorkerCandidate {
    name: WorkerName,
    free: ResourceAmounts,
    near_data: bool,
    /// Whether fillers run here that would slow a service.
    has_fillers: bool,
    rack: Option<ArcStr>,
    ticket: ArcStr,
    /// Tasks of the step that may still be placed here because of the spread.
    remaining_tasks: u32,
    /// Open questions that name the worker.
    open_advice_requests: u32,
}

impl WorkerCandidate {
    /// Returns how many tasks fit.
    fn fits(&self, occupied: ResourceAmounts) -> u32 {
        fit_count(self.free, occupied).min(self.remaining_tasks)
    }

    fn take(&mut self, occupied: ResourceAmounts) {
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
        .map(|(room, amount)| room / amount);
    ratios.min().unwrap_or(u64::from(u32::MAX)).try_into().unwrap_or(u32::MAX)
}

/// Actions after which the largest free room is measured again. In between, a step may look for
/// room that was just taken, which costs less than measuring all workers each time.
const DECISIONS_PER_POOL_SCAN: usize = 16;

/// Free room of the workers of one pool.
#[derive(Clone, Copy, Debug, Default)]
struct PoolCapacity {
    /// Actions since the room was measured.
    actions: usize,
    /// The most of each resource that one worker had.
    largest: ResourceAmounts,
    /// What all workers have, less what open questions are about.
    unrequested: ResourceAmounts,
}

/// State of one pass over the waiting steps.
#[derive(Debug, Default)]
struct PlacementPass {
    pools: BTreeMap<ArcStr, PoolCapacity>,
    /// Workers whose room is kept for gangs that come first.
    reserved: BTreeSet<WorkerName>,
    /// Gangs for which room is kept.
    reserved_gangs: usize,
    /// Gangs with an open question.
    gang_advice_requests: usize,
}

impl PlacementPass {
    /// Takes room for a question about so many tasks from what no open question is about, and
    /// returns for how many there was room: all or none of a gang.
    fn claim_unrequested(&mut self, pool: &ArcStr, step: &StepSpec, need: u32) -> u32 {
        let Some(room) = self.pools.get_mut(pool) else { return 0 };
        let need = need.min(fit_count(room.unrequested, step.occupied()));
        if step.gang && need < step.count {
            return 0;
        }
        room.unrequested = room.unrequested.minus(step.occupied().times(u64::from(need)));
        need
    }
}

impl Planner {
    pub(crate) fn place_waiting_steps(&mut self) {
        let mut steps = self.waiting_steps();
        steps.sort();
        let mut pass = PlacementPass::default();
        for (rank, key) in steps {
            self.place_step(rank, &key, &mut pass);
        }
    }

    /// Tells whether starts on a worker are possible now.
    fn can_start_on(&self, worker: &WorkerState) -> bool {
        worker.quarantined_until <= self.now_ms && self.is_schedulable(worker)
    }

    /// Tells whether starts on a worker are possible now or after its quarantine.
    fn is_schedulable(&self, worker: &WorkerState) -> bool {
        worker.born.is_some()
            && !worker.silent
            && !worker.deregistered
            && !worker.info.draining
            && !self.config.domains_out.contains(&worker.info.domain)
    }

    fn scan_pool(&self, pool: &ArcStr) -> PoolCapacity {
        let usable = self
            .workers
            .values()
            .filter(|worker| worker.info.pool == *pool && self.can_start_on(worker));
        usable.fold(PoolCapacity::default(), |room, worker| PoolCapacity {
            actions: 0,
            largest: room.largest.max(worker.free()),
            unrequested: room.unrequested.plus(worker.free()),
        })
    }

    fn waiting_steps(&mut self) -> Vec<(JobRank, StepKey)> {
        let config = self.config.clone();
        let mut steps = Vec::new();
        for (id, job) in &mut self.jobs {
            if job.status.is_final() || self.inherited_jobs.contains(id) {
                continue;
            }
            let Some(rule) = config.queues.get(&job.spec.queue) else { continue };
            let waiting = ready_steps(job);
            if waiting.is_empty() {
                continue;
            }
            let rank = job.rank(rule, self.now_ms);
            steps.extend(
                waiting.into_iter().map(|(occurrence, step)| {
                    (rank, StepKey { job: id.clone(), occurrence, step })
                }),
            );
        }
        steps
    }

    fn place_step(&mut self, rank: JobRank, key: &StepKey, pass: &mut PlacementPass) {
        let Some(job) = self.jobs.get(&key.job) else { return };
        let spec = job.spec.clone();
        let config = self.config.clone();
        let Some(rule) = config.queues.get(&spec.queue) else { return };
        let step = &spec.steps[key.step as usize];
        let allowed = self.remaining_team_tasks(&spec, step);
        if allowed == 0 {
            return;
        }
        let room = match pass.pools.get(&rule.pool) {
            Some(room) => *room,
            None => self.scan_pool(&rule.pool),
        };
        pass.pools.insert(rule.pool.clone(), room);
        let fits = step.occupied().fits_in(room.largest);
        let before = self.out.len();
        if step.gang {
            self.place_gang(rank, key, &spec, rule, allowed, pass);
        } else if fits {
            self.place_tasks(key, &spec, rule, allowed, pass);
        }
        let actions = self.out.len() - before;
        if let Some(room) = pass.pools.get_mut(&rule.pool)
            && actions > 0
        {
            room.actions += actions;
            if room.actions >= DECISIONS_PER_POOL_SCAN {
                let measured = self.scan_pool(&rule.pool);
                *room = PoolCapacity {
                    unrequested: measured.unrequested.min(room.unrequested),
                    ..measured
                };
            }
        }
    }

    /// Returns how many more tasks the team's limit allows.
    fn remaining_team_tasks(&self, spec: &JobSpec, step: &StepSpec) -> u32 {
        let Some(team) = &spec.team else { return u32::MAX };
        let Some(rule) = self.config.teams.get(team) else { return 0 };
        let used = self.team_usage.get(team).copied().unwrap_or_default();
        let unknown = self.unreported_usage(team);
        fit_count(rule.limit.minus(used).minus(unknown), step.amounts)
    }

    /// Returns what a team may have running on workers that have not reported to this owner.
    ///
    /// Only tasks of inherited jobs that are neither done nor known to run can be
    /// there, and they fit the workers' capacity.
    fn unreported_usage(&self, team: &TeamName) -> ResourceAmounts {
        if self.unreported_workers.is_empty() {
            return ResourceAmounts::ZERO;
        }
        let capacity = self
            .unreported_workers
            .iter()
            .map(|name| self.workers.get(name).map(|worker| worker.info.capacity))
            .try_fold(ResourceAmounts::ZERO, |sum, capacity| Some(sum.plus(capacity?)))
            .unwrap_or(ResourceAmounts::UNLIMITED);
        let mut waiting = ResourceAmounts::ZERO;
        for job in self.inherited_jobs.iter().filter_map(|id| self.jobs.get(id)) {
            if job.spec.team.as_ref() != Some(team) {
                continue;
            }
            for occurrence in job.occurrences.values() {
                for (spec, state) in job.spec.steps.iter().zip(&occurrence.steps) {
                    waiting = waiting.plus(spec.amounts.times(u64::from(state.waiting)));
                }
            }
        }
        waiting.min(capacity)
    }

    /// Tells whether a step may ask for advice now.
    fn can_request_advice(&self, key: &StepKey, rule: &QueueRule) -> bool {
        rule.advice.is_some()
            && self.step_state(key).is_some_and(|state| {
                state.advice.requested_ms.is_none() && state.advice.next_request_ms <= self.now_ms
            })
    }

    /// Returns the workers on which tasks of a step may start now: of a step that needs advice,
    /// those with a ticket.
    ///
    /// Under overload thousands of steps wait. Looking at every worker for each of them
    /// at each decision would take the owner longer than the tasks do.
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
        let mut options = Vec::new();
        for (name, ticket) in &state.advice.eligible {
            if ticket.expires_ms > self.now_ms
                && let Some(worker) = self.workers.get(name)
                && let Some(option) = self.candidate(key, step, rule, worker, pass)
            {
                options.push(WorkerCandidate { ticket: ticket.text.clone(), ..option });
            }
        }
        self.examined += state.advice.eligible.len() as u64;
        options
    }

    /// Returns all workers that have room for a task of a step.
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

    fn candidate(
        &self,
        key: &StepKey,
        step: &StepSpec,
        rule: &QueueRule,
        worker: &WorkerState,
        pass: &PlacementPass,
    ) -> Option<WorkerCandidate> {
        let name = &worker.info.name;
        let has_room = step.occupied_amounts().fits_in(worker.free())
            && worker.info.pool == rule.pool
            && self.can_start_on(worker)
            && !pass.reserved.contains(name);
        // Fillers slow services by amounts that nobody knows beforehand.
        let disturbs = step.filler && worker.has_run_of_kind(SharingKind::LatencySensitive);
        let labelled = step.label.as_ref().is_none_or(|label| worker.info.labels.contains(label));
        if !has_room || disturbs || !labelled {
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
            has_fillers: worker.has_run_of_kind(SharingKind::Filler),
            rack: worker.info.rack().cloned(),
            ticket: ArcStr::default(),
            remaining_tasks,
            open_advice_requests: worker.open_advice_requests,
        })
    }

    fn place_tasks(
        &mut self,
        key: &StepKey,
        spec: &Arc<JobSpec>,
        rule: &QueueRule,
        allowed: u32,
        pass: &mut PlacementPass,
    ) {
        let step = &spec.steps[key.step as usize];
        let mut options = self.start_candidates(key, step, rule, pass);
        let mut placed = 0;
        for index in self.waiting_tasks(key) {
            if placed == allowed {
                return;
            }
            let task = TaskKey { step: key.clone(), index };
            let Some(best) = self.choose_candidate(&task, step, &options) else { break };
            let option = &mut options[best];
            option.take(step.occupied_amounts());
            let (name, ticket) = (option.name.clone(), option.ticket.clone());
            self.start_task(&task, spec, &name, ticket, None);
            placed += 1;
        }
        let waiting = self.step_mut(key).map_or(0, |state| state.waiting);
        let need = waiting.min(allowed - placed);
        if need > 0 && rule.advice.is_some() {
            self.request_advice_within_capacity(key, step, rule, need, pass);
        }
    }

    /// Asks about as many tasks as there is room for that no open question is about.
    ///
    /// Under overload everything waits, and asking for all of it would keep the
    /// advice service busy with tickets that expire before there is room.
    fn request_advice_within_capacity(
        &mut self,
        key: &StepKey,
        step: &StepSpec,
        rule: &QueueRule,
        need: u32,
        pass: &mut PlacementPass,
    ) {
        let need = pass.claim_unrequested(&rule.pool, step, need);
        if need > 0 && self.can_request_advice(key, rule) {
            let options = self.all_candidates(key, step, rule, pass);
            self.request_advice(key, step, rule, &options, need);
        }
    }

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

    /// Picks the tightest fit, near the data, away from workers where the task failed.
    fn choose_candidate(
        &mut self,
        task: &TaskKey,
        step: &StepSpec,
        options: &[WorkerCandidate],
    ) -> Option<usize> {
        let avoided = self.task_mut(task)?.avoided.clone();
        let occupied = step.occupied();
        options
            .iter()
            .enumerate()
            .filter(|(_, option)| option.fits(occupied) > 0)
            .min_by_key(|(_, option)| {
                let disturbed = step.tail_target_ms > 0 && option.has_fillers;
                (
                    avoided.contains(&option.name),
                    disturbed,
                    !option.near_data,
                    option.free.cpu_millis,
                )
            })
            .map(|(index, _)| index)
    }

    fn place_gang(
        &mut self,
        rank: JobRank,
        key: &StepKey,
        spec: &Arc<JobSpec>,
        rule: &QueueRule,
        allowed: u32,
        pass: &mut PlacementPass,
    ) {
        let step = &spec.steps[key.step as usize];
        let idle = self.step_mut(key).is_some_and(|state| state.waiting == step.count);
        if !idle || allowed < step.count {
            return;
        }
        let options = self.start_candidates(key, step, rule, pass);
        if let Some(places) = pack_gang(step, options) {
            let run = self.next_gang_run(key);
            for (index, (name, ticket)) in (0_u32..).zip(places) {
                let task = TaskKey { step: key.clone(), index };
                self.start_task(&task, spec, &name, ticket, Some(run));
            }
            return;
        }
        if rule.advice.is_some() && pass.gang_advice_requests < MAX_GANG_ADVICE_REQUESTS {
            self.request_advice_within_capacity(key, step, rule, step.count, pass);
        }
        if rule.advice.is_some()
            && let Some(state) = self.step_mut(key)
            && state.advice.requested_ms.is_some()
        {
            pass.gang_advice_requests += 1;
            pass.reserved.extend(state.advice.reserved_workers.iter().cloned());
        }
        if rank.class == RankClass::OnTime && pass.reserved_gangs < MAX_RESERVED_GANGS {
            pass.reserved_gangs += 1;
            self.reserve_workers(key, step, rule, &mut pass.reserved);
        }
    }

    /// Keeps workers that may run a gang free of later work until it fits.
    fn reserve_workers(
        &self,
        key: &StepKey,
        step: &StepSpec,
        rule: &QueueRule,
        reserved: &mut BTreeSet<WorkerName>,
    ) {
        let Some(state) = self.step_state(key) else {
            return;
        };
        let mut workers: Vec<_> = self
            .workers
            .values()
            .filter(|worker| worker.info.pool == rule.pool && self.is_schedulable(worker))
            .filter(|worker| !reserved.contains(&worker.info.name))
            .filter(|worker| {
                rule.advice.is_none() || state.advice.eligible.contains_key(&worker.info.name)
            })
            .collect();
        workers.sort_by_key(|worker| Reverse(worker.free().cpu_millis));
        let mut room = 0;
        let mut names = Vec::new();
        for worker in workers {
            if room >= step.count {
                break;
            }
            room += fit_count(worker.info.capacity, step.occupied_amounts());
            names.push(worker.info.name.clone());
        }
        if room >= step.count {
            reserved.extend(names);
        }
    }

    /// Stops the fillers of a worker on which a service starts; they go on elsewhere.
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

    fn next_gang_run(&mut self, key: &StepKey) -> u32 {
        let base = self.first_run;
        let Some(state) = self.step_mut(key) else { return base };
        let last = state.tasks.iter().map(|task| task.last_run).max().unwrap_or(0);
        (last + 1).max(base)
    }

    fn start_task(
        &mut self,
        task: &TaskKey,
        spec: &Arc<JobSpec>,
        name: &WorkerName,
        ticket: ArcStr,
        gang_run: Option<u32>,
    ) {
        let step = &spec.steps[task.step.step as usize];
        let base = self.first_run;
        if step.tail_target_ms > 0 {
            self.stop_fillers(name);
        }
        let Some(state) = self.step_mut(&task.step) else { return };
        let gang_saved = state.gang_saved.clone();
        let Some(waiting) = state.tasks.get(task.index as usize) else { return };
        let saved = if step.gang { gang_saved } else { waiting.saved.clone() };
        let run = gang_run.unwrap_or((waiting.last_run + 1).max(base));
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

    /// Asks which workers may run a step: those that may first, then unknown ones by room.
    fn request_advice(
        &mut self,
        key: &StepKey,
        step: &StepSpec,
        rule: &QueueRule,
        options: &[WorkerCandidate],
        need: u32,
    ) {
        let Some(cost) = rule.advice else { return };
        let queue = self.jobs.get(&key.job).map(|job| job.spec.queue.clone());
        let share = queue
            .and_then(|queue| self.eligible_share.get(&queue).copied())
            .unwrap_or(INITIAL_ELIGIBLE_SHARE)
            .max(0.05);
        let now = self.now_ms;
        let Some(state) = self.step_mut(key) else { return };
        let occupied = step.occupied_amounts();
        let mut ranked: Vec<_> = options
            .iter()
            .filter(|option| !state.advice.ineligible.contains(&option.name))
            .map(|option| {
                let known = state.advice.eligible.contains_key(&option.name);
                (
                    Reverse(known),
                    option.open_advice_requests,
                    Reverse(option.fits(occupied).min(need)),
                    option,
                )
            })
            .collect();
        // Questions that all named the emptiest workers would get tickets for the same room.
        ranked.sort_by_key(|(known, open_advice_requests, fits, option)| {
            (*known, *open_advice_requests, *fits, option.name.clone())
        });
        let wanted = f64::from(need) * ADVICE_CAPACITY_FACTOR;
        let mut expected = 0.0;
        let mut room = 0.0;
        let mut workers: Vec<WorkerName> = Vec::new();
        for (Reverse(known), _, Reverse(fits), WorkerCandidate { name, .. }) in ranked {
            let enough = expected >= wanted
                && (!step.gang || known || workers.len() >= MIN_GANG_ADVICE_WORKERS);
            if enough || workers.len() >= MAX_ADVICE_WORKERS {
                break;
            }
            expected += f64::from(fits) * if known { 1.0 } else { share };
            room += f64::from(fits);
            workers.push(name.clone());
        }
        // A gang that does not fit even if all workers were good has to wait for room first.
        let hopeless = step.gang && room < f64::from(need);
        if workers.is_empty() || hopeless {
            return;
        }
        state.advice.requested_ms = Some(now);
        state.advice.next_request_ms = now + ADVICE_REQUEST_INTERVAL_MS;
        let renewal = workers.iter().all(|name| state.advice.eligible.contains_key(name));
        state.advice.reserved_workers =
            if step.gang && renewal { workers.clone() } else { Vec::new() };
        for name in &workers {
            if let Some(worker) = self.workers.get_mut(name) {
                worker.open_advice_requests += 1;
            }
        }
        self.open_advice_requests.insert(key.clone(), workers.clone());
        let duration_ms = cost.duration_ms(workers.len());
        self.decisions.push(PlanDecision::RequestAdvice(AdviceRequest {
            step: key.clone(),
            workers,
            duration_ms,
            priority: rule.priority,
        }));
    }
}

/// Returns occurrence and number of the steps that have waiting tasks and may start.
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

/// Places a whole gang, on one rack if it wants that and one has the room; none if it does not fit.
fn pack_gang(step: &StepSpec, options: Vec<WorkerCandidate>) -> Option<Vec<(WorkerName, ArcStr)>> {
    if step.same_rack {
        let racks: BTreeSet<_> = options.iter().filter_map(|option| option.rack.clone()).collect();
        let on_rack = racks.into_iter().find_map(|rack| {
            let inside = options.iter().filter(|option| option.rack.as_ref() == Some(&rack));
            pack_tasks(step, inside.cloned().collect())
        });
        if on_rack.is_some() {
            return on_rack;
        }
    }
    pack_tasks(step, options)
}

fn pack_tasks(
    step: &StepSpec,
    mut options: Vec<WorkerCandidate>,
) -> Option<Vec<(WorkerName, ArcStr)>> {
    let occupied = step.occupied();
    options.sort_by_key(|option| (!option.near_data, option.free.cpu_millis));
    let mut places = Vec::with_capacity(step.count as usize);
    for option in &mut options {
        while places.len() < step.count as usize && option.fits(occupied) > 0 {
            option.take(occupied);
            places.push((option.name.clone(), option.ticket.clone()));
        }
    }
    (places.len() == step.count as usize).then_some(places)
}
