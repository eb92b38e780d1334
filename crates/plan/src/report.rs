//! Events from workers and from the advice service, applied to the planner's state.

use arcstr::ArcStr;
use model::name::{JobId, TeamName, WorkerName};
use model::resource::ResourceAmounts;

use crate::decision::AdviceAnswer;
use crate::job::TaskKey;
use crate::pace::RunSpeed;
use crate::planner::Planner;
use crate::progress::JobStatus;
use crate::state::{IssuedTicket, JobState, RunPhase, RunState, SharingKind};
use crate::worker::{EndKind, EndedRun, PresentRun, RefusalKind, RunReport, StartAnswer};

/// Jobs with a failure on a worker, without a success in between, after which it is quarantined.
const FAILED_JOBS_TO_QUARANTINE: usize = 2;
/// Most workers against which the failures of one job count. A job that fails on further ones is
/// at fault itself.
pub(crate) const MAX_BLAMED_WORKERS: usize = 2;
/// Milliseconds for which a worker that fails its tasks gets no starts.
pub(crate) const QUARANTINE_MS: u64 = 3_000;
/// Milliseconds for which a worker that refused a start as unhealthy gets no further starts.
const UNHEALTHY_WORKER_BACKOFF_MS: u64 = 500;
/// Milliseconds before the next advice request for a step whose last call failed.
const ADVICE_RETRY_DELAY_MS: u64 = 100;
/// Milliseconds before its expiry at which a ticket is no longer used, so that the start
/// reaches the worker in time.
const TICKET_MARGIN_MS: u64 = 150;
/// Weight of the newest answer in the moving average of the share of eligible workers.
const ELIGIBLE_SHARE_GAIN: f64 = 0.1;

impl Planner {
    /// Applies a run report of a worker that was requested at `sent_ms`.
    ///
    /// A report of an earlier incarnation of the worker is ignored.
    pub fn apply_report(
        &mut self,
        name: &WorkerName,
        report: &RunReport,
        sent_ms: u64,
        now_ms: u64,
    ) {
        self.now_ms = self.now_ms.max(now_ms);
        if !self.apply_incarnation(name, report.incarnation) {
            return;
        }
        for end in &report.ended {
            self.apply_run_end(name, report.incarnation, end);
        }
        for present in &report.running {
            self.apply_present_run(name, present);
        }
        self.stop_stalled_runs(name, report, sent_ms);
        self.pace_fillers(name, report);
        if !report.is_partial {
            self.remove_absent_runs(name, report, sent_ms);
            self.mark_reported(name);
        }
    }

    /// Records the incarnation of a worker; returns false if it is an earlier one.
    ///
    /// The runs of the previous incarnation are absent from the report and removed with it. A run
    /// that was confirmed after the report was requested may belong to the new incarnation.
    fn apply_incarnation(&mut self, name: &WorkerName, incarnation: u64) -> bool {
        let Some(worker) = self.workers.get_mut(name) else { return false };
        worker.silent = false;
        let Some(known) = worker.incarnation else {
            worker.incarnation = Some(incarnation);
            return true;
        };
        if incarnation < known {
            return false;
        }
        if incarnation > known {
            worker.incarnation = Some(incarnation);
            worker.last_counted_end = 0;
            worker.ack_up_to = 0;
            worker.failed_jobs.clear();
            self.speeds.weaken(name);
            worker.stalled_jobs.clear();
        }
        true
    }

    /// Applies the end of a run, unless it was counted before.
    fn apply_run_end(&mut self, name: &WorkerName, incarnation: u64, end: &EndedRun) {
        let Some(worker) = self.workers.get_mut(name) else { return };
        if end.number <= worker.last_counted_end {
            return;
        }
        worker.last_counted_end = end.number;
        self.add_reported_occurrence(&end.task.step);
        let Some(worker) = self.workers.get_mut(name) else { return };
        self.pending_acks.ends.push_back((name.clone(), incarnation, end.number));
        let run = worker.runs.get(&end.task).filter(|run| run.run == end.run).cloned();
        self.record_saved_progress(&end.task, &end.saved);
        let attempts_exhausted = match end.kind {
            EndKind::Done => {
                self.record_task_done(name, end);
                false
            }
            EndKind::Failed => self.record_task_failure(name, end),
            EndKind::Stopped | EndKind::Lapsed | EndKind::Broken | EndKind::Alone => false,
        };
        if let Some(run) = &run {
            self.record_duration(name, end, run);
            self.record_use(end, run);
            self.record_preempted_end(end);
        }
        // Removed first, because finishing the job orders stops of all its runs that are present.
        if run.is_some() {
            self.remove_run(name, &end.task);
        }
        if let Some(job) = self.jobs.get_mut(&end.task.step.job) {
            job.close_occurrence_if_done(end.task.step.occurrence);
        }
        if attempts_exhausted {
            self.finish_job(&end.task.step.job, JobStatus::Failed);
        } else if end.kind == EndKind::Done {
            self.finish_job_if_done(&end.task);
        }
    }

