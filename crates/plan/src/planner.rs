//! The planner: state of the jobs, workers and teams of one fleet, and decisions about them.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use arcstr::ArcStr;
use model::name::{JobId, QueueName, TeamName, WorkerName};
use model::resource::ResourceAmounts;
use smallvec::SmallVec;

use crate::advice::{CallAmounts, CallQueue, CallTimes};
use crate::config::{PlanConfig, QueueRule};
use crate::decision::{PlanDecision, StopOrder};
use crate::drain::LeavingWorkers;
use crate::duration::DurationTable;
use crate::feature::PlanFeatures;
use crate::job::{JobSpec, StepKey, StepSpec, TaskKey};
use crate::order::{self, JobRank, RankInput};
use crate::preempt::PreemptState;
use crate::progress::{JobStatus, ProgressRecord, RemainingRuns, StepProgress};
use crate::removed_team::RemovedTeams;
use crate::room::RoomState;
use crate::speed::{self, SpeedTable, StepWork};
use crate::stall::StallRecord;
use crate::state::{
    AdviceState, JobState, OccurrenceState, PendingAcks, RunPhase, RunState, StepState, TaskState,
    WorkerState,
};
use crate::worker::{InheritedRuns, WorkerInfo};

/// Most steps of open occurrences of one scheduled job. Their progress is stored in one row, of
/// which each takes some 50 of 65,536 bytes.
const MAX_OPEN_STEPS: usize = 1_000;

/// Parameters of a planner that the configuration of the fleet does not contain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlannerOptions {
    /// Size of a team's token bucket, in seconds of its refill rate. A burst of jobs up to
    /// this size counts as within the share.
    pub share_burst_s: u64,
    /// Lowest run number to use; it must be above those of all earlier owners.
    pub first_run: u32,
    /// Optional parts that are in use.
    pub features: PlanFeatures,
}

impl Default for PlannerOptions {
    fn default() -> Self {
        Self { share_burst_s: 3, first_run: 1, features: PlanFeatures::default() }
    }
}

/// Progress records to be stored, and the run ends that they cover.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ProgressBatch {
    /// Progress records, each with its job.
    pub records: Vec<(JobId, ProgressRecord)>,
    /// Run ends that may be acknowledged once the records are stored.
    pub acks: PendingAcks,
}

/// Decides when and on which workers the tasks of all jobs run.
#[derive(Debug, Default)]
pub struct Planner {
    pub(crate) options: PlannerOptions,
    /// Lowest run number to use.
    pub(crate) first_run: u32,
    /// Latest time that the caller passed, on the planner's clock.
    pub(crate) now_ms: u64,
    pub(crate) config: Arc<PlanConfig>,
    pub(crate) workers: BTreeMap<WorkerName, WorkerState>,
    /// Number of changes so far of workers' registrations and of the configuration.
    pub(crate) worker_changes: u64,
    /// Number of runs of services so far that are not present any more.
    pub(crate) service_ends: u64,
    pub(crate) jobs: BTreeMap<JobId, JobState>,
    /// Jobs that were cancelled before they were added.
    pub(crate) cancelled_jobs: BTreeSet<JobId>,
    /// Resources that the runs of each team use up of its limit.
    pub(crate) team_usage: BTreeMap<TeamName, ResourceAmounts>,
    pub(crate) removed_teams: RemovedTeams,
    /// Jobs whose progress changed since it was last taken to be stored.
    pub(crate) dirty_jobs: BTreeSet<JobId>,
    /// Run ends that were counted and whose progress is not stored.
    pub(crate) pending_acks: PendingAcks,
    /// Jobs that start nothing yet: a worker that has not reported may still run their tasks
    /// for an earlier owner.
    pub(crate) inherited_jobs: BTreeSet<JobId>,
    /// Workers that an earlier owner may have used and that have not reported yet.
    pub(crate) unreported_workers: BTreeMap<WorkerName, InheritedRuns>,
    /// Runs of finished jobs that an earlier owner was stopping.
    pub(crate) remaining_runs: BTreeMap<JobId, RemainingRuns>,
    /// At least the capacity of each unreported worker.
    pub(crate) largest_inherited: ResourceAmounts,
    /// Number of workers that the last decision reserved for gangs.
    pub(crate) reserved_workers: usize,
    /// Workers that the advice requests in flight name, by step.
    pub(crate) open_advice_requests: BTreeMap<StepKey, Vec<WorkerName>>,
    /// Advice requests that wait for an entry.
    pub(crate) call_queue: CallQueue,
    /// Calls that the last decision found necessary and did not request.
    pub(crate) delayed_calls: CallTimes,
    /// Duration of calls that the steps which have waited longest for theirs may use before more
    /// useful steps, in milliseconds.
    pub(crate) aged_call_ms: CallAmounts,
    /// Moving average of the share of eligible workers in the first advice answer of each
    /// step, by queue.
    pub(crate) eligible_share: BTreeMap<QueueName, f64>,
    /// Moving average of the calls that a step needs until it starts, by queue.
    pub(crate) calls_per_start: BTreeMap<QueueName, f64>,
    /// How long runs take beside their declared durations.
    pub(crate) durations: DurationTable,
    /// How fast workers are.
    pub(crate) speeds: SpeedTable,
    pub(crate) leaving_workers: LeavingWorkers,
    pub(crate) stalls: StallRecord,
    /// Work that waits for capacity, and the rate at which capacity becomes free.
    pub(crate) room: RoomState,
    /// Runs that were stopped for more urgent work.
    pub(crate) preempt: PreemptState,
    /// Workers examined for waiting steps, over all decisions.
    pub(crate) examined: u64,
    /// Waiting steps for which something might have been done, over all decisions.
    pub(crate) examined_steps: u64,
    /// Inherited jobs examined for what they may use unreported, over all decisions.
    pub(crate) examined_jobs: u64,
    /// Token buckets of the teams' shares: tokens left, and when they were computed.
    pub(crate) share_buckets: BTreeMap<TeamName, (f64, u64)>,
    /// Decisions that the next call of [`Self::decide`] returns.
    pub(crate) decisions: Vec<PlanDecision>,
}

