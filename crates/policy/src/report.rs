//! Reports of workers, and notices that a worker is silent, leaving or lost.

use model::name::{TaskId, WorkerName};
use model::resource::ResourceAmounts;
use model::time::{self, ClockMillis};

use crate::cell::Cell;
use crate::event::{EndKind, RunningTask, TicketNumber, WorkerUpdate};
use crate::hold::{HoldId, TaskClass, TaskHold};
use crate::index::WorkerIndex;
use crate::job::TaskStage;
use crate::map::{FixedMap, FixedSet};
use crate::placement::PlacementRule;
use crate::rules;
use crate::team::TeamIndex;
use crate::timer::TimerKind;
use crate::worker::WorkerContact;

impl<R: PlacementRule> Cell<R> {
    /// Applies a report of a worker unless a later one has been applied.
    pub(crate) fn apply_report(&mut self, update: WorkerUpdate) {
        let index = self.pool.intern(&update.worker);
        let entry = self.pool.get(index);
        if update.sent_at < entry.sent_at {
            return;
        }
        let restarted = entry.boot.as_ref().is_some_and(|boot| *boot != update.boot);
        if restarted {
            self.end_all_tasks(index);
        }
        let was_silent = self.pool.get(index).silent;
        let is_first = self.pool.get(index).contact != WorkerContact::Reported || restarted;
        let (boot, sent_at, leaving) = (update.boot.clone(), update.sent_at, update.leaving);
        let is_full = update.tasks.is_some();
        self.pool.edit(index, |worker| {
            if restarted {
                worker.contact = WorkerContact::Restarted;
                // A restart ends a leave, unless the leave was announced after this
                // report was requested.
                worker.leaving = worker.leave_announced_at.is_some_and(|at| at >= sent_at);
            }
            if is_full {
                worker.contact = WorkerContact::Reported;
            }
            worker.boot = Some(boot);
            worker.sent_at = sent_at;
            worker.silent = false;
            // The platform may have announced the leave before the worker reports it.
            worker.leaving |= leaving;
        });
        if let Some(tasks) = update.tasks {
            self.reconcile_tasks(index, tasks, sent_at);
        }
        self.reconcile_slots(index, update.slots_used, sent_at, is_first && is_full);
        if is_first {
            self.check_all_reports();
        }
        // Apart from a first report, only one that ends a silence lets more work start;
        // most reports change nothing for waiting work.
        self.needs_placement |= was_silent;
    }

    /// Updates the holds of a worker to the full list of tasks that it reported.
    fn reconcile_tasks(
        &mut self,
        worker: WorkerIndex,
        tasks: Vec<RunningTask>,
        sent_at: ClockMillis,
    ) {
        let mut listed: FixedSet<TaskId> = FixedSet::default();
        for task in tasks {
            listed.insert(task.task.clone());
            let known = self.pool.get(worker).tasks.get(&task.task).copied();
            let attempt = known.and_then(|id| Some((id, self.holds.get(id)?.attempt)));
            match attempt {
                Some((id, attempt)) if attempt == task.attempt => self.record_running(id, &task),
                // The worker still runs an older attempt, so it will refuse the newer
                // start that is in flight.
                Some((_, attempt)) if attempt > task.attempt => {}
                Some((id, _)) => {
                    self.end_hold(id, EndKind::Stopped);
                    self.adopt_task(worker, &task, sent_at);
                }
                None => self.adopt_task(worker, &task, sent_at),
            }
        }
        let unlisted: Vec<HoldId> = {
            let running = self.pool.get(worker).tasks.iter();
            running.filter(|(task, _)| !listed.contains(*task)).map(|(_, id)| *id).collect()
        };
        for id in unlisted {
            if self.has_surely_ended(id, sent_at) {
                self.end_hold(id, EndKind::Stopped);
            }
        }
    }

