//! Where a job would go if it were submitted now, and why.
//!
//! The explanation uses the rules of placement, admission and preemption on the state that the last
//! decision left, and changes nothing. It tells what would happen to the job alone: gangs for which
//! workers are reserved in a decision, and jobs that arrive meanwhile, are not in it.

use std::collections::BTreeMap;
use std::sync::Arc;

use arcstr::ArcStr;
use model::name::{JobId, QueueName, TeamName, WorkerName};
use model::resource::ResourceAmounts;
use serde::{Deserialize, Serialize};

use crate::admission::RoomReason;
use crate::advice::{AdviceDispatcher, CallTimes};
use crate::candidate::WorkerCandidate;
use crate::capacity;
use crate::config::QueueRule;
use crate::gang;
use crate::job::{JobSchedule, JobSpec, StepKey, StepSpec};
use crate::order::{self, JobRank, RankClass, RankInput};
use crate::place::{PlacementPass, WaitingStep};
use crate::planner::Planner;
use crate::preempt::{PreemptibleRun, PreemptionVerdict};
use crate::request;
use crate::room::{self, PendingRoom};
use crate::speed::{self, SpeedClass};
use crate::state::WorkerState;

/// Most steps of a job that are explained. Each looks at all workers of its pool, and at their runs
/// for a preemption: four steps took 9 ms with 9,200 runs on 2,300 workers.
const MAX_EXPLAINED_STEPS: usize = 4;
/// Most workers that are named for a step.
const MAX_NAMED_WORKERS: usize = 10;

/// A job that was not submitted, and about which an operator asks.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ExplainQuestion {
    /// Queue that would take the job.
    pub queue: QueueName,
    /// Team that would be charged; none for a caller without a key.
    pub team: Option<TeamName>,
    /// Steps of the job.
    pub steps: Vec<StepSpec>,
    /// Schedule of the job, if it has one.
    pub schedule: Option<JobSchedule>,
}

/// State of the owner that an explanation depends on beside the planner.
#[derive(Clone, Copy, Debug)]
pub struct ExplainContext<'a> {
    /// Calls for advice that wait for an entry.
    pub dispatcher: &'a AdviceDispatcher,
    /// Calls of jobs that are being stored.
    pub storing_calls: &'a CallTimes,
    /// Demands of jobs that are being stored.
    pub storing_room: &'a PendingRoom,
    /// Time on the planner's clock.
    pub now_ms: u64,
    /// Time since the Unix epoch, for a schedule.
    pub unix_ms: u64,
}

/// A name in a question that the configuration does not have.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UnknownName {
    /// There is no such queue.
    Queue,
    /// There is no such team.
    Team,
}

/// What would become of the job now.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ExpectedOutcome {
    /// Tasks would start at once.
    Starts,
    /// There is room, and the advice service would be asked which workers may run a step.
    AsksForAdvice,
    /// The job would be accepted and wait.
    Waits,
    /// The job would be accepted and wait for its due time.
    NotDue,
    /// No registered worker could run one of its steps.
    CannotRun,
    /// The job would be refused.
    Refused,
}

/// Why the job would be refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RefusalReason {
    /// Its calls for advice could not be made in time.
    Calls,
    /// There would be no capacity in time.
    Room,
    /// Its team has used up its share, and others wait.
    Share,
}

/// Refusal that the job would get.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExplainedRefusal {
    /// Why it would be refused.
    pub reason: RefusalReason,
    /// Expected wait, in milliseconds.
    pub wait_ms: u64,
    /// Longest wait with which it would be accepted, in milliseconds.
    pub limit_ms: u64,
    /// Shortest and longest `Retry-After`, in seconds; none where the entry chooses it.
    pub retry_after_s: Option<(u32, u32)>,
}

/// Most resources that a team may use; none for no limit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TeamLimit {
    /// Processor time in thousandths of a core.
    pub cpu_millis: Option<u64>,
    /// Memory in MB.
    pub memory_mb: Option<u64>,
    /// Number of accelerators.
    pub accelerators: Option<u64>,
}

/// Share and limit of the team.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExplainedTeam {
    /// Name of the team.
    pub name: TeamName,
    /// Jobs a second that it may submit before they rank lower.
    pub weight: u64,
    /// Whether its share is used up.
    pub beyond_share: bool,
    /// Its limit.
    pub limit: TeamLimit,
    /// What its runs use of the limit.
    pub used: ResourceAmounts,
    /// What it may use on workers that have not reported to this owner.
    pub unreported: ResourceAmounts,
}