impl Planner {
    /// Creates a planner without configuration, workers and jobs.
    #[must_use]
    pub fn new(options: PlannerOptions) -> Self {
        Self { first_run: options.first_run, options, ..Self::default() }
    }

    /// Puts a configuration in force. The rules of a queue and the limit of a team that it does not
    /// name any more hold on for their unfinished jobs.
    pub fn set_config(&mut self, config: Arc<PlanConfig>) {
        let earlier = std::mem::replace(&mut self.config, config);
        let teams: BTreeSet<_> =
            self.jobs.values().filter_map(|job| job.spec.team.as_ref()).collect();
        self.removed_teams.replace_config(&earlier, &self.config, |team| teams.contains(team));
        let specs: Vec<_> = self.jobs.values().map(|job| job.spec.clone()).collect();
        for spec in specs {
            self.keep_rule(&spec, &earlier);
        }
        self.worker_changes += 1;
        for job in self.jobs.values_mut() {
            job.objective_ms = None;
        }
    }

    /// Adds the rules for an accepted job if the configuration does not name its queue: those of the
    /// earlier configuration, or else those under which the job was accepted.
    fn keep_rule(&mut self, spec: &JobSpec, earlier: &PlanConfig) {
        if self.config.queues.contains_key(&spec.queue) {
            return;
        }
        let rule = earlier.queues.get(&spec.queue).or(spec.accepted_rule.as_ref());
        if let Some(rule) = rule {
            let queues = &mut Arc::make_mut(&mut self.config).queues;
            queues.insert(spec.queue.clone(), rule.clone());
        }
    }

    /// Sets the advice requests that wait for an entry, and so how many the next decision may make.
    pub fn set_call_queue(&mut self, queue: CallQueue) {
        self.call_queue = queue;
    }

    /// Adds or updates a registered worker; returns true if something has changed.
    pub fn set_worker(&mut self, info: WorkerInfo) -> bool {
        let changed = if let Some(worker) = self.workers.get_mut(&info.name) {
            let changed = worker.deregistered || !worker.info.agrees_with(&info);
            worker.info = info;
            worker.deregistered = false;
            if !worker.info.draining {
                worker.departure = None;
                self.leaving_workers.remove(&worker.info.name);
            }
            changed
        } else {
            self.workers.insert(info.name.clone(), WorkerState::new(info));
            true
        };
        self.worker_changes += u64::from(changed);
        changed
    }

    /// Expects runs of earlier owners on all registered workers and on the `leased` ones.
    ///
    /// A job known so far starts nothing until every worker that may run its tasks has
    /// reported, or can run nothing any more. `leased` names the workers that the earlier
    /// owner knew, with the jobs whose tasks it may have started there, also while they are
    /// still registered: it starts others only after a list is stored that allows runs of any job
    /// there.
    /// None of them has more capacity than `largest`.
    pub fn inherit_workers(
        &mut self,
        leased: BTreeMap<WorkerName, InheritedRuns>,
        largest: ResourceAmounts,
    ) {
        self.largest_inherited = largest.max(self.largest_capacity());
        self.unreported_workers = leased;
        for name in self.workers.keys() {
            self.unreported_workers.entry(name.clone()).or_insert(InheritedRuns::Any);
        }
        self.inherited_jobs = self.jobs.keys().cloned().collect();
        self.release_inherited_jobs();
    }

