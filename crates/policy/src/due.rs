//! What is due when time has passed.

use model::resource::ResourceAmounts;

use crate::attempt::{StopBatch, StopList, StopRule};
use crate::cell::Cell;
use crate::hold::HoldId;
use crate::index::WorkerIndex;
use crate::placement::PlacementRule;
use crate::quarantine::{self, WorkerProbe};
use crate::rules;
use crate::timer::TimerKind;

impl<R: PlacementRule> Cell<R> {
    pub(crate) fn run_timers(&mut self) {
        while let Some(timer) = self.timers.pop(self.now) {
            match timer {
                TimerKind::Stop(id) => self.repeat_stop(id),
                TimerKind::Progress(job) => self.save_progress(&job),
                TimerKind::Probe(worker) => self.probe_due(worker),
                TimerKind::Unprobed(worker) => self.unprobed(worker),
                TimerKind::Verdict(worker, id) => self.verdict_due(worker, id),
                TimerKind::Pause(worker) => self.pause_over(worker),
                TimerKind::Foreign(worker) => self.foreign_over(worker),
                TimerKind::Grace => self.grace_over(),
                TimerKind::Pass => self.stale = true,
            }
        }
    }

    fn probe_due(&mut self, worker: WorkerIndex) {
        let now = self.now;
        self.pool.edit(worker, |entry| {
            if let Some(state) = &mut entry.quarantine
                && state.probe == WorkerProbe::Waiting
            {
                state.probe = WorkerProbe::Due;
                state.due_at = now;
            }
        });
        self.timers.set(now + quarantine::LAST_PROBE_MS, TimerKind::Unprobed(worker));
        self.stale = true;
    }

    /// Lets a worker take work again that could not be probed. Otherwise a gang
    /// that needs it, which no single probe can stand for, would wait for ever.
    fn unprobed(&mut self, worker: WorkerIndex) {
        let Some(state) = self.pool.get(worker).quarantine else { return };
        let waited = self.now.since(state.due_at) >= quarantine::LAST_PROBE_MS;
        if state.probe == WorkerProbe::Due && waited {
            self.pool.edit(worker, |entry| {
                entry.quarantine = None;
                entry.history.keep_suspicion();
            });
            self.stale = true;
        }
    }

    fn verdict_due(&mut self, worker: WorkerIndex, id: HoldId) {
        let probe = self.pool.get(worker).quarantine.map(|state| state.probe);
        if probe == Some(WorkerProbe::Task(id)) {
            let confirmed = self.holds.get(id).is_some_and(|hold| hold.confirmed_at.is_some());
            if confirmed {
                self.probe_ended(worker, Some(true));
            } else {
                // A start that is not confirmed says nothing yet.
                let next = quarantine::verdict_at(self.now);
                self.timers.set(next, TimerKind::Verdict(worker, id));
            }
        }
    }

    fn pause_over(&mut self, worker: WorkerIndex) {
        let now = self.now;
        self.pool.edit(worker, |entry| {
            if entry.paused_until.is_some_and(|until| until <= now) {
                entry.paused_until = None;
            }
        });
        self.stale = true;
    }

    fn foreign_over(&mut self, worker: WorkerIndex) {
        self.pool.edit(worker, |entry| entry.foreign = ResourceAmounts::ZERO);
        self.stale = true;
    }

    fn grace_over(&mut self) {
        let Some(since) = self.out_since else { return };
        if self.now.since(since) < rules::DOMAIN_OUT_GRACE_MS {
            return;
        }
        let tasks = StopList::List(self.running_tasks().into_iter());
        self.stops.push_back(StopBatch { tasks, rule: StopRule::Fitting, reason: "domain-out" });
    }

    /// Returns all attempts that were not told to stop, teams with the largest
    /// share and urgent tasks last.
    pub(crate) fn running_tasks(&self) -> Vec<HoldId> {
        let running = self.teams.teams.iter().flat_map(|team| &team.running);
        running.map(|(_, _, id)| id.0).collect()
    }
}
