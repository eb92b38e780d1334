//! Handling of timers that are due.

use model::resource::ResourceAmounts;

use crate::attempt::{StopBatch, StopList, StopMode};
use crate::cell::Cell;
use crate::hold::HoldId;
use crate::index::WorkerIndex;
use crate::placement::PlacementRule;
use crate::quarantine::{self, WorkerProbe};
use crate::rules;
use crate::timer::TimerKind;

impl<R: PlacementRule> Cell<R> {
    /// Handles all timers that are due.
    pub(crate) fn run_timers(&mut self) {
        while let Some(timer) = self.timers.pop(self.now) {
            match timer {
                TimerKind::RepeatStop(id) => self.repeat_stop(id),
                TimerKind::SaveProgress(job) => self.save_progress(&job),
                TimerKind::ProbeDue(worker) => self.mark_probe_due(worker),
                TimerKind::ProbeExpired(worker) => self.lift_unprobed_quarantine(worker),
                TimerKind::CheckProbe(worker, id) => self.check_probe(worker, id),
                TimerKind::BackoffOver(worker) => self.end_backoff(worker),
                TimerKind::InheritedSlotsOver(worker) => self.drop_inherited_slots(worker),
                TimerKind::DomainOutGraceOver => self.stop_after_grace(),
                TimerKind::Placement => self.needs_placement = true,
            }
        }
    }

    /// Makes a quarantined worker a candidate for a probe.
    fn mark_probe_due(&mut self, worker: WorkerIndex) {
        let now = self.now;
        self.pool.edit(worker, |entry| {
            if let Some(state) = &mut entry.quarantine
                && state.probe == WorkerProbe::Waiting
            {
                state.probe = WorkerProbe::Due;
                state.due_at = now;
            }
        });
        self.timers.set(now + quarantine::MAX_PROBE_INTERVAL_MS, TimerKind::ProbeExpired(worker));
        self.needs_placement = true;
    }

    /// Lifts the quarantine of a worker that could not be probed for too long. A gang that
    /// needs the worker cannot run as a probe and would wait forever.
    fn lift_unprobed_quarantine(&mut self, worker: WorkerIndex) {
        let Some(state) = self.pool.get(worker).quarantine else { return };
        let waited = self.now.since(state.due_at) >= quarantine::MAX_PROBE_INTERVAL_MS;
        if state.probe == WorkerProbe::Due && waited {
            self.pool.edit(worker, |entry| {
                entry.quarantine = None;
                entry.history.keep_one_below_limit();
            });
            self.needs_placement = true;
        }
    }

    /// Ends the quarantine if the probe was confirmed and still runs.
    fn check_probe(&mut self, worker: WorkerIndex, id: HoldId) {
        let probe = self.pool.get(worker).quarantine.map(|state| state.probe);
        if probe == Some(WorkerProbe::Task(id)) {
            let confirmed = self.holds.get(id).is_some_and(|hold| hold.confirmed_at.is_some());
            if confirmed {
                self.apply_probe_result(worker, Some(true));
            } else {
                // A start that is not confirmed does not show yet that the worker is healthy.
                let next = quarantine::healthy_at(self.now);
                self.timers.set(next, TimerKind::CheckProbe(worker, id));
            }
        }
    }

    fn end_backoff(&mut self, worker: WorkerIndex) {
        let now = self.now;
        self.pool.edit(worker, |entry| {
            if entry.backoff_until.is_some_and(|until| until <= now) {
                entry.backoff_until = None;
            }
        });
        self.needs_placement = true;
    }

    /// Frees the slots of an earlier owner's requests, which have ended by now.
    fn drop_inherited_slots(&mut self, worker: WorkerIndex) {
        self.pool.edit(worker, |entry| entry.inherited = ResourceAmounts::ZERO);
        self.needs_placement = true;
    }

    /// Stops the tasks that still run when the grace period of a domain that is out has ended.
    fn stop_after_grace(&mut self) {
        let Some(since) = self.domain_out_since else { return };
        if self.now.since(since) < rules::DOMAIN_OUT_GRACE_MS {
            return;
        }
        let tasks = StopList::List(self.running_tasks().into_iter());
        self.pending_stops.push_back(StopBatch {
            tasks,
            mode: StopMode::ByClass,
            reason: "domain-out",
        });
    }

    /// Returns all attempts that were not ordered to stop, by team; those of a team in
    /// the order in which tasks are stopped.
    pub(crate) fn running_tasks(&self) -> Vec<HoldId> {
        let running = self.teams.teams.iter().flat_map(|team| &team.running);
        running.map(|(_, _, id)| id.0).collect()
    }
}
