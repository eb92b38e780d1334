//! Start, confirmation, stop and end of an attempt to run a task.

use std::collections::btree_map;
use std::vec;

use model::job::JobState;
use model::name::{JobId, TaskId, WorkerName};
use model::object::ClassKind;
use model::resource::ResourceAmounts;

use crate::cell::Cell;
use crate::event::{CellDecision, EndKind, PlacementReason};
use crate::hold::{HoldId, StopOrder, TaskClass, TaskHold};
use crate::index::WorkerIndex;
use crate::job::TaskStage;
use crate::placement::PlacementRule;
use crate::quarantine::{self, WorkerProbe, WorkerQuarantine};
use crate::rules;
use crate::team::TeamIndex;
use crate::timer::TimerKind;

/// Running tasks that are ordered to stop, a bounded number in each event.
#[derive(Debug)]
pub(crate) struct StopBatch {
    pub(crate) tasks: StopList,
    pub(crate) mode: StopMode,
    pub(crate) reason: &'static str,
}

/// The tasks of a [`StopBatch`]; each variant takes over its source without a copy.
#[derive(Debug)]
pub(crate) enum StopList {
    /// The running tasks of a job that has ended.
    Job(btree_map::IntoValues<u32, HoldId>),
    /// Tasks of any jobs.
    List(vec::IntoIter<HoldId>),
}

impl StopList {
    fn next(&mut self) -> Option<HoldId> {
        match self {
            Self::Job(tasks) => tasks.next(),
            Self::List(tasks) => tasks.next(),
        }
    }
}

/// How the tasks of a [`StopBatch`] are stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StopMode {
    /// Without a checkpoint, because their state is not needed any more.
    WithoutCheckpoint,
    /// With a checkpoint if their class is preemptible, otherwise without.
    ByClass,
    /// Only tasks of preemptible classes stop, with a checkpoint; the others go on.
    PreemptibleOnly,
}

impl<R: PlacementRule> Cell<R> {
    /// Adds an attempt to the table of holds and counts it for its worker and team.
    pub(crate) fn add_hold(&mut self, hold: TaskHold) -> HoldId {
        let id = self.holds.next_id();
        self.insert_hold(id, hold);
        id
    }

    /// Adds a hold with its number and the sums that depend on it.
    fn insert_hold(&mut self, id: HoldId, hold: TaskHold) {
        self.teams.add_hold(id, &hold);
        self.pool.edit(hold.worker, |worker| {
            worker.reserved = worker.reserved.plus(hold.amounts);
            if hold.class.kind == ClassKind::Service {
                worker.service_reserved = worker.service_reserved.plus(hold.amounts);
            }
            worker.tasks.insert(hold.task.clone(), id);
        });
        self.holds.insert(id, hold);
    }

    /// Removes a hold from the table and from the sums that depend on it.
    fn remove_hold(&mut self, id: HoldId) -> Option<TaskHold> {
        let hold = self.holds.remove(id)?;
        self.teams.remove_hold(id, &hold);
        self.pool.edit(hold.worker, |worker| {
            worker.reserved = worker.reserved.minus(hold.amounts);
            if hold.class.kind == ClassKind::Service {
                worker.service_reserved = worker.service_reserved.minus(hold.amounts);
            }
            worker.tasks.remove(&hold.task);
        });
        Some(hold)
    }

    /// Sets the scheduling class of an attempt and updates the sums that depend on it.
    pub(crate) fn set_class(&mut self, id: HoldId, class: TaskClass) {
        if self.holds.get(id).is_none_or(|hold| hold.class == class) {
            return;
        }
        if let Some(hold) = self.remove_hold(id) {
            self.insert_hold(id, TaskHold { class, ..hold });
        }
    }

    /// Reserves resources for a task on a worker and orders its start.
    pub(crate) fn start_task(
        &mut self,
        job_id: &JobId,
        index: u32,
        worker: WorkerIndex,
        amounts: ResourceAmounts,
        reason: PlacementReason,
    ) {
        let Some(job) = self.jobs.jobs.get(job_id) else { return };
        let attempt = job.tasks[index as usize].attempt.saturating_add(1);
        let record = job.record.clone();
        let task = TaskId { job: job_id.clone(), index };
        let run_ms = record.spec.run_ms;
        let team = job.team;
        let hold = TaskHold {
            task: task.clone(),
            attempt,
            worker,
            team,
            amounts,
            class: job.class.unwrap_or(TaskClass::UNKNOWN),
            started_at: self.now,
            confirmed_at: None,
            ends_at: (run_ms > 0).then(|| self.now + run_ms),
            protected_until: job.protected_until.get(&index).copied().unwrap_or_default(),
            stop: None,
            missing_from_report: false,
        };
        let id = self.add_hold(hold);
        let rack = self.pool.get(worker).rack;
        if let Some(job) = self.jobs.jobs.get_mut(job_id) {
            job.set_running(index, id, rack, attempt);
        }
        self.jobs.refresh_ready(job_id);
        self.pool.edit(worker, |entry| {
            if let Some(state) = &mut entry.quarantine {
                state.probe = WorkerProbe::Task(id);
            }
        });
        if self.pool.get(worker).quarantine.is_some() {
            let check_at = quarantine::healthy_at(self.now);
            self.timers.set(check_at, TimerKind::CheckProbe(worker, id));
        }
        self.starts_left = self.starts_left.saturating_sub(1);
        self.decisions.push(CellDecision::StartTask {
            task,
            attempt,
            worker: self.pool.get(worker).name.clone(),
            team: self.teams.get(team).name.clone(),
            amounts,
            job: record,
            reason,
        });
    }