    /// Returns amounts of which no known worker has more, nor one of an earlier owner that has
    /// not reported.
    #[must_use]
    pub fn largest_capacity(&self) -> ResourceAmounts {
        let inherited = if self.unreported_workers.is_empty() {
            ResourceAmounts::ZERO
        } else {
            self.largest_inherited
        };
        let capacities = self.workers.values().map(|worker| worker.info.capacity);
        capacities.fold(inherited, ResourceAmounts::max)
    }

    /// Expects runs of a finished job, which an earlier owner was stopping.
    pub fn inherit_finished_job(&mut self, id: JobId, remaining: RemainingRuns) {
        self.remaining_runs.insert(id, remaining);
    }

    /// Releases the inherited jobs of which no run can be present on an unreported worker.
    fn release_inherited_jobs(&mut self) {
        let mut held: BTreeSet<&JobId> = BTreeSet::new();
        for runs in self.unreported_workers.values() {
            match runs {
                InheritedRuns::Any => return,
                InheritedRuns::OfJobs(jobs) => held.extend(jobs),
            }
        }
        self.inherited_jobs.retain(|id| held.contains(id));
    }

    /// Returns the jobs whose tasks may run on a worker.
    ///
    /// Nothing is started on a worker that is not registered, silent or draining, so that its
    /// set only shrinks.
    #[must_use]
    pub fn possible_runs(&self, name: &WorkerName) -> InheritedRuns {
        let known = self.workers.get(name).into_iter().flat_map(|worker| worker.runs.keys());
        let known = known.map(|task| task.step.job.clone());
        match self.unreported_workers.get(name) {
            Some(InheritedRuns::Any) => InheritedRuns::Any,
            Some(InheritedRuns::OfJobs(jobs)) => {
                InheritedRuns::OfJobs(known.chain(jobs.iter().cloned()).collect())
            }
            None => InheritedRuns::OfJobs(known.collect()),
        }
    }

    /// Records that a worker is not registered any more.
    ///
    /// Its runs still count until it is certain that they have ended.
    pub fn deregister_worker(&mut self, name: &WorkerName) {
        if let Some(worker) = self.workers.get_mut(name) {
            worker.deregistered = true;
            worker.departure = None;
            self.leaving_workers.remove(name);
            if worker.runs.is_empty() && !self.unreported_workers.contains_key(name) {
                self.workers.remove(name);
                self.speeds.forget(name);
            }
        }
    }

    /// Records whether calls to a worker fail; nothing is started on a silent worker.
    pub fn set_silent(&mut self, name: &WorkerName, silent: bool) {
        if let Some(worker) = self.workers.get_mut(name) {
            worker.silent = silent;
            if silent {
                worker.idle_runs.clear();
            }
        }
    }

    /// Holds starts on a worker back, or allows them: a later owner learns only from the stored
    /// list of leased workers that tasks may run there.
    pub fn hold_starts(&mut self, name: &WorkerName, held: bool) {
        if let Some(worker) = self.workers.get_mut(name) {
            worker.starts_held = held;
        }
    }

    /// Records that nothing that was started on a worker can still run there.
    pub fn worker_lease_expired(&mut self, name: &WorkerName) {
        self.mark_reported(name);
        let Some(worker) = self.workers.get_mut(name) else { return };
        let lost: Vec<_> = worker.runs.keys().cloned().collect();
        let deregistered = worker.deregistered;
        for task in lost {
            self.remove_run(name, &task);
        }
        if deregistered {
            self.workers.remove(name);
            self.speeds.forget(name);
        }
    }

    /// Records that a worker has reported, or can run nothing of an earlier owner any more.
    pub(crate) fn mark_reported(&mut self, name: &WorkerName) {
        if self.unreported_workers.remove(name).is_some() {
            self.release_inherited_jobs();
        }
    }

    /// Adds a job with its stored progress; a known or finished job is ignored.
    ///
    /// `submitted_ms` is the time of its submission on the planner's clock. A job that was
    /// cancelled before ends at once.
    pub fn add_job(&mut self, spec: &Arc<JobSpec>, progress: &ProgressRecord, submitted_ms: u64) {
        let was_cancelled = self.cancelled_jobs.remove(&spec.id);
        if self.jobs.contains_key(&spec.id) || progress.status.is_final() {
            return;
        }
        self.keep_rule(spec, &PlanConfig::default());
        self.keep_limit(spec);
        let beyond_share = self.charge_share(spec);
        self.record_arrival(spec, beyond_share);
        let mut job = JobState {
            submitted_ms,
            status: progress.status,
            occurrences: BTreeMap::new(),
            done_occurrences: progress.done_occurrences.clone(),
            next_occurrence: 0,
            beyond_share,
            remaining: None,
            blamed_workers: SmallVec::new(),
            objective_ms: None,
            spec: spec.clone(),
        };
        if spec.schedule.is_none() {
            job.occurrences.insert(0, new_occurrence(spec));
            job.next_occurrence = 1;
        }
        for step in &progress.steps {
            restore_step(&mut job, step);
        }
        job.close_done_occurrences();
        self.jobs.insert(spec.id.clone(), job);
        if was_cancelled {
            self.finish_job(&spec.id, JobStatus::Cancelled);
        }
    }

