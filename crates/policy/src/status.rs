//! The state of a cell as shown to the daemon and to operators.

use model::name::{TaskId, TeamName, WorkerName};
use model::resource::ResourceAmounts;

use crate::cell::Cell;
use crate::placement::PlacementRule;
use crate::worker::{WorkerContact, WorkerEntry};

/// Whether a worker gets work, and if not, why.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum WorkerState {
    /// It has reported and gets work.
    Reported,
    /// It gets no work until it has sent the current owner a full report.
    Unreported,
    /// It has not reported for a while.
    Silent,
    /// Its lease has expired.
    Lost,
    /// Its VM will be removed.
    Leaving,
    /// Its last starts or requests all failed.
    Quarantined,
    /// It is not in the configuration any more, but may still run something.
    Removed,
}

/// The state of one worker in the cell.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerStatus {
    /// The worker.
    pub worker: WorkerName,
    /// Whether it gets work.
    pub state: WorkerState,
    /// What tasks and requests on it can use together.
    pub capacity: ResourceAmounts,
    /// What tasks and granted requests reserve.
    pub reserved: ResourceAmounts,
    /// Tasks that run, or may run.
    pub tasks: usize,
    /// Request slots in use, those that an earlier owner granted included.
    pub slots_used: u64,
}

/// One task that runs, or may run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TaskStatus {
    /// The task.
    pub task: TaskId,
    /// Number of the attempt.
    pub attempt: u32,
    /// Worker on which it runs.
    pub worker: WorkerName,
    /// Team for which it counts.
    pub team: TeamName,
    /// What is reserved for it.
    pub amounts: ResourceAmounts,
    /// Whether its worker confirmed the start.
    pub confirmed: bool,
    /// Whether it was ordered to stop.
    pub stopping: bool,
}

impl WorkerEntry {
    fn state(&self) -> WorkerState {
        if !self.configured {
            return WorkerState::Removed;
        }
        match self.contact {
            WorkerContact::Unreported | WorkerContact::Restarted => WorkerState::Unreported,
            WorkerContact::Lost => WorkerState::Lost,
            WorkerContact::Reported if self.silent => WorkerState::Silent,
            WorkerContact::Reported if self.leaving => WorkerState::Leaving,
            WorkerContact::Reported if self.quarantine.is_some() => WorkerState::Quarantined,
            WorkerContact::Reported => WorkerState::Reported,
        }
    }
}

impl<R: PlacementRule> Cell<R> {
    /// Returns the workers of the domain, and removed ones that may still run something.
    pub fn workers(&self) -> impl Iterator<Item = WorkerStatus> + '_ {
        let listed = self.pool.indices().filter(|index| !self.is_retired(*index));
        listed.map(|index| {
            let entry = self.pool.get(index);
            WorkerStatus {
                worker: entry.name.clone(),
                state: entry.state(),
                capacity: entry.capacity,
                reserved: entry.reserved,
                tasks: entry.tasks.len(),
                slots_used: entry.reserved.slots + entry.inherited.slots,
            }
        })
    }

    /// Returns all tasks that run or may run, in no particular order.
    pub fn running_status(&self) -> impl Iterator<Item = TaskStatus> + '_ {
        self.holds.holds.values().map(|hold| TaskStatus {
            task: hold.task.clone(),
            attempt: hold.attempt,
            worker: self.pool.get(hold.worker).name.clone(),
            team: self.teams.get(hold.team).name.clone(),
            amounts: hold.amounts,
            confirmed: hold.confirmed_at.is_some(),
            stopping: hold.stop.is_some(),
        })
    }

    /// Returns the teams that the cell has seen, with what tasks and granted requests of
    /// each reserve.
    pub fn teams(&self) -> impl Iterator<Item = (&TeamName, ResourceAmounts)> {
        self.teams.teams.iter().map(|team| (&team.name, team.used))
    }
}