/// Workers that have the label of a step and on which nothing may be started now, by reason. A worker
/// counts for the first one that holds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UnusableWorkers {
    /// About to leave.
    pub draining: usize,
    /// Do not answer.
    pub silent: usize,
    /// Have not reported to this owner.
    pub unreported: usize,
    /// In a failure domain that is out of service.
    pub domain_out: usize,
    /// In quarantine after failed or stalled runs.
    pub quarantined: usize,
    /// Not in the stored list of workers yet.
    pub held: usize,
}

/// Workers that a step could use. Each number counts some of those before it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerCounts {
    /// Registered workers of the pool.
    pub in_pool: usize,
    /// Those with the label of the step.
    pub with_label: usize,
    /// Those on which tasks may be started now.
    pub usable: usize,
    /// Those with room for a task now.
    pub with_room: usize,
    /// Usable ones that are slower than usual.
    pub slow: usize,
    /// Usable ones of the usual speed.
    pub usual: usize,
    /// Usable ones that are faster than usual.
    pub quick: usize,
    /// Those with the label that are not usable.
    pub unusable: UnusableWorkers,
}

/// Advice that a step needs.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct ExplainedAdvice {
    /// Expected duration of its first call, in milliseconds.
    pub call_ms: u64,
    /// Share of the workers that the queue's first answers have named as eligible; none before the
    /// first.
    pub eligible_share: Option<f64>,
}

/// A worker on which tasks of a step would start.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlacedWorker {
    /// The worker.
    pub worker: WorkerName,
    /// Its rack.
    pub rack: Option<ArcStr>,
    /// Its speed.
    pub speed: SpeedClass,
    /// Number of tasks.
    pub tasks: u32,
}

/// What the tasks of a step that do not start now would wait for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum WaitReason {
    /// No registered worker could run the step, or the whole gang.
    NoWorker,
    /// Other steps of the job come first.
    EarlierSteps,
    /// The limit of the team is reached.
    TeamLimit,
    /// No suitable worker can be used now.
    NoUsableWorker,
    /// The usable workers have too little room.
    NoRoom,
}

/// Where the tasks of one step would go.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ExplainedStep {
    /// Number of the step, from 0.
    pub step: u32,
    /// Number of its tasks.
    pub tasks: u32,
    /// Whether they start as a whole or not at all.
    pub gang: bool,
    /// Resources that each task needs.
    pub amounts: ResourceAmounts,
    /// Label that a worker must have.
    pub label: Option<ArcStr>,
    /// Steps that come first.
    pub after: Vec<u32>,
    /// Workers that it could use.
    pub workers: WorkerCounts,
    /// Tasks that the team's limit allows now; none without a limit.
    pub team_allows: Option<u32>,
    /// Least factor on the usual speed with which it is expected to be in time; none if all workers
    /// are equally fast, or the step waits for others.
    pub least_speed: Option<f64>,
    /// Advice that it needs; none if every suitable worker may run it.
    pub advice: Option<ExplainedAdvice>,
    /// Tasks that have room now within the limit of the team. With advice, only the eligible of the
    /// workers may run them.
    pub startable: u32,
    /// Workers on which these would be placed, the first at most 10.
    pub first_workers: Vec<PlacedWorker>,
    /// What the other tasks would wait for; none if all have room.
    pub waits_for: Option<WaitReason>,
    /// Whether runs would be preempted for the tasks that have no room.
    pub preemption: PreemptionVerdict,
    /// These runs, found for up to 64 tasks. With advice, only those on eligible workers would be
    /// preempted. Where two steps wait at once, each is looked at on its own.
    pub preempted: Vec<PreemptibleRun>,
}