    /// Charges a job to its team's share; returns true if the share is used up.
    ///
    /// The share is a token bucket: it is refilled by the team's weight each second.
    #[expect(clippy::cast_precision_loss, reason = "weights and spans are small")]
    fn charge_share(&mut self, spec: &JobSpec) -> bool {
        let Some(team) = &spec.team else { return false };
        let Some(rule) = self.config.teams.get(team) else { return false };
        let rate = rule.weight as f64;
        let burst = rate * self.options.share_burst_s as f64;
        let now = self.now_ms;
        let (tokens, computed_ms) = self.share_buckets.entry(team.clone()).or_insert((burst, now));
        *tokens = (*tokens + rate * now.saturating_sub(*computed_ms) as f64 / 1_000.0).min(burst);
        *computed_ms = now;
        if *tokens < 1.0 {
            return true;
        }
        *tokens -= 1.0;
        false
    }

    /// Returns whether a job would be beyond its team's share if it were added now.
    #[expect(clippy::cast_precision_loss, reason = "weights and spans are small")]
    pub(crate) fn is_beyond_share(&self, spec: &JobSpec) -> bool {
        let Some(team) = &spec.team else { return false };
        let Some(rule) = self.config.teams.get(team) else { return false };
        let Some((tokens, computed_ms)) = self.share_buckets.get(team) else { return false };
        let elapsed_ms = self.now_ms.saturating_sub(*computed_ms) as f64;
        *tokens + rule.weight as f64 * elapsed_ms / 1_000.0 < 1.0
    }

    /// Cancels a job and stops its runs.
    ///
    /// The cancellation of a job that is not known is kept: the write of the job may have had no
    /// answer, so that the job is found only later.
    pub fn cancel_job(&mut self, id: &JobId) {
        if self.jobs.contains_key(id) {
            self.finish_job(id, JobStatus::Cancelled);
        } else {
            self.cancelled_jobs.insert(id.clone());
        }
    }

    /// Forgets the cancellation of a job that is not known, as it is not stored any more.
    pub fn forget_cancellation(&mut self, id: &JobId) {
        self.cancelled_jobs.remove(id);
    }

    /// Returns whether the planner has a job, including finished ones that are not stored yet.
    #[must_use]
    pub fn has_job(&self, id: &JobId) -> bool {
        self.jobs.contains_key(id)
    }

    /// Returns the number of jobs that are unfinished, or finished and not stored yet.
    #[must_use]
    pub fn unfinished_job_count(&self) -> usize {
        self.jobs.len()
    }

    /// Returns the number of jobs that wait for workers that have not reported.
    #[must_use]
    pub fn inherited_job_count(&self) -> usize {
        self.inherited_jobs.len()
    }

    /// Returns the expected duration of the calls that the last decision found necessary and did not
    /// request, in milliseconds.
    #[must_use]
    pub fn delayed_call_ms(&self) -> f64 {
        let calls = self.delayed_calls.sum_up_to(u32::MAX);
        calls.short + calls.long
    }

    /// Returns the number of workers that an earlier owner may have used and that have not
    /// reported yet.
    #[must_use]
    pub fn unreported_worker_count(&self) -> usize {
        self.unreported_workers.len()
    }

    /// Returns the number of occurrences of all jobs that are due and not done.
    #[must_use]
    pub fn open_occurrence_count(&self) -> usize {
        self.jobs.values().map(|job| job.occurrences.len()).sum()
    }

    /// Returns the steps that no known worker could run.
    pub fn unservable_steps(&self) -> impl Iterator<Item = StepKey> {
        let (worker_changes, service_ends) = (self.worker_changes, self.service_ends);
        self.jobs.iter().flat_map(move |(id, job)| {
            job.occurrences.iter().flat_map(move |(occurrence, state)| {
                let steps = (0_u32..).zip(&state.steps);
                let steps =
                    steps.filter(move |(_, step)| step.is_unservable(worker_changes, service_ends));
                steps.map(|(step, _)| StepKey { job: id.clone(), occurrence: *occurrence, step })
            })
        })
    }

    /// Returns the number of workers that the last decision reserved for gangs.
    #[must_use]
    pub const fn reserved_worker_count(&self) -> usize {
        self.reserved_workers
    }

    /// Returns the number of runs that may be present on all workers.
    #[must_use]
    pub fn present_run_count(&self) -> usize {
        self.workers.values().map(|worker| worker.runs.len()).sum()
    }

