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
    Stop(HoldId),
    /// A job's progress is recorded.
    Progress(JobId),
    /// A quarantined worker is probed.
    Probe(WorkerIndex),
    /// A probe was due for long, but no work fitted.
    Unprobed(WorkerIndex),
    /// A probe has run long enough to count as healthy.
    Verdict(WorkerIndex, HoldId),
    /// A worker that refused a start may get tasks again.
    Pause(WorkerIndex),
    /// Requests of an earlier owner have surely ended.
    Foreign(WorkerIndex),
    /// Services of a domain that was taken out are stopped.
    Grace,
    /// Waiting work is looked at again.
    Pass,
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
