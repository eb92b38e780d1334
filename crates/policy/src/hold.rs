//! Holds: attempts to run a task that occupy resources of a worker.

use std::cmp::Reverse;

use model::name::TaskId;
use model::object::{ClassKind, UrgencyLevel};
use model::resource::ResourceAmounts;
use model::time::ClockMillis;
use smallvec::SmallVec;

use crate::index::WorkerIndex;
use crate::map::FixedMap;
use crate::team::TeamIndex;

/// Identifies one attempt that occupies a worker, within one cell.
pub(crate) type HoldId = u64;

/// Properties of a job's class that decide how its tasks are scheduled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct TaskClass {
    pub(crate) kind: ClassKind,
    pub(crate) urgency: UrgencyLevel,
    pub(crate) preemptible: bool,
}

impl TaskClass {
    /// Class assumed for a reported task whose job is not known yet.
    pub(crate) const UNKNOWN: Self =
        Self { kind: ClassKind::Service, urgency: UrgencyLevel::Normal, preemptible: false };
}

/// The order to stop that was sent for an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct StopOrder {
    pub(crate) checkpoint: bool,
    pub(crate) reason: &'static str,
    pub(crate) since: ClockMillis,
    /// Team for whose waiting work the stop frees resources.
    pub(crate) preempted_for: Option<TeamIndex>,
}

/// One attempt that runs, or may run, on a worker.
#[derive(Clone, Debug)]
pub(crate) struct TaskHold {
    pub(crate) task: TaskId,
    pub(crate) attempt: u32,
    pub(crate) worker: WorkerIndex,
    pub(crate) team: TeamIndex,
    pub(crate) amounts: ResourceAmounts,
    pub(crate) class: TaskClass,
    pub(crate) started_at: ClockMillis,
    pub(crate) confirmed_at: Option<ClockMillis>,
    /// When it ends by its declared run time; `None` if none is declared.
    pub(crate) ends_at: Option<ClockMillis>,
    /// Before this instant it is not preempted.
    pub(crate) protected_until: ClockMillis,
    pub(crate) stop: Option<StopOrder>,
    /// Whether the last full report left it out.
    pub(crate) missing_from_report: bool,
}

/// Sort key of tasks to stop: the lowest urgency first, then the latest start.
pub(crate) type VictimKey = (Reverse<UrgencyLevel>, Reverse<ClockMillis>, Reverse<HoldId>);

impl TaskHold {
    pub(crate) fn victim_key(&self, id: HoldId) -> VictimKey {
        (Reverse(self.class.urgency), Reverse(self.started_at), Reverse(id))
    }
}

/// All holds of the domain.
#[derive(Clone, Debug, Default)]
pub(crate) struct HoldTable {
    pub(crate) holds: FixedMap<HoldId, TaskHold>,
    /// Attempts by task; more than one while a duplicate is being stopped.
    by_task: FixedMap<TaskId, SmallVec<[HoldId; 2]>>,
    last_id: HoldId,
}

impl HoldTable {
    pub(crate) fn next_id(&mut self) -> HoldId {
        self.last_id += 1;
        self.last_id
    }

    pub(crate) fn insert(&mut self, id: HoldId, hold: TaskHold) {
        self.by_task.entry(hold.task.clone()).or_default().push(id);
        self.holds.insert(id, hold);
    }

    pub(crate) fn remove(&mut self, id: HoldId) -> Option<TaskHold> {
        let hold = self.holds.remove(&id)?;
        if let Some(ids) = self.by_task.get_mut(&hold.task) {
            ids.retain(|other| *other != id);
            if ids.is_empty() {
                self.by_task.remove(&hold.task);
            }
        }
        Some(hold)
    }

    pub(crate) fn get(&self, id: HoldId) -> Option<&TaskHold> {
        self.holds.get(&id)
    }

    pub(crate) fn get_mut(&mut self, id: HoldId) -> Option<&mut TaskHold> {
        self.holds.get_mut(&id)
    }

    pub(crate) fn find(&self, task: &TaskId, attempt: u32) -> Option<HoldId> {
        let ids = self.by_task.get(task)?;
        ids.iter().copied().find(|id| self.get(*id).is_some_and(|hold| hold.attempt == attempt))
    }

    /// Returns any attempt of a task that still occupies a worker.
    pub(crate) fn find_any(&self, task: &TaskId) -> Option<HoldId> {
        self.by_task.get(task)?.first().copied()
    }
}
