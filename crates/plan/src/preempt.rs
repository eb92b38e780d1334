//! Preemption: less urgent runs that save their progress are stopped for urgent work that would be
//! late for lack of capacity (docs/design/preemption.md).

use std::collections::BTreeMap;

use arcstr::ArcStr;
use model::name::{JobId, WorkerName};
use model::resource::ResourceAmounts;
use serde::{Deserialize, Serialize};

use crate::capacity;
use crate::config::PlanConfig;
use crate::job::{StepKey, StepSpec, TaskKey};
use crate::order::RankClass;
use crate::place::{PlacementPass, WaitingStep};
use crate::planner::Planner;
use crate::room::RoomAmounts;
use crate::state::{RunPhase, RunState, WorkerState};
use crate::worker::{EndKind, EndedRun};

/// Reason of the stops in logs and metrics.
pub const PREEMPTED_REASON: &str = "preempted";
/// Most stops in flight for a pool of up to [`WORKERS_PER_LIMIT`] workers.
const MAX_STOPS_IN_FLIGHT: usize = 8;
/// Workers of a pool for which the limit of stops holds; it grows in proportion above.
const WORKERS_PER_LIMIT: usize = 350;
/// Time in which a task is not preempted again, in milliseconds.
const MIN_PREEMPTION_INTERVAL_MS: u64 = 10_000;
/// Time that a run takes to resume from saved progress, in milliseconds; 250 to 600 in the
/// deployments known.
const RESTORE_MS: f64 = 600.0;
/// Time from a stop order to the end of the run that is assumed before any was measured, in
/// milliseconds. Workers take up to 200 or 900 ms, and a report up to 100 ms.
const INITIAL_STOP_MS: f64 = 500.0;
/// Weight of the newest stop in the moving average of that time.
const STOP_GAIN: f64 = 0.2;
/// Longest time that a stop counts as, in milliseconds. Workers take up to 900 ms; what took longer
/// says something about one worker or link, and must not keep the others from being used.
const MAX_STOP_MS: f64 = 1_500.0;
/// Time constant with which the average returns to its initial value while no stop is measured, in
/// milliseconds. Once it exceeds what urgent work can wait, no stop is ordered that could lower it.
const STOP_MEMORY_MS: f64 = 5_000.0;
/// Multiple of its own loss that a run has to have left to do, to be preempted.
const MIN_REMAINING_FACTOR: f64 = 2.0;
/// Time between the end of the stopped run and the start in its place, in milliseconds: a decision
/// and a call.
const RESTART_MS: f64 = 100.0;
/// Least time between two looks at all runs of a pool, in milliseconds. A look takes 1.5 ms with
/// 9,200 runs on 2,300 workers, and a decision is made every 20 ms.
const MIN_LOOK_INTERVAL_MS: u64 = 50;
/// Most steps that one decision examines for preemption.
const MAX_EXAMINED_STEPS: usize = 16;

/// Most tasks of a step for which an explanation looks for runs to preempt. Each looks at all workers
/// of the pool.
const MAX_EXPLAINED_TASKS: u32 = 64;

/// Whether runs would be preempted for a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PreemptionVerdict {
    /// The step does not wait for capacity, or waits for something else first.
    NotNeeded,
    /// Preemption is switched off.
    SwitchedOff,
    /// The work cannot be on time, is a service or a filler, or no queue is less urgent.
    NotUrgent,
    /// Too little work waits for the pool to count as short of capacity.
    NotShort,
    /// Enough capacity becomes free by itself in time.
    InTimeWithout,
    /// A stopped run would end too late.
    TooLate,
    /// No run may be stopped, or the limit of stops in flight is reached.
    NoVictims,
    /// The runs named would be stopped.
    Preempts,
}

/// A run that would be preempted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PreemptibleRun {
    /// Worker of the run.
    pub worker: WorkerName,
    /// Job of the run.
    pub job: JobId,
    /// Task of the run, with its job, occurrence and step.
    pub task: String,
    /// Priority of its queue.
    pub priority: u32,
}