    pub(crate) fn confirm_start(&mut self, task: &TaskId, attempt: u32) {
        let Some(id) = self.holds.find(task, attempt) else { return };
        let now = self.now;
        if let Some(hold) = self.holds.get_mut(id) {
            hold.confirmed_at.get_or_insert(now);
        }
    }

    /// Ends a refused attempt and gives its worker no work for a while.
    pub(crate) fn handle_start_refusal(&mut self, task: &TaskId, attempt: u32) {
        let Some(id) = self.holds.find(task, attempt) else { return };
        let Some(worker) = self.holds.get(id).map(|hold| hold.worker) else { return };
        let until = self.now + rules::REFUSED_START_BACKOFF_MS;
        self.pool.edit(worker, |entry| {
            entry.backoff_until = Some(until);
        });
        self.timers.set(until, TimerKind::BackoffOver(worker));
        self.end_hold(id, EndKind::Stopped);
    }

    /// Applies the end of an attempt that its worker reported.
    pub(crate) fn end_task(
        &mut self,
        task: &TaskId,
        attempt: u32,
        worker: &WorkerName,
        end: EndKind,
    ) {
        let index = self.pool.intern(worker);
        let hold = self.pool.get(index).tasks.get(task).copied();
        match hold.filter(|id| self.holds.get(*id).is_some_and(|hold| hold.attempt == attempt)) {
            Some(id) => self.end_hold(id, end),
            None => self.record_unknown_end(task, attempt, index, end),
        }
    }

    /// Records the end of an attempt that the cell does not know, because an earlier
    /// owner started it.
    fn record_unknown_end(
        &mut self,
        task: &TaskId,
        attempt: u32,
        worker: WorkerIndex,
        end: EndKind,
    ) {
        let now = self.now;
        self.pool.edit(worker, |entry| entry.record_end(Some((task.clone(), attempt)), now));
        if end != EndKind::Done || self.jobs.has_ended(&task.job) {
            return;
        }
        if self.jobs.jobs.contains_key(&task.job) {
            self.mark_done(&task.job, task.index);
        } else {
            self.jobs.record_early_completion(&task.job, task.index);
        }
    }

    /// Marks a waiting task as done and finishes its job if it was the last.
    pub(crate) fn mark_done(&mut self, job_id: &JobId, index: u32) {
        let Some(job) = self.jobs.jobs.get_mut(job_id) else { return };
        if !job.set_done(index) {
            return;
        }
        job.has_unsaved_progress = true;
        let done = job.is_done();
        self.jobs.refresh_ready(job_id);
        if done {
            self.finish_job(job_id, JobState::Done);
        } else {
            self.schedule_progress(job_id);
        }
    }

    /// Ends an attempt: releases its resources and updates its job and its worker's health.
    pub(crate) fn end_hold(&mut self, id: HoldId, end: EndKind) {
        let Some(hold) = self.remove_hold(id) else { return };
        self.needs_placement = true;
        let now = self.now;
        let ended = (hold.task.clone(), hold.attempt);
        self.pool.edit(hold.worker, |worker| worker.record_end(Some(ended), now));
        if let Some(StopOrder { preempted_for: Some(team), .. }) = hold.stop {
            self.preemptions_in_flight = self.preemptions_in_flight.saturating_sub(1);
            let account = self.teams.get_mut(team);
            account.preemptions_in_flight = account.preemptions_in_flight.saturating_sub(1);
        }
        self.record_attempt_health(id, &hold, end);
        let job_id = hold.task.job.clone();
        let index = hold.task.index;
        let rack = self.pool.get(hold.worker).rack;
        let Some(job) = self.jobs.jobs.get_mut(&job_id) else {
            self.remove_orphan(id, &hold, end);
            return;
        };
        if job.tasks[index as usize].stage != TaskStage::Running(id) {
            return;
        }
        job.clear_running(index, rack, end == EndKind::Done);
        if end == EndKind::Failed {
            job.failed_workers.entry(index).or_default().push(hold.worker);
        }
        job.has_unsaved_progress |= end == EndKind::Done;
        let done = job.is_done();
        // The task must not start again while a duplicate attempt is being stopped.
        if end != EndKind::Done
            && let Some(other) = self.holds.find_any(&hold.task)
        {
            self.attach_duplicate(other);
        }
        self.jobs.refresh_ready(&job_id);
        if done {
            self.finish_job(&job_id, JobState::Done);
        } else if end == EndKind::Failed && self.has_failed(&job_id, index) {
            self.fail_job(&job_id);
        } else {
            if end == EndKind::Done {
                self.schedule_progress(&job_id);
            }
            let is_idle = self.jobs.jobs.get(&job_id).is_some_and(|job| job.running.is_empty());
            if is_idle && self.domain_out_since.is_some() {
                self.pending_moves.push_back(job_id);
            }
        }
    }

