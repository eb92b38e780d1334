//! Timers of the cell.

use std::collections::BTreeSet;

use model::name::JobId;
use model::time::ClockMillis;

use crate::hold::HoldId;
use crate::index::WorkerIndex;

/// What to do when a timer is due.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum TimerKind {
    /// Send a stop again if the task still runs.
    RepeatStop(HoldId),
    /// Record the progress of a job.
    SaveProgress(JobId),
    /// Let the next work that fits probe a quarantined worker.
    ProbeDue(WorkerIndex),
    /// Lift the quarantine of a worker that no work has probed since the probe was due.
    ProbeExpired(WorkerIndex),
    /// Check a task that runs as a probe: if it was confirmed and still runs, its worker
    /// is healthy.
    CheckProbe(WorkerIndex, HoldId),
    /// Let a worker that refused a start take work again.
    BackoffOver(WorkerIndex),
    /// Stop counting the slots of an earlier owner's requests, which have surely ended.
    InheritedSlotsOver(WorkerIndex),
    /// Stop services and non-preemptible tasks of a domain that is out.
    DomainOutGraceOver,
    /// Run a placement pass.
    Placement,
}

/// All timers of the cell, in the order in which they are due.
#[derive(Clone, Debug, Default)]
pub(crate) struct TimerQueue {
    due: BTreeSet<(ClockMillis, TimerKind)>,
}

impl TimerQueue {
    pub(crate) fn set(&mut self, at: ClockMillis, kind: TimerKind) {
        self.due.insert((at, kind));
    }

    /// Removes and returns one timer that is due.
    pub(crate) fn pop(&mut self, now: ClockMillis) -> Option<TimerKind> {
        if self.due.first()?.0 > now {
            return None;
        }
        self.due.pop_first().map(|(_, kind)| kind)
    }
}