    /// Records the saved progress from which the next run of a task or gang resumes.
    fn record_saved_progress(&mut self, task: &TaskKey, saved: &ArcStr) {
        if saved.is_empty() {
            return;
        }
        let gang = self.step_spec(&task.step).is_some_and(|spec| spec.gang);
        let Some(step) = self.step_mut(&task.step) else { return };
        if gang {
            step.gang_saved = saved.clone();
        } else if let Some(state) = step.tasks.get_mut(task.index as usize) {
            state.saved = saved.clone();
        }
    }

    /// Marks a task as done, or all members of a gang. A service is never done.
    fn record_task_done(&mut self, name: &WorkerName, end: &EndedRun) {
        if let Some(worker) = self.workers.get_mut(name) {
            worker.failed_jobs.clear();
            worker.stalled_jobs.clear();
        }
        let Some(spec) = self.step_spec(&end.task.step) else { return };
        let (gang, service) = (spec.gang, spec.service);
        if service {
            return;
        }
        let Some(step) = self.step_mut(&end.task.step) else { return };
        let indices = if gang {
            0..step.tasks.len()
        } else {
            end.task.index as usize..end.task.index as usize + 1
        };
        for state in step.tasks.get_mut(indices).into_iter().flatten() {
            if !state.done {
                step.waiting -= u32::from(state.is_waiting());
                state.done = true;
                step.unfinished -= 1;
            }
        }
        self.dirty_jobs.insert(end.task.step.job.clone());
    }

    fn finish_job_if_done(&mut self, task: &TaskKey) {
        if self.jobs.get(&task.step.job).is_some_and(JobState::is_done) {
            self.finish_job(&task.step.job.clone(), JobStatus::Completed);
        }
    }

    /// Counts a failed run; returns true if the task or gang has no attempt left.
    ///
    /// Failed runs of a service do not count, so that it never runs out of attempts.
    fn record_task_failure(&mut self, name: &WorkerName, end: &EndedRun) -> bool {
        let Some(job) = self.jobs.get(&end.task.step.job) else { return false };
        let attempts = self.config.queues.get(&job.spec.queue).map(|rule| rule.max_attempts);
        let Some(spec) = self.step_spec(&end.task.step) else { return false };
        let (gang, service) = (spec.gang, spec.service);
        let Some(step) = self.step_mut(&end.task.step) else { return false };
        let Some(state) = step.tasks.get_mut(end.task.index as usize) else { return false };
        if state.failed_runs.contains(&end.run) {
            return false;
        }
        if !service {
            state.failed_runs.push(end.run);
        }
        let is_first_failure = state.failed_runs.len() <= 1;
        if !state.avoided.contains(name) {
            state.avoided.push(name.clone());
        }
        let failures = if gang { step.failed_gang_runs() } else { state.failed_runs.len() };
        self.dirty_jobs.insert(end.task.step.job.clone());
        if is_first_failure {
            self.record_first_failure(name, &end.task.step.job);
        }
        !service && attempts.is_some_and(|attempts| failures >= attempts as usize)
    }

    /// Counts the first failure of a task against the worker.
    ///
    /// A job counts once for a worker, and against few workers only: neither a service that fails
    /// at each start, nor a job or a gang of which all tasks fail, quarantines the fleet.
    fn record_first_failure(&mut self, name: &WorkerName, id: &JobId) {
        let now = self.now_ms;
        let Some(job) = self.jobs.get_mut(id) else { return };
        let Some(worker) = self.workers.get_mut(name) else { return };
        if !job.blamed_workers.contains(name) {
            if job.blamed_workers.len() >= MAX_BLAMED_WORKERS {
                return;
            }
            job.blamed_workers.push(name.clone());
        }
        let is_counted = worker.failed_jobs.insert(id.clone());
        if is_counted && worker.failed_jobs.len() >= FAILED_JOBS_TO_QUARANTINE {
            worker.quarantined_until_ms = now + QUARANTINE_MS;
        }
    }