    /// Returns whether runs may be present on a worker.
    #[must_use]
    pub fn has_runs(&self, name: &WorkerName) -> bool {
        self.workers.get(name).is_some_and(|worker| !worker.runs.is_empty())
    }

    /// Returns whether a start that was decided earlier may still be sent: its run was not
    /// stopped meanwhile, and tasks may be started on the worker.
    #[must_use]
    pub fn is_start_wanted(&self, name: &WorkerName, task: &TaskKey, run: u32) -> bool {
        self.workers.get(name).is_some_and(|worker| {
            let is_starting = worker
                .runs
                .get(task)
                .is_some_and(|known| known.run == run && known.phase == RunPhase::Starting);
            is_starting && !worker.starts_held && self.is_schedulable(worker)
        })
    }

    /// Returns whether a run may be present on a worker.
    #[must_use]
    pub fn may_be_present(&self, name: &WorkerName, task: &TaskKey, run: u32) -> bool {
        let worker = self.workers.get(name);
        worker.and_then(|worker| worker.runs.get(task)).is_some_and(|known| known.run == run)
    }

    /// Returns how many workers were examined for waiting steps, over all decisions.
    #[must_use]
    pub fn examined_worker_count(&self) -> u64 {
        self.examined
    }

    /// Returns for how many waiting steps something might have been done, over all decisions.
    #[must_use]
    pub fn examined_step_count(&self) -> u64 {
        self.examined_steps
    }

    /// Returns how many inherited jobs were examined for what they may use on workers that have
    /// not reported, over all decisions.
    #[must_use]
    pub fn examined_job_count(&self) -> u64 {
        self.examined_jobs
    }

    /// Returns the number of jobs in each queue of which no task has started.
    #[must_use]
    pub fn waiting_by_queue(&self) -> BTreeMap<QueueName, u32> {
        let mut counts = BTreeMap::new();
        for job in self.jobs.values().filter(|job| job.status == JobStatus::Pending) {
            *counts.entry(job.spec.queue.clone()).or_insert(0) += 1;
        }
        counts
    }

    /// Takes the progress records of changed jobs, at most `max_records`.
    ///
    /// The batch contains run ends to acknowledge only if no changed job is left.
    pub fn take_progress(&mut self, max_records: usize) -> ProgressBatch {
        let mut batch = ProgressBatch::default();
        while batch.records.len() < max_records
            && let Some(id) = self.dirty_jobs.pop_first()
        {
            if let Some(job) = self.jobs.get(&id) {
                batch.records.push((id, progress_record(job)));
            }
        }
        if self.dirty_jobs.is_empty() {
            batch.acks = std::mem::take(&mut self.pending_acks);
        }
        batch
    }

    /// Puts back a batch that could not be stored, so that a later batch contains it.
    pub fn requeue_progress(&mut self, batch: ProgressBatch) {
        self.dirty_jobs.extend(batch.records.into_iter().map(|(id, _)| id));
        for end in batch.acks.ends.into_iter().rev() {
            self.pending_acks.ends.push_front(end);
        }
    }

    /// Records that a batch is stored.
    ///
    /// Its finished jobs are removed, and its run ends may be acknowledged.
    pub fn confirm_progress(&mut self, batch: &ProgressBatch) {
        self.confirm_records(&batch.records);
        for (name, incarnation, number) in &batch.acks.ends {
            if let Some(worker) = self.workers.get_mut(name)
                && worker.incarnation == Some(*incarnation)
            {
                worker.ack_up_to = worker.ack_up_to.max(*number);
            }
        }
    }

    /// Records that some records of a batch are stored, and removes their finished jobs.
    ///
    /// Run ends are not acknowledged, since other records of the batch may not be stored.
    pub fn confirm_records(&mut self, records: &[(JobId, ProgressRecord)]) {
        for (id, record) in records {
            if record.status.is_final() {
                self.jobs.remove(id);
                self.inherited_jobs.remove(id);
            }
        }
    }

    /// Returns the incarnation of a worker that reported last; none before its first report.
    #[must_use]
    pub fn incarnation(&self, name: &WorkerName) -> Option<u64> {
        self.workers.get(name)?.incarnation
    }

    /// Returns the highest end number of a worker's incarnation that may be acknowledged.
    #[must_use]
    pub fn ack_up_to(&self, name: &WorkerName) -> u64 {
        self.workers.get(name).map_or(0, |worker| worker.ack_up_to)
    }

    /// Returns whether there is progress to be stored.
    #[must_use]
    pub fn has_progress(&self) -> bool {
        !self.dirty_jobs.is_empty() || !self.pending_acks.ends.is_empty()
    }