/// A stop that was ordered to preempt a run.
#[derive(Clone, Debug)]
struct StopInFlight {
    worker: WorkerName,
    pool: ArcStr,
    run: u32,
    ordered_ms: u64,
    /// Whether the worker was silent meanwhile, so that the time says nothing about stops.
    was_silent: bool,
}

/// Preemptions so far, as far as later ones depend on them.
#[derive(Debug)]
pub(crate) struct PreemptState {
    in_flight: BTreeMap<TaskKey, StopInFlight>,
    /// When each task was last preempted, for [`MIN_PREEMPTION_INTERVAL_MS`].
    preempted_at: BTreeMap<TaskKey, u64>,
    /// Moving average of the time from a stop order to the end of the run, in milliseconds, when it
    /// was last measured.
    measured_stop_ms: f64,
    /// When it was last measured.
    measured_at_ms: u64,
    /// Time before which the runs are not looked at again.
    next_look_ms: u64,
}

impl Default for PreemptState {
    fn default() -> Self {
        Self {
            in_flight: BTreeMap::new(),
            preempted_at: BTreeMap::new(),
            measured_stop_ms: INITIAL_STOP_MS,
            measured_at_ms: 0,
            next_look_ms: 0,
        }
    }
}

impl PreemptState {
    /// Returns the expected time from a stop order to the end of the run, in milliseconds.
    #[expect(clippy::cast_precision_loss, reason = "stops are measured for days at most")]
    fn stop_ms(&self, now_ms: u64) -> f64 {
        let elapsed_ms = now_ms.saturating_sub(self.measured_at_ms) as f64;
        let weight = (-elapsed_ms / STOP_MEMORY_MS).exp();
        INITIAL_STOP_MS + weight * (self.measured_stop_ms - INITIAL_STOP_MS)
    }

    /// Learns how long the stop of a run took, which has ended at `now_ms`.
    #[expect(clippy::cast_precision_loss, reason = "capped at once")]
    fn measure_stop(&mut self, ordered_ms: u64, now_ms: u64) {
        let took_ms = (now_ms.saturating_sub(ordered_ms) as f64).min(MAX_STOP_MS);
        let stop_ms = self.stop_ms(now_ms);
        self.measured_stop_ms = stop_ms + STOP_GAIN * (took_ms - stop_ms);
        self.measured_at_ms = now_ms;
    }
}

/// A run that may be preempted.
#[derive(Clone, Debug)]
struct Victim {
    task: TaskKey,
    run: u32,
    priority: u32,
    occupied: ResourceAmounts,
    /// Expected time that it has left to run, in milliseconds.
    remaining_ms: f64,
}

/// A worker, with the capacity that it will have once the stops in flight have ended.
#[derive(Clone, Debug)]
struct VictimWorker {
    free: ResourceAmounts,
    /// Runs that may be preempted here: the least urgent first, and those with the most left to do.
    victims: Vec<Victim>,
}

/// The workers of a pool, and the rate at which their runs free capacity by themselves.
#[derive(Debug, Default)]
struct PreemptPool {
    workers: BTreeMap<WorkerName, VictimWorker>,
    /// Amounts that become free in each millisecond.
    freeing: RoomAmounts,
    /// Amounts that the steps examined so far wait for.
    awaited: RoomAmounts,
    /// Stops that may still be ordered.
    stops_left: usize,
}

/// Place for one task: its worker, and the runs to be stopped there.
type PreemptPlace = (WorkerName, Vec<Victim>);