    /// Applies one present run of a report: confirms a known run or adopts an unknown one.
    fn apply_present_run(&mut self, name: &WorkerName, present: &PresentRun) {
        self.add_reported_occurrence(&present.task.step);
        self.record_saved_progress(&present.task, &present.saved);
        let now = self.now_ms;
        let Some(worker) = self.workers.get_mut(name) else { return };
        if let Some(run) = worker.runs.get_mut(&present.task) {
            if run.run == present.run {
                run.was_busy |= present.measurement > 0;
                if run.phase == RunPhase::Starting {
                    run.phase = RunPhase::Running;
                    run.confirmed_ms = Some(now);
                    run.started_ms = Some(now);
                }
                self.mark_job_running(&present.task);
                return;
            }
            if run.run > present.run {
                // Only the newer run is charged. An older one that started late ends with its stop.
                return;
            }
            self.remove_run(name, &present.task);
        }
        self.adopt_run(name, present);
    }

    /// Adds a run that an earlier owner started, and stops it if it is not wanted.
    fn adopt_run(&mut self, name: &WorkerName, present: &PresentRun) {
        let wanted = self.is_wanted(present);
        let capacity =
            self.workers.get(name).map_or(ResourceAmounts::ZERO, |worker| worker.info.capacity);
        let remaining = self.take_remaining_run(&present.task);
        let job = self.jobs.get(&present.task.step.job);
        let step = job.and_then(|job| job.spec.steps.get(present.task.step.step as usize));
        let is_service = step.is_some_and(|step| step.service);
        let (occupied, charged, sharing) = if let Some(step) = step {
            (step.occupied_amounts(), step.amounts, SharingKind::of(step))
        } else {
            // The job is finished. If its sizes are unknown, the run may use the whole worker.
            let amounts = remaining.as_ref().map(|(_, amounts)| *amounts);
            let charged = amounts.unwrap_or(ResourceAmounts::ZERO);
            (amounts.unwrap_or(capacity), charged, SharingKind::Plain)
        };
        let team = match job {
            Some(job) => job.spec.team.clone(),
            None => remaining.and_then(|(team, _)| team),
        };
        let run = RunState {
            run: present.run,
            phase: RunPhase::Running,
            confirmed_ms: Some(self.now_ms),
            started_ms: None,
            is_resumed: true,
            was_busy: true,
            occupied,
            charged,
            team,
            stop_sent: false,
            sharing,
            is_service,
            speed: RunSpeed::reported(present.speed_percent),
        };
        self.add_run(name, &present.task, run);
        if wanted {
            self.mark_job_running(&present.task);
        } else {
            self.stop_run(name, &present.task, "not-wanted");
        }
    }

    /// Returns the team and the resources of a run of a finished job, which an earlier owner was
    /// stopping, and expects one run less of its step.
    fn take_remaining_run(
        &mut self,
        task: &TaskKey,
    ) -> Option<(Option<TeamName>, ResourceAmounts)> {
        let remaining = self.remaining_runs.get_mut(&task.step.job)?;
        let (amounts, count) = remaining.steps.get_mut(task.step.step as usize)?;
        *count = count.saturating_sub(1);
        Some((remaining.team.clone(), *amounts))
    }

    /// Returns whether a run that an earlier owner started should continue.
    fn is_wanted(&mut self, present: &PresentRun) -> bool {
        let gang = self.step_spec(&present.task.step).is_some_and(|spec| spec.gang);
        let Some(state) = self.task_mut(&present.task) else { return false };
        if state.done || state.failed_runs.contains(&present.run) {
            return false;
        }
        gang || state.runs.is_empty()
    }

    /// Changes the status of the task's job from pending to running.
    fn mark_job_running(&mut self, task: &TaskKey) {
        if let Some(job) = self.jobs.get_mut(&task.step.job)
            && job.status == JobStatus::Pending
        {
            job.status = JobStatus::Running;
        }
    }

    /// Removes runs that were confirmed before the report was requested and are not in it.
    fn remove_absent_runs(&mut self, name: &WorkerName, report: &RunReport, sent_ms: u64) {
        let Some(worker) = self.workers.get(name) else { return };
        let absent: Vec<_> = worker
            .runs
            .iter()
            .filter(|(_, run)| run.confirmed_ms.is_some_and(|at| at < sent_ms))
            .filter(|(task, run)| {
                !report
                    .running
                    .iter()
                    .any(|present| present.task == **task && present.run == run.run)
            })
            .map(|(task, _)| task.clone())
            .collect();
        for task in absent {
            self.remove_run(name, &task);
        }
    }