/// Where a job would go now, and why.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Explanation {
    /// Version of the configuration in force.
    pub config_version: u64,
    /// Queue of the job.
    pub queue: QueueName,
    /// Pool of workers of the queue.
    pub pool: ArcStr,
    /// Priority of the queue; 0 is the most urgent.
    pub priority: u32,
    /// What would become of the job.
    pub outcome: ExpectedOutcome,
    /// Refusal that it would get, if any.
    pub refusal: Option<ExplainedRefusal>,
    /// Its team; none for a caller without a key.
    pub team: Option<ExplainedTeam>,
    /// How useful it would be to run it now.
    pub rank: RankClass,
    /// Time until it should be done, in milliseconds.
    pub due_in_ms: u64,
    /// The same as used for its place among the jobs of its class and priority, which depends on its
    /// size while capacity is short.
    pub ordered_due_in_ms: u64,
    /// Time until its schedule begins, in milliseconds; 0 without one.
    pub begins_in_ms: u64,
    /// Whether the pool is short of capacity.
    pub short_of_room: bool,
    /// Expected wait for capacity, in milliseconds; none while too little has been measured.
    pub room_wait_ms: Option<u64>,
    /// Expected wait for its first calls for advice, in milliseconds; none if it needs none.
    pub call_wait_ms: Option<u64>,
    /// Its steps, the first at most 4.
    pub steps: Vec<ExplainedStep>,
    /// Number of the steps that are left out.
    pub further_steps: usize,
}

/// What the steps of a job that come first leave to the next ones.
#[derive(Debug, Default)]
struct TakenRoom {
    /// Capacity of workers.
    by_worker: BTreeMap<WorkerName, ResourceAmounts>,
    /// Part of the team's limit, with what it may use unreported.
    of_limit: ResourceAmounts,
}

/// Number of tasks of a step for each worker, in the order in which the workers are taken.
type StepPlaces = Vec<(WorkerName, u32)>;

impl Planner {
    /// Returns where a job would go now, and why. Nothing is started, reserved or counted.
    ///
    /// # Errors
    /// Returns which name the configuration does not have.
    pub fn explain(
        &self,
        question: ExplainQuestion,
        context: ExplainContext<'_>,
    ) -> Result<Explanation, UnknownName> {
        let spec = Arc::new(draft_spec(question));
        let rule = self.config.queues.get(&spec.queue).ok_or(UnknownName::Queue)?;
        let team = spec.team.as_ref().map(|name| self.explain_team(name, &spec)).transpose()?;
        let now_ms = self.now_ms.max(context.now_ms);
        let objective_ms = order::objective_ms(&spec, rule);
        let is_beyond_share = team.as_ref().is_some_and(|team| team.beyond_share);
        let rank = order::rank_job(RankInput {
            now_ms,
            submitted_ms: now_ms,
            objective_ms,
            remaining_ms: speed::shorten_ms(run_path_ms(&spec, rule), self.speeds.quick_factor()),
            beyond_share: is_beyond_share,
            priority: rule.priority,
        });
        let slack_ms = objective_ms.saturating_sub(order::critical_path_ms(&spec, rule));
        let is_deferrable = room::is_deferrable(&spec, slack_ms, slack_ms);
        let rank = self.room.weigh_new_rank(rank, &spec, now_ms, rule, is_deferrable);
        let mut taken = TakenRoom::default();
        taken.of_limit = team.as_ref().map_or(taken.of_limit, |team| team.unreported);
        let explained = spec.steps.len().min(MAX_EXPLAINED_STEPS);
        let steps: Vec<_> = (0_u32..)
            .take(explained)
            .map(|step| self.explain_step(step, rank, &spec, rule, &mut taken))
            .collect();
        let refusal = self.explain_refusal(&spec, context);
        let begins_in_ms =
            spec.schedule.map_or(0, |schedule| schedule.start_ms.saturating_sub(context.unix_ms));
        let room_wait_ms = self.expected_room_wait(&spec, rule, rank.class, context);
        let call_wait_ms =
            self.call_wait_ms(&spec, context.dispatcher, context.storing_calls).map(whole_ms);
        Ok(Explanation {
            config_version: self.config.version,
            queue: spec.queue.clone(),
            pool: rule.pool.clone(),
            priority: rule.priority,
            outcome: expected_outcome(refusal.is_some(), begins_in_ms, &steps),
            refusal,
            team,
            rank: rank.class,
            due_in_ms: objective_ms,
            ordered_due_in_ms: rank.due_ms.saturating_sub(now_ms),
            begins_in_ms,
            short_of_room: self.room.is_short(&rule.pool),
            room_wait_ms,
            call_wait_ms,
            further_steps: spec.steps.len() - steps.len(),
            steps,
        })
    }