impl PreemptPool {
    /// Takes room for a task from a worker that `may_take` allows: what is free or is becoming free,
    /// or else what the fewest runs that are less urgent than `priority` occupy. Returns none if
    /// there is no such worker.
    fn take_place(
        &mut self,
        may_take: impl Fn(&WorkerName) -> bool,
        amounts: ResourceAmounts,
        priority: u32,
    ) -> Option<PreemptPlace> {
        let (name, count) = self
            .workers
            .iter()
            .filter_map(|(name, worker)| {
                let count = worker.count_stops(amounts, priority)?;
                may_take(name).then_some((name, count))
            })
            .min_by_key(|(_, count)| *count)?;
        if count > self.stops_left {
            return None;
        }
        let name = name.clone();
        self.stops_left -= count;
        let worker = self.workers.get_mut(&name)?;
        let victims: Vec<_> = worker.victims.drain(..count).collect();
        let freed = victims.iter().map(|victim| victim.occupied);
        worker.free = freed.fold(worker.free, ResourceAmounts::plus).minus(amounts);
        Some((name, victims))
    }

    /// Returns the time until `awaited` amounts have become free by themselves, in milliseconds.
    fn wait_ms(&self) -> f64 {
        let ratio = self.awaited.largest_ratio(self.freeing);
        if ratio > 0.0 || self.awaited == RoomAmounts::default() { ratio } else { f64::INFINITY }
    }
}

impl VictimWorker {
    /// Returns how many of the victims have to be stopped until a task fits; none if it never does.
    fn count_stops(&self, amounts: ResourceAmounts, priority: u32) -> Option<usize> {
        let mut free = self.free;
        if amounts.fits_in(free) {
            return Some(0);
        }
        let usable = self.victims.iter().take_while(|victim| victim.priority > priority);
        for (count, victim) in (1..).zip(usable) {
            free = free.plus(victim.occupied);
            if amounts.fits_in(free) {
                return Some(count);
            }
        }
        None
    }
}

