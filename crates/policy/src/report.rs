//! What workers report, and what the platform says of them.

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
                // A leave that was announced after the report was asked for still counts.
                worker.leaving = worker.leave_announced_at.is_some_and(|at| at >= sent_at);
            }
            if is_full {
                worker.contact = WorkerContact::Reported;
            }
            worker.boot = Some(boot);
            worker.sent_at = sent_at;
            worker.silent = false;
            // The platform's list may know of the leave before the worker does.
            worker.leaving |= leaving;
        });
        if let Some(tasks) = update.tasks {
            self.reconcile_tasks(index, tasks, sent_at);
        }
        self.reconcile_slots(index, update.slots_used, sent_at, is_first && is_full);
        if is_first {
            self.recheck_settled();
        }
        // Most reports change nothing for the work that waits.
        self.needs_placement |= was_silent;
    }

    /// Brings the tasks of a worker in line with its full list.
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
                // The start that is on its way will be refused as a duplicate.
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

    /// Tells whether an attempt that a full report left out has surely ended.
    ///
    /// A start that is not confirmed may still arrive until it is void. The end
    /// of a confirmed one is usually told apart from the report, so that it is
    /// given up only when a second report leaves it out.
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

    /// Counts a task that the cell did not start itself.
    fn adopt_task(&mut self, worker: WorkerIndex, task: &RunningTask, sent_at: ClockMillis) {
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

    /// Gives an adopted attempt to its job, or stops it if the job has no use for it.
    pub(crate) fn attach_to_job(&mut self, id: HoldId) {
        let Some(hold) = self.holds.get(id) else { return };
        let (task, attempt) = (hold.task.clone(), hold.attempt);
        let rack = self.pool.get(hold.worker).rack;
        let Some(job) = self.jobs.jobs.get_mut(&task.job) else { return };
        let class = job.class;
        let stage = job.tasks.get(task.index as usize).map(|entry| entry.stage);
        if stage == Some(TaskStage::Waiting) {
            job.set_running(task.index, id, rack, attempt);
            self.jobs.refresh(&task.job);
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

    /// Stops an attempt that has no place under the configuration in force.
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
            && (hold.class.preemptible || self.now.since(since) >= rules::OUT_GRACE_MS)
        {
            self.stop_by_class(id, "domain-out");
        }
    }

    /// Brings grants in line with the slots that a worker counts.
    fn reconcile_slots(
        &mut self,
        worker: WorkerIndex,
        used: u32,
        sent_at: ClockMillis,
        is_first: bool,
    ) {
        let used = used as usize;
        let entry = self.pool.get(worker);
        // Requests that were granted before the report and surely reached the
        // worker by then; if one team has more of them than run, some have ended.
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

    /// Gives back slots of requests of which only `used` still run.
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

    /// Counts requests that an earlier owner granted. After the first report
    /// under the present authority their number can only fall.
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
            self.timers
                .set(self.now + rules::FOREIGN_LIMIT_MS, TimerKind::InheritedSlotsOver(worker));
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
            // A report that was asked for earlier may list tasks that have stopped.
            entry.sent_at = now;
            entry.inherited = ResourceAmounts::ZERO;
        });
        let grants: Vec<_> = self.pool.get(index).grants.keys().copied().collect();
        for ticket in grants {
            self.release_grant(ticket);
        }
        self.end_all_tasks(index);
        self.recheck_settled();
    }

    fn end_all_tasks(&mut self, worker: WorkerIndex) {
        let tasks: Vec<_> = self.pool.get(worker).tasks.values().copied().collect();
        for id in tasks {
            self.end_hold(id, EndKind::Stopped);
        }
    }
}

/// What a request uses at least.
const ONE_SLOT: ResourceAmounts = ResourceAmounts { slots: 1, ..ResourceAmounts::ZERO };