    /// Returns whether an attempt that a full report left out has surely ended.
    ///
    /// A start that is not confirmed may still arrive until the worker's lease has
    /// expired. The end of a confirmed attempt usually comes as an event of its own, so
    /// the attempt counts as ended only once a second report leaves it out.
    fn has_surely_ended(&mut self, id: HoldId, sent_at: ClockMillis) -> bool {
        let Some(hold) = self.holds.get_mut(id) else { return false };
        match hold.confirmed_at {
            Some(confirmed) if confirmed < sent_at => {
                std::mem::replace(&mut hold.missing_from_report, true)
            }
            Some(_) => false,
            None => {
                sent_at.since(hold.started_at) > time::with_clock_margin(rules::WORKER_LEASE_MS)
            }
        }
    }

    /// Records that a worker lists an attempt as running, with its measured usage.
    fn record_running(&mut self, id: HoldId, task: &RunningTask) {
        let now = self.now;
        let Some(hold) = self.holds.get_mut(id) else { return };
        hold.confirmed_at.get_or_insert(now);
        hold.missing_from_report = false;
        let ran = now.since(hold.started_at);
        if let Some(job) = self.jobs.jobs.get_mut(&task.task.job) {
            job.usage.add_sample(task.usage, ran);
        }
    }

    /// Adds a hold for a reported task that this cell did not start.
    fn adopt_task(&mut self, worker: WorkerIndex, task: &RunningTask, sent_at: ClockMillis) {
        // The attempt ended after the report had been requested.
        if self.pool.get(worker).ended_since(&task.task, task.attempt, sent_at) {
            return;
        }
        let team = self.teams.intern(&task.team);
        let now = self.now;
        let age = self.imported_ages.remove(&(task.task.clone(), task.attempt)).unwrap_or(0);
        let id = self.add_hold(TaskHold {
            task: task.task.clone(),
            attempt: task.attempt,
            worker,
            team,
            amounts: task.amounts,
            class: TaskClass::UNKNOWN,
            started_at: now - age,
            confirmed_at: Some(now),
            ends_at: None,
            protected_until: ClockMillis(0),
            stop: None,
            missing_from_report: false,
        });
        if self.jobs.has_ended(&task.task.job) {
            self.order_stop(id, false, "job-ended", None);
        } else if self.jobs.jobs.contains_key(&task.task.job) {
            self.attach_to_job(id);
        } else {
            self.jobs.orphans.entry(task.task.job.clone()).or_default().push(id);
        }
        self.stop_if_excluded(id);
    }

    /// Attaches an adopted attempt to its job; stops it as a duplicate unless its task waits.
    pub(crate) fn attach_to_job(&mut self, id: HoldId) {
        let Some(hold) = self.holds.get(id) else { return };
        let (task, attempt) = (hold.task.clone(), hold.attempt);
        let rack = self.pool.get(hold.worker).rack;
        let Some(job) = self.jobs.jobs.get_mut(&task.job) else { return };
        let class = job.class;
        let stage = job.tasks.get(task.index as usize).map(|entry| entry.stage);
        if stage == Some(TaskStage::Waiting) {
            job.set_running(task.index, id, rack, attempt);
            self.jobs.refresh_ready(&task.job);
            if let Some(class) = class {
                self.set_class(id, class);
            }
            return;
        }
        if let Some(entry) = job.tasks.get_mut(task.index as usize) {
            entry.attempt = entry.attempt.max(attempt);
        }
        self.order_stop(id, false, "duplicate", None);
    }

    /// Stops an attempt whose team or worker is not configured, or whose domain is out.
    pub(crate) fn stop_if_excluded(&mut self, id: HoldId) {
        if self.catalog.set.is_none() {
            return;
        }
        let Some(hold) = self.holds.get(id) else { return };
        if !self.teams.get(hold.team).configured {
            self.stop_by_class(id, "team-removed");
        } else if !self.pool.get(hold.worker).configured {
            self.stop_by_class(id, "worker-removed");
        } else if let Some(since) = self.domain_out_since
            && (hold.class.preemptible || self.now.since(since) >= rules::DOMAIN_OUT_GRACE_MS)
        {
            self.stop_by_class(id, "domain-out");
        }
    }

