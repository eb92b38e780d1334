//! Instants at which something is due.

use std::collections::BTreeSet;

use model::name::JobId;
use model::time::ClockMillis;

use crate::hold::HoldId;
use crate::index::WorkerIndex;

/// What is due.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum TimerKind {
    /// A stop is sent again if the task still runs.
    RepeatStop(HoldId),
    /// A job's progress is recorded.
    SaveProgress(JobId),
    /// A quarantined worker is probed.
    ProbeDue(WorkerIndex),
    /// A probe was due for long, but no work fitted.
    ProbeExpired(WorkerIndex),
    /// A probe has run long enough to count as healthy.
    CheckProbe(WorkerIndex, HoldId),
    /// A worker that refused a start may get tasks again.
    BackoffOver(WorkerIndex),
    /// Requests of an earlier owner have surely ended.
    InheritedSlotsOver(WorkerIndex),
    /// Services of a domain that was taken out are stopped.
    DomainOutGraceOver,
    /// Waiting work is looked at again.
    Placement,
}

/// All instants at which something is due.
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