    /// Applies a worker's answer to a start.
    pub fn apply_start_answer(
        &mut self,
        name: &WorkerName,
        task: &TaskKey,
        run_number: u32,
        answer: StartAnswer,
        now_ms: u64,
    ) {
        self.now_ms = self.now_ms.max(now_ms);
        let now = self.now_ms;
        let Some(worker) = self.workers.get_mut(name) else { return };
        let Some(run) = worker.runs.get_mut(task).filter(|run| run.run == run_number) else {
            return;
        };
        match answer {
            StartAnswer::Started => {
                if run.phase == RunPhase::Starting {
                    run.phase = RunPhase::Running;
                    run.confirmed_ms = Some(now);
                    run.started_ms = Some(now);
                }
                self.mark_job_running(task);
                self.pace_started_run(name, task);
            }
            StartAnswer::Refused(RefusalKind::Fenced) => {}
            StartAnswer::Refused(kind) => {
                if kind == RefusalKind::Unhealthy {
                    worker.quarantined_until_ms =
                        worker.quarantined_until_ms.max(now + UNHEALTHY_WORKER_BACKOFF_MS);
                }
                if kind == RefusalKind::Ticket
                    && let Some(step) = self.step_mut(&task.step)
                {
                    step.advice.eligible.remove(name);
                }
                self.remove_run(name, task);
            }
            StartAnswer::Unknown => self.stop_run(name, task, "start-unanswered"),
        }
    }

    /// Applies a worker's confirmation of a stop: the run will end, or can never start there.
    pub fn apply_stop_confirmation(
        &mut self,
        name: &WorkerName,
        task: &TaskKey,
        run_number: u32,
        now_ms: u64,
    ) {
        self.now_ms = self.now_ms.max(now_ms);
        let Some(worker) = self.workers.get_mut(name) else { return };
        if let Some(run) = worker.runs.get_mut(task).filter(|run| run.run == run_number) {
            run.confirmed_ms = Some(self.now_ms);
        }
    }

    /// Records that the call for a stop failed, and orders the stop again.
    pub fn apply_stop_failure(&mut self, name: &WorkerName, task: &TaskKey, run_number: u32) {
        let Some(worker) = self.workers.get_mut(name) else { return };
        let Some(run) = worker.runs.get_mut(task).filter(|run| run.run == run_number) else {
            return;
        };
        run.stop_sent = false;
        self.stop_run(name, task, "stop-unanswered");
    }

    /// Applies an answer of the advice service that arrived at `now_ms`.
    #[expect(clippy::cast_precision_loss, reason = "a call names at most 100 workers")]
    pub fn apply_advice(&mut self, answer: &AdviceAnswer, now_ms: u64) {
        self.now_ms = self.now_ms.max(now_ms);
        let now = self.now_ms;
        for name in self.open_advice_requests.remove(&answer.step).into_iter().flatten() {
            if let Some(worker) = self.workers.get_mut(&name) {
                worker.open_advice_requests = worker.open_advice_requests.saturating_sub(1);
            }
        }
        let Some(job) = self.jobs.get(&answer.step.job) else { return };
        let queue = job.spec.queue.clone();
        let valid_ms = self
            .config
            .queues
            .get(&queue)
            .and_then(|rule| rule.advice)
            .map_or(0, |cost| cost.valid_ms);
        let Some(step) = self.step_mut(&answer.step) else { return };
        step.advice.requested_ms = None;
        step.servability = None;
        if answer.considered.is_empty() {
            step.advice.claimed_tasks = 0;
            step.advice.next_request_ms = now + ADVICE_RETRY_DELAY_MS;
            return;
        }
        step.advice.answers += 1;
        step.advice.unused_answers += 1;
        let expires_ms = now + valid_ms.saturating_sub(TICKET_MARGIN_MS);
        step.advice.tickets_expire_ms = step.advice.tickets_expire_ms.max(expires_ms);
        let is_first_answer = step.advice.eligible.is_empty() && step.advice.ineligible.is_empty();
        for name in &answer.considered {
            step.advice.ineligible.insert(name.clone());
        }
        for (name, text) in &answer.eligible {
            step.advice.ineligible.remove(name);
            let ticket = IssuedTicket { text: text.clone(), expires_ms };
            step.advice.eligible.insert(name.clone(), ticket);
        }
        if is_first_answer {
            let share = answer.eligible.len() as f64 / answer.considered.len() as f64;
            let average = self.eligible_share.entry(queue).or_insert(share);
            *average += ELIGIBLE_SHARE_GAIN * (share - *average);
        }
    }
}