    /// Releases grants and slots whose requests have ended by the worker's count of
    /// used slots.
    fn reconcile_slots(
        &mut self,
        worker: WorkerIndex,
        used: u32,
        sent_at: ClockMillis,
        is_first: bool,
    ) {
        let used = used as usize;
        let entry = self.pool.get(worker);
        // Requests that had reached the worker, or never will, when the report was
        // requested. If there are more of them than used slots, some have ended.
        let settled = entry.grants.iter().filter(|(_, settled_at)| **settled_at < sent_at);
        let settled: Vec<TicketNumber> = settled.map(|(ticket, _)| *ticket).collect();
        if used == 0 {
            for ticket in settled {
                self.release_grant(ticket);
            }
        } else {
            self.free_excess_slots(&settled, used);
        }
        self.reconcile_inherited_slots(worker, used, sent_at, is_first);
    }

    /// Frees slots of requests of which only `used` still run. As the report does not
    /// say which ones, each group of the same team and amounts keeps `used` slots.
    fn free_excess_slots(&mut self, tickets: &[TicketNumber], used: usize) {
        let mut held: FixedMap<(TeamIndex, ResourceAmounts), usize> = FixedMap::default();
        for ticket in tickets.iter().rev() {
            let Some(grant) = self.requests.grants.get(ticket).filter(|grant| grant.holds_slot)
            else {
                continue;
            };
            let count = held.entry((grant.team, grant.amounts)).or_default();
            *count += 1;
            if *count > used {
                self.free_slot(*ticket);
            }
        }
    }

    /// Updates the number of slots in use by requests that an earlier owner granted.
    /// After the first report to the current owner it can only fall.
    fn reconcile_inherited_slots(
        &mut self,
        worker: WorkerIndex,
        used: usize,
        sent_at: ClockMillis,
        is_first: bool,
    ) {
        let entry = self.pool.get(worker);
        let unknown = if is_first {
            let known = entry.grants.len() + entry.requests_ended_since(sent_at);
            used.saturating_sub(known)
        } else {
            used.min(usize::try_from(entry.inherited.slots).unwrap_or(usize::MAX))
        };
        let inherited = self.catalog.largest_request.max(ONE_SLOT).times(unknown as u64);
        if inherited != self.pool.get(worker).inherited {
            self.pool.edit(worker, |entry| entry.inherited = inherited);
            self.needs_placement = true;
        }
        if is_first && unknown > 0 {
            self.timers.set(
                self.now + rules::INHERITED_SLOT_TIMEOUT_MS,
                TimerKind::InheritedSlotsOver(worker),
            );
        }
    }

    pub(crate) fn mark_worker_silent(&mut self, worker: &WorkerName) {
        let index = self.pool.intern(worker);
        self.pool.edit(index, |entry| entry.silent = true);
    }

    pub(crate) fn mark_worker_leaving(&mut self, worker: &WorkerName) {
        let index = self.pool.intern(worker);
        let now = self.now;
        self.pool.edit(index, |entry| {
            entry.leaving = true;
            entry.leave_announced_at = Some(now);
        });
    }

    pub(crate) fn mark_worker_lost(&mut self, worker: &WorkerName) {
        let index = self.pool.intern(worker);
        let now = self.now;
        self.pool.edit(index, |entry| {
            entry.contact = WorkerContact::Lost;
            // A report that was requested earlier may list tasks that have stopped.
            entry.sent_at = now;
            entry.inherited = ResourceAmounts::ZERO;
        });
        let grants: Vec<_> = self.pool.get(index).grants.keys().copied().collect();
        for ticket in grants {
            self.release_grant(ticket);
        }
        self.end_all_tasks(index);
        self.check_all_reports();
    }

    /// Ends all attempts on a worker that runs nothing any more.
    fn end_all_tasks(&mut self, worker: WorkerIndex) {
        let tasks: Vec<_> = self.pool.get(worker).tasks.values().copied().collect();
        for id in tasks {
            self.end_hold(id, EndKind::Stopped);
        }
    }
}

/// The least that a request uses.
const ONE_SLOT: ResourceAmounts = ResourceAmounts { slots: 1, ..ResourceAmounts::ZERO };