    /// Returns whether the final status of a job is to be stored; callers wait for it.
    #[must_use]
    pub fn has_final_progress(&self) -> bool {
        self.dirty_jobs.iter().any(|id| self.jobs.get(id).is_some_and(|job| job.status.is_final()))
    }

    /// Returns the decisions for now.
    ///
    /// `now_ms` is the time on the planner's clock, `unix_ms` the time since the Unix epoch,
    /// for jobs with a schedule.
    pub fn decide(&mut self, now_ms: u64, unix_ms: u64) -> Vec<PlanDecision> {
        self.now_ms = self.now_ms.max(now_ms);
        self.add_due_occurrences(unix_ms);
        self.move_leaving_runs();
        self.place_waiting_steps();
        std::mem::take(&mut self.decisions)
    }

    /// Adds the occurrences of scheduled jobs that have become due, and finishes jobs of which an
    /// earlier owner has seen all occurrences end.
    fn add_due_occurrences(&mut self, unix_ms: u64) {
        let mut done_jobs = Vec::new();
        for (id, job) in &mut self.jobs {
            let Some(schedule) = job.spec.schedule else { continue };
            if job.status.is_final() {
                continue;
            }
            let first = job.next_occurrence;
            let due_count = schedule.due_count(unix_ms);
            let max_open = (MAX_OPEN_STEPS / job.spec.steps.len().max(1)).max(1);
            while job.next_occurrence < due_count && job.occurrences.len() < max_open {
                let occurrence = job.done_occurrences.next_missing(job.next_occurrence);
                job.next_occurrence = due_count.min(occurrence.saturating_add(1));
                if occurrence < due_count {
                    job.occurrences.entry(occurrence).or_insert_with(|| new_occurrence(&job.spec));
                }
            }
            if job.next_occurrence > first && job.is_done() {
                done_jobs.push(id.clone());
            }
        }
        for id in done_jobs {
            self.finish_job(&id, JobStatus::Completed);
        }
    }

    /// Adds the occurrence of a reported run if it is missing.
    ///
    /// An earlier owner has found it due, with whose clock this one may not agree yet.
    pub(crate) fn add_reported_occurrence(&mut self, key: &StepKey) {
        let Some(job) = self.jobs.get_mut(&key.job) else { return };
        let Some(schedule) = job.spec.schedule else { return };
        let is_done = job.done_occurrences.contains(key.occurrence);
        if !job.status.is_final() && !is_done && key.occurrence < schedule.occurrences {
            let spec = &job.spec;
            job.occurrences.entry(key.occurrence).or_insert_with(|| new_occurrence(spec));
        }
    }

    pub(crate) fn step_spec(&self, key: &StepKey) -> Option<&StepSpec> {
        self.jobs.get(&key.job)?.spec.steps.get(key.step as usize)
    }

    pub(crate) fn step_state(&self, key: &StepKey) -> Option<&StepState> {
        let job = self.jobs.get(&key.job)?;
        job.occurrences.get(&key.occurrence)?.steps.get(key.step as usize)
    }

    pub(crate) fn step_mut(&mut self, key: &StepKey) -> Option<&mut StepState> {
        let job = self.jobs.get_mut(&key.job)?;
        job.occurrences.get_mut(&key.occurrence)?.steps.get_mut(key.step as usize)
    }

    pub(crate) fn task_mut(&mut self, key: &TaskKey) -> Option<&mut TaskState> {
        self.step_mut(&key.step)?.tasks.get_mut(key.index as usize)
    }