    /// Returns the expected wait for capacity of a job of this class, in milliseconds; none while too
    /// little has been measured.
    fn expected_room_wait(
        &self,
        spec: &JobSpec,
        rule: &QueueRule,
        class: RankClass,
        context: ExplainContext<'_>,
    ) -> Option<u64> {
        if !self.room.is_measured(context.now_ms) {
            return None;
        }
        let due_ms = context.now_ms + order::objective_ms(spec, rule);
        let waits = self.room_waits(spec, rule, due_ms, context.storing_room);
        let wait_ms = waits.map(|waits| match class {
            RankClass::OnTime | RankClass::Deferrable => waits.on_time,
            RankClass::Late => waits.late,
            RankClass::BeyondShare | RankClass::Expired => waits.beyond_share,
        });
        Some(whole_ms(wait_ms.unwrap_or(0.0)))
    }

    fn explain_team(&self, name: &TeamName, spec: &JobSpec) -> Result<ExplainedTeam, UnknownName> {
        let rule = self.config.teams.get(name).ok_or(UnknownName::Team)?;
        let limit = |amount: u64, unlimited: u64| (amount != unlimited).then_some(amount);
        let (amounts, unlimited) = (rule.limit, ResourceAmounts::UNLIMITED);
        Ok(ExplainedTeam {
            name: name.clone(),
            weight: rule.weight,
            beyond_share: self.is_beyond_share(spec),
            limit: TeamLimit {
                cpu_millis: limit(amounts.cpu_millis, unlimited.cpu_millis),
                memory_mb: limit(amounts.memory_mb, unlimited.memory_mb),
                accelerators: limit(amounts.accelerators, unlimited.accelerators),
            },
            used: self.team_usage.get(name).copied().unwrap_or_default(),
            unreported: self.sum_unreported_usage().get(name).copied().unwrap_or_default(),
        })
    }

    /// Returns the refusal that a job would get, found in the order in which the owner looks.
    fn explain_refusal(
        &self,
        spec: &JobSpec,
        context: ExplainContext<'_>,
    ) -> Option<ExplainedRefusal> {
        let calls = self.find_call_refusal(spec, context.dispatcher, context.storing_calls);
        let calls = calls.map(|refusal| ExplainedRefusal {
            reason: RefusalReason::Calls,
            wait_ms: whole_ms(refusal.wait_ms),
            limit_ms: whole_ms(refusal.limit_ms),
            retry_after_s: None,
        });
        calls.or_else(|| {
            let refusal = self.find_room_refusal(spec, context.storing_room, context.now_ms)?;
            Some(ExplainedRefusal {
                reason: refusal.reason.into(),
                wait_ms: whole_ms(refusal.wait_ms),
                limit_ms: whole_ms(refusal.limit_ms),
                retry_after_s: Some(refusal.retry_after_s),
            })
        })
    }