    /// Makes a duplicate attempt the one that its task runs as.
    fn attach_duplicate(&mut self, id: HoldId) {
        let Some(hold) = self.holds.get(id) else { return };
        let rack = self.pool.get(hold.worker).rack;
        if let Some(job) = self.jobs.jobs.get_mut(&hold.task.job) {
            job.set_running(hold.task.index, id, rack, hold.attempt);
        }
    }

    /// Records the end of an attempt whose job has not been submitted yet.
    fn remove_orphan(&mut self, id: HoldId, hold: &TaskHold, end: EndKind) {
        let job = &hold.task.job;
        if let Some(holds) = self.jobs.orphans.get_mut(job) {
            holds.retain(|orphan| *orphan != id);
            if holds.is_empty() {
                self.jobs.orphans.remove(job);
            }
        }
        if end == EndKind::Done && !self.jobs.has_ended(job) {
            self.jobs.record_early_completion(job, hold.task.index);
        }
    }

    /// Returns whether a task failed so often that its job fails. Failures on quarantined
    /// workers count only towards the higher limit, since the workers may have caused them.
    fn has_failed(&self, job_id: &JobId, index: u32) -> bool {
        let job = self.jobs.jobs.get(job_id);
        let Some(workers) = job.and_then(|job| job.failed_workers.get(&index)) else {
            return false;
        };
        let counted =
            workers.iter().filter(|worker| self.pool.get(**worker).quarantine.is_none()).count();
        counted >= rules::MAX_TASK_FAILURES
            || workers.len() >= rules::MAX_TASK_FAILURES_WITH_QUARANTINED
    }

    /// Fails a job and lifts the quarantines that only its tasks caused.
    fn fail_job(&mut self, job_id: &JobId) {
        // Workers on which nothing but tasks of this job failed are not at fault.
        for worker in self.pool.indices() {
            let entry = self.pool.get(worker);
            if entry.quarantine.is_some() && entry.history.has_only_failures_of(job_id) {
                self.lift_quarantine(worker);
            }
        }
        self.finish_job(job_id, JobState::Failed);
    }

    /// Records what the end of an attempt shows about the health of its worker.
    fn record_attempt_health(&mut self, id: HoldId, hold: &TaskHold, end: EndKind) {
        if !self.rules.quarantine {
            return;
        }
        let now = self.now;
        let worker = hold.worker;
        let is_quick = quarantine::is_quick_failure(now.since(hold.started_at));
        let failed_quickly = is_quick && end == EndKind::Failed;
        if failed_quickly {
            let job = hold.task.job.clone();
            self.pool.edit(worker, |entry| entry.history.record_failure(job, now));
        } else if !is_quick || end == EndKind::Done {
            let known_at = now.min(quarantine::healthy_at(hold.started_at));
            self.pool.edit(worker, |entry| entry.history.record_success(known_at));
        }
        let probe = self.pool.get(worker).quarantine.map(|state| state.probe);
        if probe == Some(WorkerProbe::Task(id)) {
            let healthy = match end {
                EndKind::Done => Some(true),
                EndKind::Failed => Some(!failed_quickly),
                EndKind::Stopped | EndKind::Checkpointed => None,
            };
            self.apply_probe_result(worker, healthy);
        } else if failed_quickly {
            self.quarantine_if_failing(worker);
        }
    }

