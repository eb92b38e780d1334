//! Handling of jobs that arrive, end, are cancelled or move to another domain.

use std::cmp::Reverse;
use std::sync::Arc;

use model::job::{JobRecord, JobState};
use model::name::JobId;
use model::time::ClockMillis;

use crate::attempt::{StopBatch, StopList, StopMode};
use crate::cell::Cell;
use crate::event::CellDecision;
use crate::job::JobEntry;
use crate::placement::PlacementRule;
use crate::rules;
use crate::timer::TimerKind;

impl<R: PlacementRule> Cell<R> {
    /// Adds a job and attaches its tasks that workers have reported already.
    pub(crate) fn submit_job(&mut self, record: Arc<JobRecord>) {
        let id = record.spec.id.clone();
        if self.jobs.has_ended(&id) || self.jobs.jobs.contains_key(&id) {
            return;
        }
        if record.state.is_final() {
            self.drop_orphans(&id, "job-ended");
            self.jobs.record_ended(&id);
            return;
        }
        self.add_job(record);
        let mut holds = self.jobs.orphans.remove(&id).unwrap_or_default();
        // Of two attempts of one task, the later one goes on and the other is stopped.
        holds.sort_by_key(|hold| Reverse(self.holds.get(*hold).map(|hold| hold.attempt)));
        for hold in holds {
            self.attach_to_job(hold);
            self.stop_if_excluded(hold);
        }
        for index in self.jobs.early_completions.remove(&id).unwrap_or_default() {
            self.mark_done(&id, index);
        }
        self.needs_placement = true;
    }

    /// Adds a job without running tasks; finishes it if all its tasks are done.
    pub(crate) fn add_job(&mut self, record: Arc<JobRecord>) {
        let id = record.spec.id.clone();
        let team = self.teams.intern(&record.team);
        let mut job = JobEntry::new(record, self.jobs.next_arrival(), team, self.attempt_base);
        job.class = self.job_class(&job);
        job.awaits_reports = !self.had_all_reports;
        if job.awaits_reports {
            self.jobs.awaiting_reports.push(id.clone());
        }
        if job.is_done() {
            self.jobs.jobs.insert(id.clone(), job);
            self.finish_job(&id, JobState::Done);
            return;
        }
        self.jobs.jobs.insert(id.clone(), job);
        self.jobs.refresh_ready(&id);
        if self.domain_out_since.is_some() {
            self.pending_moves.push_back(id);
        }
    }

    /// Returns the class of a job; `None` while its queue or team is not configured.
    pub(crate) fn job_class(&self, job: &JobEntry) -> Option<crate::hold::TaskClass> {
        let configured = self.teams.get(job.team).configured;
        self.catalog.job_class(&job.record.spec.queue).filter(|_| configured)
    }

    /// Cancels a job, or remembers the cancellation of one that has not arrived.
    pub(crate) fn cancel_job(&mut self, id: &JobId) {
        if self.jobs.jobs.contains_key(id) {
            self.finish_job(id, JobState::Cancelled);
        } else {
            self.drop_orphans(id, "job-cancelled");
            self.jobs.record_ended(id);
        }
    }

    /// Stops reported tasks of a job that will not be added.
    fn drop_orphans(&mut self, id: &JobId, reason: &'static str) {
        self.jobs.early_completions.remove(id);
        if let Some(holds) = self.jobs.orphans.remove(id) {
            let tasks = StopList::List(holds.into_iter());
            self.pending_stops.push_back(StopBatch {
                tasks,
                mode: StopMode::WithoutCheckpoint,
                reason,
            });
        }
    }

    /// Ends a job and queues the stops of its running tasks.
    pub(crate) fn finish_job(&mut self, id: &JobId, state: JobState) {
        let Some(job) = self.jobs.remove(id) else { return };
        self.jobs.record_ended(id);
        let done = job.done_indices();
        self.decisions.push(CellDecision::JobChanged { job: id.clone(), state, done });
        let reason = match state {
            JobState::Cancelled => "job-cancelled",
            JobState::Failed => "job-failed",
            JobState::Accepted | JobState::Done => "job-ended",
        };
        let tasks = StopList::Job(job.running.into_values());
        self.pending_stops.push_back(StopBatch {
            tasks,
            mode: StopMode::WithoutCheckpoint,
            reason,
        });
        self.release_gang(id);
    }

    /// Records the progress of a job now, or sets a timer if the last record is too recent.
    pub(crate) fn schedule_progress(&mut self, id: &JobId) {
        let Some(job) = self.jobs.jobs.get_mut(id) else { return };
        let earliest =
            job.progress_saved_at.map_or(self.now, |at| at + rules::PROGRESS_INTERVAL_MS);
        if earliest <= self.now {
            self.save_progress(id);
        } else {
            self.timers.set(earliest, TimerKind::SaveProgress(id.clone()));
        }
    }

    /// Records unsaved progress of a job unless the last record is too recent.
    pub(crate) fn save_progress(&mut self, id: &JobId) {
        let now = self.now;
        let Some(job) = self.jobs.jobs.get_mut(id) else { return };
        let is_due =
            job.progress_saved_at.is_none_or(|at| now.since(at) >= rules::PROGRESS_INTERVAL_MS);
        if !job.has_unsaved_progress || !is_due {
            return;
        }
        job.has_unsaved_progress = false;
        job.progress_saved_at = Some(now);
        let done = job.done_indices();
        self.decisions.push(CellDecision::JobChanged {
            job: id.clone(),
            state: JobState::Accepted,
            done,
        });
    }

    /// Moves jobs out of a domain that is out, up to the limit of one event.
    ///
    /// A job moves once none of its tasks can run here: none is known to run, and every
    /// worker has reported or is lost.
    pub(crate) fn run_moves(&mut self) {
        if self.domain_out_since.is_none() || !self.has_all_reports() {
            return;
        }
        for _ in 0..rules::MAX_MOVES_PER_EVENT {
            let Some(id) = self.pending_moves.pop_front() else { return };
            let Some(job) = self.jobs.jobs.get_mut(&id) else { continue };
            if !job.running.is_empty() {
                continue;
            }
            if job.has_unsaved_progress {
                job.progress_saved_at = Some(ClockMillis(0));
                job.has_unsaved_progress = false;
                let done = job.done_indices();
                let state = JobState::Accepted;
                self.decisions.push(CellDecision::JobChanged { job: id.clone(), state, done });
            }
            self.jobs.remove(&id);
            self.decisions.push(CellDecision::MoveJob(id));
        }
    }
}