    /// Explains one step, and takes the room of the tasks that would start.
    fn explain_step(
        &self,
        index: u32,
        rank: JobRank,
        spec: &Arc<JobSpec>,
        rule: &QueueRule,
        taken: &mut TakenRoom,
    ) -> ExplainedStep {
        let step = &spec.steps[index as usize];
        let waiting = draft_step(index, rank, spec, rule);
        let (workers, possible_tasks) = self.count_workers(step, rule);
        let team = spec.team.as_ref();
        let team_allows = team
            .map(|team| self.count_team_tasks(team, step, taken.of_limit))
            .filter(|tasks| *tasks < u32::MAX);
        let allowed = step.count.min(team_allows.unwrap_or(u32::MAX));
        let mut explained = ExplainedStep {
            step: index,
            tasks: step.count,
            gang: step.gang,
            amounts: step.amounts,
            label: step.label.clone(),
            after: step.after.to_vec(),
            workers,
            team_allows,
            least_speed: None,
            advice: rule.advice.is_some().then(|| ExplainedAdvice {
                call_ms: whole_ms(waiting.call_ms),
                eligible_share: self.eligible_share.get(&spec.queue).copied(),
            }),
            startable: 0,
            first_workers: Vec::new(),
            waits_for: None,
            preemption: PreemptionVerdict::NotNeeded,
            preempted: Vec::new(),
        };
        if possible_tasks < if step.gang { step.count } else { 1 } {
            explained.waits_for = Some(WaitReason::NoWorker);
            return explained;
        }
        if !step.after.is_empty() {
            explained.waits_for = Some(WaitReason::EarlierSteps);
            return explained;
        }
        let need = self.speed_need(&waiting);
        explained.least_speed = need.map(|need| need.least_factor);
        let pass = PlacementPass { speed_need: need, ..PlacementPass::default() };
        let places = self.find_places(&waiting, step, allowed, &pass, taken);
        explained.startable = places.iter().map(|(_, tasks)| tasks).sum();
        explained.first_workers = self.name_workers(&places);
        for (name, tasks) in places {
            let amounts = step.occupied_amounts().times(u64::from(tasks));
            let sum = taken.by_worker.entry(name).or_default();
            *sum = sum.plus(amounts);
        }
        let charged = step.amounts.times(u64::from(explained.startable));
        taken.of_limit = taken.of_limit.plus(charged);
        let is_limited =
            if step.gang { allowed < step.count } else { explained.startable == allowed };
        if explained.startable < step.count {
            explained.waits_for = Some(if is_limited {
                WaitReason::TeamLimit
            } else if workers.usable == 0 {
                WaitReason::NoUsableWorker
            } else {
                WaitReason::NoRoom
            });
        }
        if explained.waits_for == Some(WaitReason::NoRoom) {
            let path_ms = run_path_ms(spec, rule);
            let slack_ms = order::objective_ms(spec, rule).saturating_sub(path_ms);
            let missing = allowed - explained.startable;
            (explained.preemption, explained.preempted) =
                self.find_preemptible(&waiting, missing, to_float(slack_ms), &taken.by_worker);
        }
        explained
    }

    /// Counts the workers that a step could use, and the tasks that the suitable ones could run if
    /// they were free.
    fn count_workers(&self, step: &StepSpec, rule: &QueueRule) -> (WorkerCounts, u32) {
        let mut counts = WorkerCounts::default();
        let mut possible_tasks = 0_u32;
        let in_pool = |worker: &&WorkerState| worker.info.pool == rule.pool && !worker.deregistered;
        for worker in self.workers.values().filter(in_pool) {
            counts.in_pool += 1;
            if !capacity::is_suitable(step, rule, worker) {
                continue;
            }
            counts.with_label += 1;
            possible_tasks =
                possible_tasks.saturating_add(capacity::max_tasks(step, worker.info.capacity));
            if !self.can_start_on(worker) {
                *self.reason_unusable(worker, &mut counts.unusable) += 1;
                continue;
            }
            counts.usable += 1;
            match speed_class(worker.speed.level) {
                SpeedClass::Slow => counts.slow += 1,
                SpeedClass::Usual => counts.usual += 1,
                SpeedClass::Quick => counts.quick += 1,
            }
            let disturbs = step.filler && worker.sensitive_runs > 0;
            let has_room = step.occupied_amounts().fits_in(worker.free()) && !disturbs;
            counts.with_room += usize::from(has_room);
        }
        (counts, possible_tasks)
    }

    /// Returns the count for the reason why nothing may be started on a worker.
    fn reason_unusable<'a>(
        &self,
        worker: &WorkerState,
        counts: &'a mut UnusableWorkers,
    ) -> &'a mut usize {
        if worker.info.draining {
            &mut counts.draining
        } else if worker.silent {
            &mut counts.silent
        } else if worker.incarnation.is_none() {
            &mut counts.unreported
        } else if self.config.domains_out.contains(&worker.info.domain) {
            &mut counts.domain_out
        } else if worker.starts_held {
            &mut counts.held
        } else {
            &mut counts.quarantined
        }
    }

    /// Returns on which workers tasks of a step would be placed, in the order of preference.
    fn find_places(
        &self,
        waiting: &WaitingStep<'_>,
        step: &StepSpec,
        allowed: u32,
        pass: &PlacementPass,
        taken: &TakenRoom,
    ) -> StepPlaces {
        let mut candidates = self.find_candidates(&waiting.key, step, waiting.rule, pass);
        for candidate in &mut candidates {
            if let Some(amounts) = taken.by_worker.get(&candidate.name) {
                candidate.free = candidate.free.minus(*amounts);
            }
        }
        if !step.gang {
            return fill_candidates(step, candidates, allowed);
        }
        if allowed < step.count {
            return Vec::new();
        }
        let mut places: StepPlaces = Vec::new();
        for (name, _) in gang::pack_gang(step, &candidates).unwrap_or_default() {
            match places.last_mut() {
                Some((last, tasks)) if *last == name => *tasks += 1,
                _ => places.push((name, 1)),
            }
        }
        places
    }

    fn name_workers(&self, places: &StepPlaces) -> Vec<PlacedWorker> {
        let known = places.iter().filter_map(|(name, tasks)| {
            let worker = self.workers.get(name)?;
            Some(PlacedWorker {
                worker: name.clone(),
                rack: worker.info.rack().cloned(),
                speed: speed_class(worker.speed.level),
                tasks: *tasks,
            })
        });
        known.take(MAX_NAMED_WORKERS).collect()
    }
}