impl Planner {
    /// Preempts runs for urgent steps that would be late otherwise.
    ///
    /// `steps` are those of this decision, of which some were started, and of which the first need
    /// not be the most useful.
    pub(crate) fn preempt_runs(
        &mut self,
        steps: &[WaitingStep<'_>],
        config: &PlanConfig,
        pass: &mut PlacementPass,
    ) {
        if !self.options.features.preemption {
            return;
        }
        self.update_stops();
        let least_urgent = least_urgent(config);
        if self.now_ms < self.preempt.next_look_ms {
            return;
        }
        let mut pools: BTreeMap<ArcStr, PreemptPool> = BTreeMap::new();
        let mut examined = 0;
        let on_time = steps.iter().filter(|waiting| waiting.rank.class == RankClass::OnTime);
        let mut on_time: Vec<_> = on_time.collect();
        on_time.sort_by_key(|waiting| waiting.rank);
        for waiting in on_time {
            if examined >= MAX_EXAMINED_STEPS {
                break;
            }
            let step = &waiting.spec.steps[waiting.key.step as usize];
            let may_preempt = self.room.is_short(&waiting.rule.pool)
                && !waiting.is_unservable
                && is_urgent(waiting, step, least_urgent)
                && (waiting.rule.advice.is_none() || waiting.has_tickets);
            let tasks = self.step_state(&waiting.key).map_or(0, |state| state.waiting);
            if !may_preempt || tasks == 0 {
                continue;
            }
            let allowed = self.remaining_team_tasks(&waiting.spec, step, pass);
            if allowed == 0 || (step.gang && allowed.min(tasks) < step.count) {
                continue;
            }
            examined += 1;
            let pool = pools
                .entry(waiting.rule.pool.clone())
                .or_insert_with(|| self.preempt_pool(&waiting.rule.pool, config));
            let occupied = RoomAmounts::of(step.occupied_amounts());
            pool.awaited = pool.awaited.plus(occupied.times(f64::from(tasks.min(allowed))));
            if let Some(team) = &waiting.spec.team {
                let claims = pass.team_claims.entry(team.clone()).or_default();
                *claims = claims.plus(step.amounts.times(u64::from(tasks.min(allowed))));
            }
            self.preempt_for_step(waiting, step, tasks.min(allowed), pool, pass);
        }
    }

    /// Learns from the end of a run how long its stop took, if it was stopped to preempt it and its
    /// worker answered all the while. A run that ended by itself says nothing about stops.
    pub(crate) fn record_preempted_end(&mut self, end: &EndedRun) {
        let stop = self.preempt.in_flight.get(&end.task);
        let Some(stop) = stop.filter(|stop| stop.run == end.run && !stop.was_silent) else {
            return;
        };
        if end.kind == EndKind::Stopped {
            let ordered_ms = stop.ordered_ms;
            self.preempt.measure_stop(ordered_ms, self.now_ms);
        }
    }

    /// Forgets stops whose runs have ended, and marks those on workers that do not answer.
    fn update_stops(&mut self) {
        let now = self.now_ms;
        let workers = &self.workers;
        let state = &mut self.preempt;
        state.preempted_at.retain(|_, at| now.saturating_sub(*at) < MIN_PREEMPTION_INTERVAL_MS);
        state.in_flight.retain(|task, stop| {
            let Some(worker) = workers.get(&stop.worker) else { return false };
            stop.was_silent |= worker.silent;
            worker.runs.get(task).is_some_and(|run| run.run == stop.run)
        });
    }

    /// Stops runs for a step if it would be late without that, and is in time with it.
    #[expect(clippy::cast_precision_loss, reason = "times are minutes at most")]
    fn preempt_for_step(
        &mut self,
        waiting: &WaitingStep<'_>,
        step: &StepSpec,
        tasks: u32,
        pool: &mut PreemptPool,
        pass: &PlacementPass,
    ) {
        let Some(slack_ms) = self.jobs.get(&waiting.key.job).map(|job| job.slack_ms(self.now_ms))
        else {
            return;
        };
        let slack_ms = slack_ms as f64;
        let is_in_time = self.preempt.stop_ms(self.now_ms) + RESTART_MS <= slack_ms;
        if pool.wait_ms() <= slack_ms || !is_in_time || pool.stops_left == 0 {
            return;
        }
        let names = waiting.rule.advice.is_some().then(|| self.ticket_workers(&waiting.key));
        let amounts = step.occupied_amounts();
        let mut places: Vec<PreemptPlace> = Vec::new();
        let before = pool.stops_left;
        let workers = step.gang.then(|| pool.workers.clone());
        for _ in 0..tasks {
            let may_take = |name: &WorkerName| {
                let beside = places.iter().filter(|(other, _)| other == name).count();
                names.as_ref().is_none_or(|names| names.binary_search(name).is_ok())
                    && self.may_place_on(name, waiting, step, beside, pass)
            };
            let place = pool.take_place(may_take, amounts, waiting.rule.priority);
            let Some(place) = place else { break };
            places.push(place);
        }
        // A gang starts as a whole or not at all.
        if let Some(workers) = workers.filter(|_| places.len() < step.count as usize) {
            pool.stops_left = before;
            pool.workers = workers;
            return;
        }
        for (name, victims) in places {
            for victim in victims {
                let order = StopInFlight {
                    worker: name.clone(),
                    pool: waiting.rule.pool.clone(),
                    run: victim.run,
                    ordered_ms: self.now_ms,
                    was_silent: false,
                };
                self.preempt.preempted_at.insert(victim.task.clone(), self.now_ms);
                self.preempt.in_flight.insert(victim.task.clone(), order);
                self.stop_run(&name, &victim.task, PREEMPTED_REASON);
            }
        }
    }

    /// Returns whether a task of a step could start on a worker with enough free capacity, beside
    /// `placed` tasks of the step that are to start there.
    fn may_place_on(
        &self,
        name: &WorkerName,
        waiting: &WaitingStep<'_>,
        step: &StepSpec,
        placed: usize,
        pass: &PlacementPass,
    ) -> bool {
        let key = &waiting.key;
        let is_own = || pass.own_reserved.get(key).is_some_and(|names| names.contains(name));
        if pass.reserved.contains(name) && !is_own() {
            return false;
        }
        if step.label.is_none() && step.max_per_worker == 0 {
            return true;
        }
        let Some(worker) = self.workers.get(name) else { return false };
        let here = worker.runs.keys().filter(|task| task.step == *key).count() + placed;
        let has_place = step.max_per_worker == 0 || here < step.max_per_worker as usize;
        has_place && capacity::is_suitable(step, waiting.rule, worker)
    }

    /// Returns the workers for which a step holds a ticket that is valid until a stop has ended, in
    /// the order of their names.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "stops take seconds at most"
    )]
    fn ticket_workers(&self, key: &StepKey) -> Vec<WorkerName> {
        let needed_ms = self.now_ms + (self.preempt.stop_ms(self.now_ms) + RESTART_MS) as u64;
        let eligible = self.step_state(key).into_iter().flat_map(|state| &state.advice.eligible);
        let valid = eligible.filter(|(_, ticket)| ticket.expires_ms > needed_ms);
        valid.map(|(name, _)| name.clone()).collect()
    }

    /// Looks at the runs of a pool: which may be preempted, and how fast they free capacity.
    fn preempt_pool(&mut self, name: &ArcStr, config: &PlanConfig) -> PreemptPool {
        self.preempt.next_look_ms = self.now_ms + MIN_LOOK_INTERVAL_MS;
        self.survey_pool(name, config)
    }

    /// Returns the runs of a pool that may be preempted, and how fast runs free capacity.
    fn survey_pool(&self, name: &ArcStr, config: &PlanConfig) -> PreemptPool {
        let mut pool = PreemptPool::default();
        let usable = self
            .workers
            .values()
            .filter(|worker| worker.info.pool == *name && self.can_start_on(worker));
        for worker in usable {
            let stopping = worker.runs.values().filter(|run| run.phase == RunPhase::Stopping);
            let free = stopping.fold(worker.free(), |free, run| free.plus(run.occupied));
            let mut victims: Vec<_> = worker
                .runs
                .iter()
                .filter(|(_, run)| run.phase != RunPhase::Stopping)
                .filter_map(|(task, run)| {
                    let expected_ms = self.expected_run_ms(task)?;
                    pool.freeing =
                        pool.freeing.plus(RoomAmounts::of(run.occupied).times(1.0 / expected_ms));
                    self.find_victim(worker, task, run, expected_ms, config)
                })
                .collect();
            victims.sort_by(|left, right| {
                let by_priority = right.priority.cmp(&left.priority);
                by_priority.then_with(|| right.remaining_ms.total_cmp(&left.remaining_ms))
            });
            pool.workers.insert(worker.info.name.clone(), VictimWorker { free, victims });
        }
        let limit =
            MAX_STOPS_IN_FLIGHT * pool.workers.len().max(WORKERS_PER_LIMIT) / WORKERS_PER_LIMIT;
        let in_flight = self.preempt.in_flight.values().filter(|stop| stop.pool == *name).count();
        pool.stops_left = limit.saturating_sub(in_flight);
        pool
    }

    /// Returns the expected duration of a run, in milliseconds; none for a service, which does not end.
    fn expected_run_ms(&self, task: &TaskKey) -> Option<f64> {
        let job = self.jobs.get(&task.step.job)?;
        let step = job.spec.steps.get(task.step.step as usize)?;
        let expected_ms = self.durations.expected_ms(&job.spec.queue, step.estimate_ms);
        (!step.service).then_some(expected_ms.max(1.0))
    }

    /// Returns a run as a victim; none if it must not be preempted, or is nearly done.
    #[expect(clippy::cast_precision_loss, reason = "runs take hours at most")]
    fn find_victim(
        &self,
        worker: &WorkerState,
        task: &TaskKey,
        run: &RunState,
        expected_ms: f64,
        config: &PlanConfig,
    ) -> Option<Victim> {
        let job = self.jobs.get(&task.step.job)?;
        let step = job.spec.steps.get(task.step.step as usize)?;
        let rule = config.queues.get(&job.spec.queue)?;
        let may_stop = step.checkpoint
            && !step.gang
            && !step.service
            && !step.filler
            && step.may_miss == 0
            && worker.filler_runs == 0
            && run.phase == RunPhase::Running
            && !self.preempt.preempted_at.contains_key(task);
        // What a resumed run had done before is not known, so its work counts from its start.
        let elapsed_ms = self.now_ms.saturating_sub(run.started_ms?) as f64;
        let remaining_ms = expected_ms - elapsed_ms;
        let lost_ms = self.preempt.stop_ms(self.now_ms) + RESTORE_MS;
        (may_stop && remaining_ms >= MIN_REMAINING_FACTOR * lost_ms).then(|| Victim {
            task: task.clone(),
            run: run.run,
            priority: rule.priority,
            occupied: run.occupied,
            remaining_ms,
        })
    }
    /// Returns what a step that is not stored would preempt for `tasks` tasks that have no room.
    ///
    /// `taken` is the capacity that its job has been given so far, and `slack_ms` the time for which
    /// the step may wait.
    pub(crate) fn find_preemptible(
        &self,
        waiting: &WaitingStep<'_>,
        tasks: u32,
        slack_ms: f64,
        taken: &BTreeMap<WorkerName, ResourceAmounts>,
    ) -> (PreemptionVerdict, Vec<PreemptibleRun>) {
        let step = &waiting.spec.steps[waiting.key.step as usize];
        let none = |verdict| (verdict, Vec::new());
        if !self.options.features.preemption {
            return none(PreemptionVerdict::SwitchedOff);
        }
        if waiting.rank.class != RankClass::OnTime
            || !is_urgent(waiting, step, least_urgent(&self.config))
        {
            return none(PreemptionVerdict::NotUrgent);
        }
        if !self.room.is_short(&waiting.rule.pool) {
            return none(PreemptionVerdict::NotShort);
        }
        let mut pool = self.survey_pool(&waiting.rule.pool, &self.config);
        for (name, amounts) in taken {
            if let Some(worker) = pool.workers.get_mut(name) {
                worker.free = worker.free.minus(*amounts);
            }
        }
        let amounts = step.occupied_amounts();
        pool.awaited = pool.awaited.plus(RoomAmounts::of(amounts).times(f64::from(tasks)));
        if pool.wait_ms() <= slack_ms {
            return none(PreemptionVerdict::InTimeWithout);
        }
        if self.preempt.stop_ms(self.now_ms) + RESTART_MS > slack_ms {
            return none(PreemptionVerdict::TooLate);
        }
        let examined = tasks.min(MAX_EXPLAINED_TASKS);
        let pass = PlacementPass::default();
        let mut places: Vec<PreemptPlace> = Vec::new();
        for _ in 0..examined {
            let may_take = |name: &WorkerName| {
                let beside = places.iter().filter(|(other, _)| other == name).count();
                self.may_place_on(name, waiting, step, beside, &pass)
            };
            let place = pool.take_place(may_take, amounts, waiting.rule.priority);
            let Some(place) = place else { break };
            places.push(place);
        }
        let is_whole = !step.gang || places.len() >= step.count as usize;
        let runs: Vec<_> = places
            .into_iter()
            .filter(|_| is_whole)
            .flat_map(|(worker, victims)| victims.into_iter().map(move |run| (worker.clone(), run)))
            .map(|(worker, run)| PreemptibleRun {
                worker,
                job: run.task.step.job.clone(),
                task: run.task.to_string(),
                priority: run.priority,
            })
            .collect();
        let has_victims = !runs.is_empty();
        let verdict =
            if has_victims { PreemptionVerdict::Preempts } else { PreemptionVerdict::NoVictims };
        (verdict, runs)
    }
}

/// Returns the priority of the least urgent queue.
fn least_urgent(config: &PlanConfig) -> Option<u32> {
    config.queues.values().map(|rule| rule.priority).max()
}

/// Returns whether a step may preempt runs of less urgent queues.
fn is_urgent(waiting: &WaitingStep<'_>, step: &StepSpec, least_urgent: Option<u32>) -> bool {
    Some(waiting.rule.priority) < least_urgent && !step.service && !step.filler
}