    /// Quarantines a worker whose last starts or requests all failed.
    pub(crate) fn quarantine_if_failing(&mut self, worker: WorkerIndex) {
        let entry = self.pool.get(worker);
        if !self.rules.quarantine || entry.quarantine.is_some() || !entry.history.is_failing() {
            return;
        }
        // A confirmed task that has run past the limit of a quick failure is a success.
        let tasks = entry.tasks.values().filter_map(|id| self.holds.get(*id));
        let confirmed = tasks.filter(|hold| hold.confirmed_at.is_some());
        let healthy_times = confirmed.map(|hold| quarantine::healthy_at(hold.started_at));
        let last_healthy_at = healthy_times.filter(|at| *at <= self.now).max();
        if let Some(at) = last_healthy_at {
            self.pool.edit(worker, |entry| entry.history.record_success(at));
        }
        if !self.pool.get(worker).history.is_failing() {
            return;
        }
        let (state, probe_at) = WorkerQuarantine::start(self.now);
        self.pool.edit(worker, |entry| entry.quarantine = Some(state));
        self.timers.set(probe_at, TimerKind::ProbeDue(worker));
    }

    /// Applies the result of a probe; `None` if it ended without showing whether the
    /// worker is healthy.
    pub(crate) fn apply_probe_result(&mut self, worker: WorkerIndex, healthy: Option<bool>) {
        if healthy == Some(true) {
            self.lift_quarantine(worker);
            return;
        }
        let now = self.now;
        let next = self.pool.edit(worker, |entry| {
            let state = entry.quarantine.as_mut()?;
            let repeat = healthy.is_none();
            Some(if repeat {
                state.schedule_repeated_probe(now)
            } else {
                state.schedule_next_probe(now)
            })
        });
        if let Some(at) = next {
            self.timers.set(at, TimerKind::ProbeDue(worker));
        }
    }

    /// Ends the quarantine of a worker and forgets its failures.
    pub(crate) fn lift_quarantine(&mut self, worker: WorkerIndex) {
        self.pool.edit(worker, |entry| {
            entry.quarantine = None;
            entry.history.clear();
        });
        self.needs_placement = true;
    }

    /// Orders an attempt to stop. A further order takes effect only if it turns a stop
    /// with a checkpoint into one without.
    ///
    /// `preempted_for` names the team for whose waiting work the stop frees resources.
    pub(crate) fn order_stop(
        &mut self,
        id: HoldId,
        checkpoint: bool,
        reason: &'static str,
        preempted_for: Option<TeamIndex>,
    ) {
        let Some(hold) = self.holds.get_mut(id) else { return };
        if hold.stop.is_some_and(|stop| checkpoint || !stop.checkpoint) {
            return;
        }
        self.teams.remove_hold(id, hold);
        let preempted_for = hold.stop.and_then(|stop| stop.preempted_for).or(preempted_for);
        hold.stop = Some(StopOrder { checkpoint, reason, since: self.now, preempted_for });
        self.teams.add_hold(id, hold);
        let task = hold.task.clone();
        let worker = self.pool.get(hold.worker).name.clone();
        self.timers.set(self.now + rules::STOP_RETRY_MS, TimerKind::RepeatStop(id));
        self.decisions.push(CellDecision::StopTask { task, worker, checkpoint, reason });
    }

    /// Stops an attempt, with a checkpoint if its class is preemptible.
    pub(crate) fn stop_by_class(&mut self, id: HoldId, reason: &'static str) {
        if let Some(hold) = self.holds.get(id) {
            self.order_stop(id, hold.class.preemptible, reason, None);
        }
    }

    /// Sends a stop again whose task still runs, without a checkpoint if that takes
    /// too long.
    pub(crate) fn repeat_stop(&mut self, id: HoldId) {
        let now = self.now;
        let Some(hold) = self.holds.get_mut(id) else { return };
        let Some(stop) = &mut hold.stop else { return };
        if now.since(stop.since) >= rules::CHECKPOINT_TIMEOUT_MS {
            stop.checkpoint = false;
        }
        let StopOrder { checkpoint, reason, .. } = *stop;
        let task = hold.task.clone();
        let worker = self.pool.get(hold.worker).name.clone();
        self.timers.set(now + rules::STOP_RETRY_MS, TimerKind::RepeatStop(id));
        self.decisions.push(CellDecision::StopTask { task, worker, checkpoint, reason });
    }

    /// Orders the next stops of ended jobs and of a domain that is out, up to the limit
    /// of one event.
    pub(crate) fn run_stops(&mut self) {
        let mut remaining = rules::MAX_STOPS_PER_EVENT;
        while remaining > 0 {
            let Some(batch) = self.pending_stops.front_mut() else { return };
            let Some(id) = batch.tasks.next() else {
                self.pending_stops.pop_front();
                continue;
            };
            let (mode, reason) = (batch.mode, batch.reason);
            let Some(hold) = self.holds.get(id) else { continue };
            remaining -= 1;
            match mode {
                StopMode::WithoutCheckpoint => self.order_stop(id, false, reason, None),
                StopMode::ByClass => self.stop_by_class(id, reason),
                StopMode::PreemptibleOnly if hold.class.preemptible => {
                    self.order_stop(id, true, reason, None);
                }
                StopMode::PreemptibleOnly => {}
            }
        }
    }
}