    /// Finishes a job with a final status and stops its remaining runs.
    pub(crate) fn finish_job(&mut self, id: &JobId, status: JobStatus) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        if job.status.is_final() {
            return;
        }
        job.status = status;
        let spec = job.spec.clone();
        let occurrences = std::mem::take(&mut job.occurrences);
        job.remaining = remaining_runs(&spec, occurrences.values());
        self.dirty_jobs.insert(id.clone());
        let reason = match status {
            JobStatus::Cancelled => "job-cancelled",
            _ => "job-over",
        };
        for (occurrence, state) in occurrences {
            for (step, (state, index)) in spec.steps.iter().zip(state.steps.iter().zip(0_u32..)) {
                // The members of a gang end together, so a completed gang has no run left to stop.
                if step.gang && status == JobStatus::Completed {
                    continue;
                }
                let key = StepKey { job: id.clone(), occurrence, step: index };
                for (task, index) in state.tasks.iter().zip(0_u32..) {
                    let task_key = TaskKey { step: key.clone(), index };
                    for (worker, _) in &task.runs {
                        self.stop_run(worker, &task_key, reason);
                    }
                }
            }
        }
    }

    /// Orders the stop of a run. The run occupies its capacity until its end is known.
    pub(crate) fn stop_run(&mut self, name: &WorkerName, task: &TaskKey, reason: &'static str) {
        let Some(worker) = self.workers.get_mut(name) else { return };
        let Some(run) = worker.runs.get_mut(task) else { return };
        if run.stop_sent {
            return;
        }
        run.phase = RunPhase::Stopping;
        run.confirmed_ms = None;
        run.stop_sent = true;
        let order = StopOrder { worker: name.clone(), task: task.clone(), run: run.run, reason };
        self.decisions.push(PlanDecision::Stop(order));
    }

    /// Adds a run and charges it to its worker and its team.
    pub(crate) fn add_run(&mut self, name: &WorkerName, task: &TaskKey, run: RunState) {
        if let Some(team) = &run.team {
            let used = self.team_usage.entry(team.clone()).or_default();
            *used = used.plus(run.charged);
        }
        let number = run.run;
        if let Some(worker) = self.workers.get_mut(name) {
            worker.insert_run(task.clone(), run);
        }
        let Some(step) = self.step_mut(&task.step) else { return };
        let Some(state) = step.tasks.get_mut(task.index as usize) else { return };
        let was_waiting = state.is_waiting();
        state.last_run = state.last_run.max(number);
        state.runs.push((name.clone(), number));
        if was_waiting {
            step.waiting -= 1;
        }
    }

    /// Removes a run that is certainly not present any more, and returns it.
    pub(crate) fn remove_run(&mut self, name: &WorkerName, task: &TaskKey) -> Option<RunState> {
        let worker = self.workers.get_mut(name)?;
        let run = worker.remove_run(task)?;
        self.service_ends += u64::from(run.is_service);
        if let Some(team) = &run.team
            && let Some(used) = self.team_usage.get_mut(team)
        {
            *used = used.minus(run.charged);
        }
        if let Some(step) = self.step_mut(&task.step)
            && let Some(state) = step.tasks.get_mut(task.index as usize)
        {
            let was_waiting = state.is_waiting();
            state.runs.retain(|(worker, number)| worker != name || *number != run.run);
            if !was_waiting && state.is_waiting() {
                step.waiting += 1;
            }
        }
        self.stop_gang_members(task);
        Some(run)
    }

    /// Stops the other members of an unfinished gang after the run of one member has ended.
    pub(crate) fn stop_gang_members(&mut self, task: &TaskKey) {
        if !self.step_spec(&task.step).is_some_and(|spec| spec.gang) {
            return;
        }
        if self.step_state(&task.step).is_some_and(|step| step.unfinished > 0) {
            self.stop_gang(&task.step, "gang-broken");
        }
    }

    /// Stops the runs of all members of a gang.
    pub(crate) fn stop_gang(&mut self, key: &StepKey, reason: &'static str) {
        let Some(step) = self.step_state(key) else { return };
        let members: Vec<_> = step
            .tasks
            .iter()
            .zip(0_u32..)
            .flat_map(|(state, index)| state.runs.iter().map(move |(name, _)| (name, index)))
            .map(|(name, index)| (name.clone(), index))
            .collect();
        for (name, index) in members {
            let member = TaskKey { step: key.clone(), index };
            self.stop_run(&name, &member, reason);
        }
    }
}

impl JobState {
    /// Closes an occurrence of a scheduled job if all its tasks are done and no run of it may be
    /// present, so that neither the state nor the stored progress grows with the schedule.
    pub(crate) fn close_occurrence_if_done(&mut self, number: u32) {
        let is_closed = |task: &TaskState| task.done && task.runs.is_empty();
        let occurrence = self.occurrences.get(&number);
        let mut steps = occurrence.into_iter().flat_map(|occurrence| &occurrence.steps);
        let is_done = occurrence.is_some() && steps.all(|step| step.tasks.iter().all(is_closed));
        if is_done && self.spec.schedule.is_some() {
            self.occurrences.remove(&number);
            self.done_occurrences.insert(number);
        }
    }

    /// Closes all occurrences that are done.
    fn close_done_occurrences(&mut self) {
        let numbers: Vec<_> = self.occurrences.keys().copied().collect();
        for number in numbers {
            self.close_occurrence_if_done(number);
        }
    }

    /// Returns whether all occurrences have become due and all their tasks are done.
    pub(crate) fn is_done(&self) -> bool {
        let total = self.spec.schedule.map_or(1, |schedule| schedule.occurrences);
        let is_done =
            |occurrence: &OccurrenceState| occurrence.steps.iter().all(|step| step.unfinished == 0);
        self.next_occurrence >= total && self.occurrences.values().all(is_done)
    }

    /// Returns for how long the job may wait and still be on time, in milliseconds; 0 before its rank
    /// was first computed.
    pub(crate) fn slack_ms(&self, now_ms: u64) -> u64 {
        let due_ms = self.submitted_ms.saturating_add(self.objective_ms.unwrap_or(0));
        due_ms.saturating_sub(now_ms.saturating_add(remaining_path_ms(self)))
    }