impl From<RoomReason> for RefusalReason {
    fn from(reason: RoomReason) -> Self {
        match reason {
            RoomReason::Room => Self::Room,
            RoomReason::Share => Self::Share,
        }
    }
}

/// Builds the specification of a job that is not stored; no stored job has an empty identifier.
fn draft_spec(question: ExplainQuestion) -> JobSpec {
    JobSpec {
        id: JobId::default(),
        queue: question.queue,
        team: question.team,
        payload: ArcStr::default(),
        steps: question.steps,
        schedule: question.schedule,
        accepted_ms: 0,
        accepted_rule: None,
        accepted_limit: None,
    }
}

/// Builds the step of a new job as one that waits.
fn draft_step<'a>(
    step: u32,
    rank: JobRank,
    spec: &Arc<JobSpec>,
    rule: &'a QueueRule,
) -> WaitingStep<'a> {
    WaitingStep {
        rank,
        key: StepKey { job: spec.id.clone(), occurrence: 0, step },
        spec: spec.clone(),
        rule,
        has_tickets: false,
        is_requested: false,
        is_unservable: false,
        call_ms: request::estimate_call_ms(&spec.steps[step as usize], rule),
        delayed_since_ms: None,
        unused_answers: 0,
    }
}

/// Returns the declared work on the critical path without calls for advice, which the rank of a job
/// counts as left.
fn run_path_ms(spec: &JobSpec, rule: &QueueRule) -> u64 {
    order::critical_path_ms(spec, &QueueRule { advice: None, ..rule.clone() })
}

/// Places up to `allowed` tasks on the candidates.
///
/// A worker is filled before the next one is used: a task on it leaves less processor time free, for
/// which placement prefers it.
fn fill_candidates(
    step: &StepSpec,
    mut candidates: Vec<WorkerCandidate>,
    allowed: u32,
) -> StepPlaces {
    candidates.sort_by_key(|candidate| candidate.preference(step, false));
    let mut places = Vec::new();
    let mut left = allowed;
    for candidate in candidates {
        let tasks = candidate.placeable_tasks(step.occupied_amounts()).min(left);
        if tasks > 0 {
            left -= tasks;
            places.push((candidate.name, tasks));
        }
    }
    places
}

/// Returns the class of a worker from its level of speed.
const fn speed_class(level: i8) -> SpeedClass {
    match level {
        ..0 => SpeedClass::Slow,
        0 => SpeedClass::Usual,
        1.. => SpeedClass::Quick,
    }
}

fn expected_outcome(
    is_refused: bool,
    begins_in_ms: u64,
    steps: &[ExplainedStep],
) -> ExpectedOutcome {
    let starting = steps.iter().find(|step| step.startable > 0);
    if is_refused {
        ExpectedOutcome::Refused
    } else if steps.iter().any(|step| step.waits_for == Some(WaitReason::NoWorker)) {
        ExpectedOutcome::CannotRun
    } else if begins_in_ms > 0 {
        ExpectedOutcome::NotDue
    } else if let Some(step) = starting {
        let needs_advice = step.advice.is_some();
        if needs_advice { ExpectedOutcome::AsksForAdvice } else { ExpectedOutcome::Starts }
    } else {
        ExpectedOutcome::Waits
    }
}

/// Converts a time to whole milliseconds.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a cast of a float to an integer saturates"
)]
fn whole_ms(millis: f64) -> u64 {
    millis.max(0.0).ceil() as u64
}

#[expect(clippy::cast_precision_loss, reason = "times are minutes at most")]
const fn to_float(millis: u64) -> f64 {
    millis as f64
}