    /// Returns the rank of the job among those that wait. What is left of it may run on workers
    /// that are faster than usual by `quick_factor`.
    pub(crate) fn rank(&mut self, rule: &QueueRule, now_ms: u64, quick_factor: f64) -> JobRank {
        let objective_ms =
            *self.objective_ms.get_or_insert_with(|| order::objective_ms(&self.spec, rule));
        order::rank_job(RankInput {
            now_ms,
            submitted_ms: self.submitted_ms,
            objective_ms,
            remaining_ms: speed::shorten_ms(remaining_path_ms(self), quick_factor),
            beyond_share: self.beyond_share,
            priority: rule.priority,
        })
    }
}

/// Returns the declared work left on the critical path of the job, in milliseconds.
fn remaining_path_ms(job: &JobState) -> u64 {
    let path_ms = |occurrence: &OccurrenceState| {
        let mut ends: SmallVec<[u64; 4]> = SmallVec::new();
        for (spec, state) in job.spec.steps.iter().zip(&occurrence.steps) {
            let start_ms = spec.after.iter().filter_map(|step| ends.get(*step as usize)).max();
            let own_ms = if state.unfinished == 0 { 0 } else { order::estimate_ms(spec) };
            ends.push(start_ms.copied().unwrap_or(0_u64).saturating_add(own_ms));
        }
        ends.into_iter().max().unwrap_or(0)
    };
    job.occurrences.values().map(path_ms).max().unwrap_or(0)
}

/// Returns the runs of a job that may be present; none if there is none.
fn remaining_runs<'a>(
    spec: &JobSpec,
    occurrences: impl Iterator<Item = &'a OccurrenceState>,
) -> Option<RemainingRuns> {
    let mut steps: Vec<_> = spec.steps.iter().map(|step| (step.amounts, 0_u32)).collect();
    for occurrence in occurrences {
        for ((_, count), state) in steps.iter_mut().zip(&occurrence.steps) {
            let runs: usize = state.tasks.iter().map(|task| task.runs.len()).sum();
            *count = count.saturating_add(u32::try_from(runs).unwrap_or(u32::MAX));
        }
    }
    let has_runs = steps.iter().any(|(_, count)| *count > 0);
    has_runs.then(|| RemainingRuns { team: spec.team.clone(), steps })
}

/// Creates an occurrence of a job of which no task has run.
fn new_occurrence(spec: &JobSpec) -> OccurrenceState {
    let steps = spec
        .steps
        .iter()
        .map(|step| StepState {
            tasks: vec![TaskState::default(); step.count as usize],
            unfinished: step.count,
            waiting: step.count,
            advice: AdviceState::default(),
            servability: None,
            withheld_since_ms: None,
            gang_saved: ArcStr::default(),
            work: StepWork::default(),
        })
        .collect();
    OccurrenceState { steps }
}

/// Restores a step from its stored progress.
///
/// The record names only occurrences with an ended task, so it does not tell which were due.
fn restore_step(job: &mut JobState, progress: &StepProgress) {
    let spec = job.spec.clone();
    let occurrence =
        job.occurrences.entry(progress.occurrence).or_insert_with(|| new_occurrence(&spec));
    let Some(step) = occurrence.steps.get_mut(progress.step as usize) else { return };
    for (first, last) in &progress.done {
        for index in *first..=*last {
            if let Some(task) = step.tasks.get_mut(index as usize)
                && !task.done
            {
                task.done = true;
                step.unfinished -= 1;
                step.waiting -= 1;
            }
        }
    }
    for (index, runs) in &progress.failed {
        if let Some(task) = step.tasks.get_mut(*index as usize) {
            task.failed_runs.clone_from(runs);
            task.last_run = runs.iter().copied().max().unwrap_or(0).max(task.last_run);
        }
    }
}

/// Returns the progress of a job as a record to be stored.
fn progress_record(job: &JobState) -> ProgressRecord {
    let mut record = ProgressRecord { status: job.status, ..ProgressRecord::default() };
    if job.status.is_final() {
        record.remaining.clone_from(&job.remaining);
        return record;
    }
    record.done_occurrences.clone_from(&job.done_occurrences);
    for (number, occurrence) in &job.occurrences {
        for (step, index) in occurrence.steps.iter().zip(0_u32..) {
            let mut progress =
                StepProgress { occurrence: *number, step: index, ..StepProgress::default() };
            for (task, index) in step.tasks.iter().zip(0_u32..) {
                if task.done {
                    progress.push_done(index);
                } else if !task.failed_runs.is_empty() {
                    progress.failed.insert(index, task.failed_runs.clone());
                }
            }
            if !progress.done.is_empty() || !progress.failed.is_empty() {
                record.steps.push(progress);
            }
        }
    }
    record
}
